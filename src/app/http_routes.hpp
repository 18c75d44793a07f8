// The HTTP interface of a controller: a table of paths and methods, with the service that answers each.
#pragma once
#include <functional>
#include <span>
#include <string>

#include "api/submission_service.hpp"
#include "app/heartbeat_service.hpp"
#include "net/http_server.hpp"

namespace flintdale::app {

class HttpRoutes {
  public:
    // `ready`: the answer to the load balancer's readiness check.
    HttpRoutes(HeartbeatService& heartbeats, api::SubmissionService& submissions, std::function<net::Reply()> ready)
        : heartbeats_(heartbeats), submissions_(submissions), ready_(std::move(ready)) {}

    awaitable<net::Reply> handle(net::Request request);

  private:
    struct Input {
        std::string body;
        std::string uid;  // of the path, if the route has one
    };
    struct Route;
    static std::span<const Route> routes();

    awaitable<net::Reply> heartbeat(Input input);
    awaitable<net::Reply> ready(Input input);
    awaitable<net::Reply> submit(Input input);
    awaitable<net::Reply> cancel(Input input);
    awaitable<net::Reply> poll(Input input);

    HeartbeatService& heartbeats_;
    api::SubmissionService& submissions_;
    std::function<net::Reply()> ready_;
};

}  // namespace flintdale::app
