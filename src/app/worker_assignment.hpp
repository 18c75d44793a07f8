// Which controller a worker reports to. Where one leader is enough for all workers, all report to it. Where it is not,
// the others relay what they can; a worker that reports somewhere stays there. All bounds follow from the platform's
// limits.
#pragma once
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "config/settings.hpp"
#include "model/clock.hpp"

namespace flintdale::app {

class WorkerAssignment {
  public:
    WorkerAssignment(const config::Settings& settings, const config::OperatorSettings& operator_settings);

    // What another controller says of itself.
    struct Load {
        bool relays = false, leading = false;
        std::uint32_t workers = 0, capacity = 0;
        std::uint32_t fleet = 0;  // from a leader: machines that it knows of; 0: not told
    };
    void peer_load_received(const std::string& member, const Load& load, model::TimePoint now);

    // The controller that a worker which has reported here is sent to; nothing: it is served here.
    std::optional<std::string> at_leader(const std::string& machine, const std::string& zone, model::TimePoint now);
    // The same at a controller that relays to that leader.
    std::optional<std::string> at_follower(const std::string& machine, const std::string& zone,
                                           const std::string& leader, model::TimePoint now);

    // Whether the worker was served here at its last report.
    bool serves(const std::string& machine) const;
    std::uint32_t workers(model::TimePoint now);
    // Workers that may report here, by the limits on sockets and on processor time.
    std::uint32_t capacity(bool leading) const;

  private:
    struct Peer {
        std::string zone;
        Load load;
        std::uint32_t sent = 0;  // workers that were sent there since it last told its load
        model::TimePoint heard{};
        std::uint32_t room() const;
    };
    void served(const std::string& machine);
    void rotate(model::TimePoint now);
    bool may_send_away(model::TimePoint now, std::uint32_t capacity);
    std::optional<std::string> send_to(Peer& peer, const std::string& member);
    std::optional<std::string> with_most_room(const std::string& zone, const std::string& but, model::TimePoint now);
    bool enough_alone(const Peer& leader) const;
    bool leader_has_room(const Peer& leader) const;

    const config::Settings& settings_;
    const config::OperatorSettings& operator_settings_;
    std::map<std::string, Peer> peers_;
    std::uint32_t fleet_ = 0;
    model::TimePoint fleet_told_{};
    // Workers by the period in which they last reported here; those of the last two are served.
    std::unordered_map<std::string, std::uint64_t> served_;
    std::unordered_map<std::string, model::TimePoint> sent_on_;  // to the leader, when
    std::uint64_t period_ = 1;
    model::TimePoint period_since_{}, sent_away_{};
    std::uint32_t last_period_ = 0, this_period_ = 0, newcomers_ = 0;
};

}  // namespace flintdale::app
