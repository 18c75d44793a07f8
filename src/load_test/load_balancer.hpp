// The users' way to the controllers, by the protocol: a controller is chosen for each connection, by its health and by
// how many it has. What is left out: the ten seconds over which the share of a controller that is back is built up.
#pragma once
#include <deque>
#include <memory>

#include "config/settings.hpp"
#include "model/clock.hpp"
#include "net/http_client.hpp"

namespace flintdale::load_test {

using net::awaitable;

class LoadBalancer {
  public:
    LoadBalancer(net::Executor ex, std::vector<config::Address> controllers, std::string source);
    void start();

    // The healthy controller with the fewest open connections of users, none that lately refused several; nothing if
    // no controller is healthy.
    std::optional<std::size_t> choose() const;
    void opened(std::size_t controller) { ++controllers_[controller].open; }
    void closed(std::size_t controller) { --controllers_[controller].open; }
    void refused(std::size_t controller);
    void accepted(std::size_t controller) { controllers_[controller].refusals = 0; }
    // Connections to it are reset: it has been unhealthy for too long.
    bool reset(std::size_t controller) const;
    const config::Address& address(std::size_t controller) const { return controllers_[controller].address; }

  private:
    struct Controller {
        config::Address address;
        bool healthy = false, ever = false;
        std::deque<bool> probes;  // the last ones, the newest last
        int open = 0, refusals = 0;
        model::TimePoint skipped_until{}, since{}, back_from{};
        model::Seconds pause{3};
    };
    awaitable<void> probe_loop(std::size_t controller);
    void probed(Controller& controller, bool good);

    net::Executor ex_;
    std::string source_;
    std::vector<Controller> controllers_;
};

// A user's connection to whichever controller it was given.
class UserConnection {
  public:
    UserConnection(net::Executor ex, LoadBalancer& balancer, std::string source);
    ~UserConnection() { drop(); }
    UserConnection(const UserConnection&) = delete;
    UserConnection& operator=(const UserConnection&) = delete;
    // Status 0 without an answer in time, or where no controller takes the connection.
    awaitable<net::HttpAnswer> request(net::http::verb verb, std::string target, std::string body,
                                       model::Clock::duration limit);

  private:
    bool connect();
    void drop();

    net::Executor ex_;
    LoadBalancer& balancer_;
    std::string source_;
    std::size_t controller_ = 0;
    std::shared_ptr<net::HttpClient> client_;
};

}  // namespace flintdale::load_test
