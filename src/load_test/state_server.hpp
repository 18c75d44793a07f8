// The state service by its protocol, over HTTP: simulator::KeyValueStore behind its limits.
#pragma once
#include "load_test/query.hpp"
#include "load_test/rate_limit.hpp"
#include "net/http_server.hpp"
#include "simulator/state_service.hpp"

namespace flintdale::load_test {

using net::awaitable;

class StateServer {
  public:
    struct Counts {
        std::uint64_t requests = 0, writes = 0, refused = 0;
    };
    StateServer(net::Executor ex, simulator::Events& events, const config::StoreLimits& limits,
                const config::Address& address);
    void start() { server_.start(); }

    const Counts& counts() const { return counts_; }
    const net::Traffic& traffic() const { return server_.traffic(); }
    // Who holds the claim to lead; empty if nobody does.
    std::string leader();

  private:
    awaitable<net::Reply> handle(net::Request request);
    net::Reply get(const std::string& key);
    net::Reply range(const Query& query);
    net::Reply commit(const std::string& body);
    net::Reply leases(const net::Request& request, const std::string& path);
    awaitable<net::Reply> watch(Query query);

    simulator::Events& events_;
    simulator::KeyValueStore store_;
    config::StoreLimits limits_;
    RateLimit requests_, writes_;
    Counts counts_;
    net::HttpServer server_;
};

}  // namespace flintdale::load_test
