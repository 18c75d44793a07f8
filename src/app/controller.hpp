// Wires the packages into one controller. What it is connected to comes from outside: the network (Node), or an
// emulated world.
#pragma once
#include "api/submission_service.hpp"
#include "app/fencer.hpp"
#include "app/heartbeat_service.hpp"
#include "app/leader_term.hpp"
#include "cloud/client.hpp"
#include "election/members.hpp"
#include "model/clock.hpp"
#include "model/heartbeat.hpp"
#include "model/machine.hpp"
#include "peer/incarnations.hpp"
#include "peer/peer_connections.hpp"
#include "recovery/recovery_coordinator.hpp"
#include "scheduler/follower_leases.hpp"

namespace flintdale::app {

struct Ports {
    state::Service& state;
    cloud::Cloud& cloud;
    worker::Workers& workers;
    std::function<void(const peer::StatusMessage&)> broadcast_status;
    std::function<std::int64_t()> time_of_day_ms;
    // False if it cannot be sent to that controller now.
    std::function<bool(const std::string& member, const peer::RelayMessage&)> relay;
};

class Controller {
  public:
    Controller(net::Executor ex, const config::Settings& settings, const config::OperatorSettings& operator_settings,
               state::RecordFormat& record_format, Ports ports);
    void start();

    awaitable<net::Reply> handle(net::Request request);
    void received(const peer::StatusMessage& status);
    void relayed(const peer::RelayMessage& message) { reports_.relay_message_received(message); }
    // The link to that controller has broken.
    void link_lost(const std::string& member) { reports_.link_lost(member); }

    bool leading() const { return elector_.leading(); }
    const recovery::RecoveryCoordinator& recovery() const { return recovery_; }
    const Fencer& fencer() const { return fencer_; }

  private:
    void note_report(const model::Heartbeat& report);
    HeartbeatService::Callbacks heartbeat_callbacks();
    awaitable<void> catalog_loop();
    awaitable<void> peer_loop();
    recovery::RecoveryCoordinator::Callbacks recovery_callbacks();
    void note_cancelled(const std::string& uid);
    bool somebody_knows(model::TimePoint noted) const;
    bool cut_off_from_store() const;
    std::optional<model::Seconds> over_for(const std::string& uid) const;
    model::TimePoint cancellations_known_until(model::TimePoint looked) const;
    void begin_term(election::Term term, bool unsettled);
    void end_term();
    bool leaderless() const;
    awaitable<void> keep_catalog();
    awaitable<void> recall_catalog();
    void share_writes(double own);
    void resign_if_cut_off_from_workers();
    net::Reply ready() const;

    net::Executor ex_;
    const config::Settings& settings_;
    const config::OperatorSettings& operator_settings_;
    state::RecordFormat& record_format_;
    Ports ports_;
    std::uint64_t incarnation_;  // what tells this incarnation of the controller from the one before, which may have
                                 // ended just now
    peer::Incarnations incarnations_;  // of the others
    state::GuardedStore store_;
    cloud::Cloud& cloud_;
    election::Elector elector_;
    election::Members members_;
    scheduler::FollowerLeases follower_leases_;
    peer::Cancellations cancellations_;
    Fencer fencer_;
    HeartbeatService reports_;
    recovery::RecoveryCoordinator recovery_;
    std::shared_ptr<LeaderTerm> leader_term_;
    std::optional<quota::Table> teams_;  // figures of teams, where they differ from the settings
    election::Term term_;                // the last that was won
    std::vector<model::MachineType> types_;
    bool kept_catalog_ = false;  // the machine types are on record, as far as is known
    std::unordered_map<std::string, api::DisplayCount> counts_;
    struct PeerState {
        model::TimePoint heard{};
        bool state_ok = false, leading = false;
        double writes = 0;
        double redirects = 0;  // of the last seconds, older ones counting less
        bool knows_records = false;
    };
    std::unordered_map<std::string, PeerState> peer_state_;
    api::SubmissionService submissions_;
};

}  // namespace flintdale::app
