// The cloud by its protocol, over HTTP: simulator::Rentals behind its limit on calls.
#pragma once
#include "load_test/query.hpp"
#include "load_test/rate_limit.hpp"
#include "net/http_server.hpp"
#include "simulator/rentals.hpp"

namespace flintdale::load_test {

using net::awaitable;

class CloudServer {
  public:
    struct Links {
        std::function<void(const simulator::Rented&)> rented;  // its machine begins to boot
        std::function<void(const simulator::Rented&)> released;
    };
    CloudServer(net::Executor ex, simulator::Events& events, simulator::Rentals& rentals,
                const simulator::Scenario& scenario, const config::Settings& settings, Links links);
    void start() { server_.start(); }

    std::uint64_t calls() const { return server_.traffic().requests; }
    const net::Traffic& traffic() const { return server_.traffic(); }

  private:
    awaitable<net::Reply> handle(net::Request request);
    net::Reply answer(const net::Request& request);
    net::Reply rent(const std::string& body);
    net::Reply release(const std::string& body);
    net::Reply list(const Query& query) const;

    simulator::Events& events_;
    simulator::Rentals& rentals_;
    const simulator::Scenario& scenario_;
    Links links_;
    RateLimit calls_;
    net::HttpServer server_;
};

}  // namespace flintdale::load_test
