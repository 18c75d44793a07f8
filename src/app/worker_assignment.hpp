// Assigns workers to controllers. If the leader has capacity for all workers, all report to it. Otherwise the other
// controllers relay as many as they can, and a worker that reports to one of them stays there. All bounds follow from
// the platform's limits on sockets and processor time.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "config/settings.hpp"
#include "model/clock.hpp"

namespace flintdale::app {

class WorkerAssignment {
  public:
    using TimePoint = model::TimePoint;

    WorkerAssignment(const config::Settings& settings, const config::OperatorSettings& operator_settings);

    // The load of another controller, from its status.
    struct Load {
        bool relays = false, leading = false;
        std::uint32_t workers = 0, capacity = 0;
        std::uint32_t fleet = 0;  // from a leader: machines that it knows; 0: not reported
    };
    void peer_load_received(const std::string& member, const Load& load, TimePoint now);

    // At the leader: the controller to which the worker that has reported here is redirected; nullopt: it is served
    // here.
    std::optional<std::string> redirect_at_leader(const std::string& machine, const std::string& zone, TimePoint now);
    // The same at a controller that relays to that leader.
    std::optional<std::string> redirect_at_follower(const std::string& machine, const std::string& zone,
                                                    const std::string& leader, TimePoint now);

    // Whether the worker was served here in this counting period or the one before.
    bool serves(const std::string& machine) const;
    // Number of workers that report here.
    std::uint32_t workers(TimePoint now);
    // Number of workers that may report here, by the limits on sockets and processor time.
    std::uint32_t capacity(bool leading) const;

  private:
    struct Peer {
        std::string zone;
        Load load;
        std::uint32_t redirected = 0;  // workers redirected there since its last reported load
        TimePoint received_at{};       // when that load was received
        // Further workers that the peer may take.
        std::uint32_t room() const;
    };
    void note_served(const std::string& machine);
    void begin_period_if_due(TimePoint now);
    // Whether this controller is over its capacity and may redirect one of the workers that it serves.
    bool may_shed(std::uint32_t workers, std::uint32_t capacity, TimePoint now);
    static std::optional<std::string> redirect_to(Peer& peer, const std::string& member);
    // The controller with the most room, those in the worker's zone first, other than `except`; nullopt if none has
    // room.
    std::optional<std::string> redirect_to_most_room(const std::string& zone, const std::string& except, TimePoint now);
    bool has_room_for_all(const Peer& leader) const;
    bool has_room(const Peer& leader) const;
    bool returned_from_leader(const std::string& machine, TimePoint now) const;

    const config::Settings& settings_;
    const config::OperatorSettings& operator_settings_;
    std::map<std::string, Peer> peers_;
    std::uint32_t fleet_ = 0;  // machines, as last reported by a leader
    TimePoint fleet_received_at_{};
    // The period in which each worker was last served here. Workers of the last two periods count as served.
    std::unordered_map<std::string, std::uint64_t> served_;
    std::unordered_map<std::string, TimePoint> redirected_to_leader_;  // when each worker was last redirected
    std::uint64_t period_ = 1;
    TimePoint period_began_{}, last_shed_{};
    std::uint32_t workers_last_period_ = 0, workers_this_period_ = 0, new_workers_ = 0;
};

}  // namespace flintdale::app
