// The cloud by its protocol, over HTTP: emulator::Rentals behind its limit on calls.
#pragma once
#include "emulator/rentals.hpp"
#include "net/http_server.hpp"
#include "scale/query.hpp"
#include "scale/rate_limit.hpp"

namespace flintdale::scale {

using net::awaitable;

class CloudServer {
  public:
    struct Links {
        std::function<void(const emulator::Rented&)> rented;  // its machine begins to boot
        std::function<void(const emulator::Rented&)> released;
    };
    CloudServer(net::Executor ex, emulator::Events& events, emulator::Rentals& rentals,
                const emulator::Scenario& scenario, const config::Settings& settings, Links links);
    void start() { server_.start(); }

    std::uint64_t calls() const { return server_.traffic().requests; }
    const net::Traffic& traffic() const { return server_.traffic(); }

  private:
    awaitable<net::Reply> handle(net::Request request);
    net::Reply answer(const net::Request& request);
    net::Reply rent(const std::string& body);
    net::Reply release(const std::string& body);
    net::Reply list(const Query& query) const;

    emulator::Events& events_;
    emulator::Rentals& rentals_;
    const emulator::Scenario& scenario_;
    Links links_;
    RateLimit calls_;
    net::HttpServer server_;
};

}  // namespace flintdale::scale
