// Builds one controller from its components and wires them together. Its connections are passed in, by the network
// program (Node) or by a simulation. It makes no decisions of its own.
#pragma once
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "api/submission_service.hpp"
#include "app/cancellation_register.hpp"
#include "app/cluster_view.hpp"
#include "app/fencer.hpp"
#include "app/heartbeat_service.hpp"
#include "app/http_routes.hpp"
#include "app/job_information.hpp"
#include "app/leader_term.hpp"
#include "app/leader_term_adapters.hpp"
#include "app/machine_type_catalog.hpp"
#include "app/peer_table.hpp"
#include "cloud/client.hpp"
#include "election/members.hpp"
#include "peer/incarnations.hpp"
#include "peer/peer_connections.hpp"
#include "recovery/recovery_coordinator.hpp"
#include "scheduler/follower_leases.hpp"

namespace flintdale::app {

// The connections of a controller to the outside.
struct Ports {
    state::RateLimitedStore& state;
    cloud::Cloud& cloud;
    worker::Workers& workers;
    // Sends the status to every other controller that can be reached now.
    std::function<void(const peer::StatusMessage&)> broadcast_status;
    std::function<std::int64_t()> time_of_day_ms;
    // Returns false if the message cannot be sent to that controller now.
    std::function<bool(const std::string& member, const peer::RelayMessage&)> send_relay_message;
};

class Controller {
  public:
    Controller(net::Executor ex, const config::Settings& settings, const config::OperatorSettings& operator_settings,
               state::RecordFormat& record_format, Ports ports);
    // Starts all loops. Call it once.
    void start();

    // Answers an HTTP request from a user, a worker or the load balancer.
    awaitable<net::Reply> handle(net::Request request) { return routes_.handle(std::move(request)); }
    // Handle messages from another controller, and the loss of the connection to it.
    void received(const peer::StatusMessage& status);
    void relayed(const peer::RelayMessage& message) { heartbeats_.relay_message_received(message); }
    void link_lost(const std::string& member) { heartbeats_.link_lost(member); }

    bool leading() const { return elector_.leading(); }
    const recovery::RecoveryCoordinator& recovery() const { return recovery_; }
    const Fencer& fencer() const { return fencer_; }

  private:
    state::GuardedStore::Events store_events();
    election::Elector::Events elector_events();
    Fencer::Callbacks fencer_callbacks();
    HeartbeatService::Callbacks heartbeat_callbacks();
    recovery::RecoveryCoordinator::Callbacks recovery_callbacks();
    api::SubmissionService::Callbacks submission_callbacks();
    MachineTypeCatalog::Callbacks catalog_callbacks();
    ClusterView::Sources cluster_sources();

    void term_won(election::Term term);
    void begin_term(election::Term term, bool unrecorded_tasks);
    void end_term();
    void outcomes_read(const std::vector<state::KeyValue>& outcomes, model::TimePoint began,
                       recovery::RecoveryCoordinator::Callbacks::OutcomeCoverage coverage);
    void records_rebuilt();
    void quota_changed(const quota::Table& table);
    void cancellation_learned(const std::string& uid);
    void job_record_changed(const state::KeyValue& record);
    void heartbeat_received(const model::Heartbeat& heartbeat);

    awaitable<void> status_loop();
    peer::StatusMessage current_status();
    void resign_if_cut_off_from_workers();
    net::Reply readiness() const;

    net::Executor ex_;
    const config::Settings& settings_;
    const config::OperatorSettings& operator_settings_;
    state::RecordFormat& record_format_;
    Ports ports_;
    std::uint64_t incarnation_;        // differs from that of every earlier process, even one that has just ended
    peer::Incarnations incarnations_;  // of the other controllers
    PeerTable peers_;
    OwnLeadership leadership_;
    std::optional<quota::Table> quota_table_;  // as last reported by members_; empty while the settings' own applies
    state::GuardedStore store_;
    election::Elector elector_;
    election::Members members_;
    scheduler::FollowerLeases follower_leases_;
    peer::Cancellations cancellations_;
    ClusterView cluster_;
    Fencer fencer_;
    HeartbeatService heartbeats_;
    recovery::RecoveryCoordinator recovery_;
    CancellationRegister cancellation_register_;
    ElectorClaim leadership_claim_;
    ReplicatedRecords remembered_records_;
    JobInformation job_information_;
    MachineTypeCatalog catalog_;
    api::SubmissionService submissions_;
    HttpRoutes routes_;
};

}  // namespace flintdale::app
