// The controllers of a simulated cluster: their processes, and their simulated links to the store, the cloud, the
// workers, the users and one another. Knows nothing of why a link fails: faults set and clear the flags below.
#pragma once
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "app/controller.hpp"
#include "simulator/fleet.hpp"
#include "simulator/state_service.hpp"

namespace flintdale::simulator {

class Controllers {
  public:
    // One parsed settings object for each controller of the scenario. Throws config::ConfigError.
    static std::vector<config::Settings> parse_settings(const Scenario& scenario);

    Controllers(Events& events, const Scenario& scenario, const std::vector<config::Settings>& settings,
                KeyValueStore& store, Fleet& fleet);
    ~Controllers();

    // --- processes ---
    void start_all();
    void stop_all();
    // Runs each controller that a message or timer is due for.
    void run_due();
    // Ends the process; a new one starts after that delay. No effect on a controller that is not running.
    void crash(std::size_t node, Seconds restart_delay);
    void freeze(std::size_t node, Seconds duration);
    std::size_t size() const { return nodes_.size(); }
    bool running(std::size_t node) const;
    bool leading(std::size_t node) const;  // false if it is not running
    // A controller picked by the run's random source.
    std::size_t pick_any();

    // --- messages ---
    // Sends a request from that zone (empty: a user) to a controller. `done` gets the answer, or status 0 if none came
    // within `timeout`.
    void send_request(std::size_t node, const std::string& zone, net::Request request, Seconds timeout, Answered done);
    std::size_t relayed_messages() const { return relayed_messages_; }

    // --- link faults ---
    enum class Link { store_partitioned, store_refused, workers, peers };
    // Breaks or restores one link of one controller.
    void set_broken(std::size_t node, Link link, bool broken);
    // Cuts a zone from the others, and its controllers from the store; or restores both.
    void set_zone_cut(const std::string& zone, bool cut);
    void set_store_outage(bool outage) { store_outage_ = outage; }
    void set_late_commits(double share) { late_commits_ = share; }
    // That share of the messages between workers and controllers, in both directions, takes up to `longest`.
    void set_delayed_messages(double share, Seconds longest);
    void set_delayed_messages_off() { delayed_share_ = 0; }

  private:
    class CloudLink;
    class WorkersLink;
    struct Process;
    struct Node;

    void start(std::size_t node);
    bool reaches(const std::string& zone, std::size_t node) const;
    // The same, for a sender that is a worker or a user.
    bool reached_by(const std::string& zone, std::size_t node) const;
    double extra_delay(bool worker);
    void deliver_request(std::size_t node, const std::string& zone, net::Request request, const Answered& done);
    void broadcast_status(std::size_t from, const peer::StatusMessage& status);
    bool relay(std::size_t from, const std::string& member, const peer::RelayMessage& message);
    bool peers_connected(std::size_t from, std::size_t to) const;
    // Runs the action on the receiving controller, a little later.
    void send_to_peer(std::size_t to, std::function<void(app::Controller&)> action);

    Events& events_;
    const Scenario& scenario_;
    const std::vector<config::Settings>& settings_;
    KeyValueStore& store_;
    Fleet& fleet_;
    config::OperatorSettings operator_settings_;
    std::vector<std::unique_ptr<Node>> nodes_;
    std::set<std::string> cut_zones_;
    bool store_outage_ = false;
    double late_commits_ = 0, delayed_share_ = 0;
    Seconds longest_delay_{0};
    std::size_t relayed_messages_ = 0;
};

}  // namespace flintdale::simulator
