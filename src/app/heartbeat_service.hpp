// Answers workers' heartbeats. The leader answers them directly, or through controllers that relay them. Followers
// relay heartbeats to the leader or redirect the worker. While no controller leads, workers' leases are renewed without
// a leader.
#pragma once
#include <functional>
#include <map>
#include <memory>

#include "app/cluster_view.hpp"
#include "app/leader_term.hpp"
#include "app/peer_table.hpp"
#include "app/worker_assignment.hpp"
#include "model/command.hpp"
#include "model/heartbeat.hpp"
#include "net/http_server.hpp"
#include "peer/heartbeat_relay.hpp"
#include "peer/peer_connections.hpp"
#include "peer/relayed_heartbeat_cache.hpp"
#include "scheduler/follower_leases.hpp"

namespace flintdale::app {

class HeartbeatService {
  public:
    struct Callbacks {
        // Called for each heartbeat that arrives here, directly or relayed.
        std::function<void(const model::Heartbeat&)> received;
        // Called for each heartbeat that reaches this controller while it leads and no term of it has begun.
        std::function<void(const model::Heartbeat&)> received_in_recovery;
        // The time until which all cancellations are known here, beyond those that `follower_leases` has read.
        std::function<model::TimePoint()> cancellations_known_until;
        // Returns false if the message cannot be sent to that controller now.
        peer::HeartbeatRelay::Send send;
    };
    // `incarnation`: of this controller.
    HeartbeatService(net::Executor ex, const config::Settings& settings,
                     const config::OperatorSettings& operator_settings, const ClusterView& cluster,
                     const PeerTable& peers, scheduler::FollowerLeases& follower_leases, std::uint64_t incarnation,
                     Callbacks callbacks);

    // POST /agent/beat
    awaitable<net::Reply> handle(std::string body);

    // Handles a peer's status, which must be in the peer table already.
    void peer_status_received(const peer::StatusMessage& status);
    void relay_message_received(const peer::RelayMessage& message);
    // The connection to that controller has broken.
    void link_lost(const std::string& member) { relay_.link_lost(member); }
    // Fills in the fields on heartbeats and workers in this controller's own status.
    void fill_status(peer::StatusMessage& status);
    // A term of this controller has begun or ended.
    void term_changed() { relayed_heartbeats_.clear(); }

  private:
    using Commands = LeaderTerm::Commands;
    // A leader's answer to a heartbeat.
    struct LeaderAnswer {
        bool leads = true;  // false: this controller no longer leads
        std::uint64_t fencing_token = 0;
        Commands commands;  // nullopt: this controller must not answer now
    };
    awaitable<LeaderAnswer> answer_as_leader(model::Heartbeat heartbeat);
    awaitable<void> await_start_of_term();
    awaitable<net::Reply> answer_as_follower(model::Heartbeat heartbeat);
    // Renews a lease by the known cancellations, without a leader's term.
    Commands renew_lease_without_term(const model::Heartbeat& heartbeat);
    Commands renew_lease_while_leaderless(const model::Heartbeat& heartbeat);
    net::Reply redirect_to_leader(const std::string& member);
    bool relays_to(const std::string& leader) const;

    void answer_relayed(const std::string& member, std::uint64_t incarnation, std::uint64_t number,
                        const model::Heartbeat& heartbeat);
    awaitable<void> answer_relayed_later(std::shared_ptr<peer::RelayOutbox> outbox, std::uint64_t number,
                                         model::Heartbeat heartbeat);
    awaitable<void> answer_relayed_with_run_commands(std::shared_ptr<peer::RelayOutbox> outbox, std::uint64_t number,
                                                     std::shared_ptr<LeaderTerm> term, model::Heartbeat heartbeat,
                                                     LeaderTerm::Decision decision);
    std::shared_ptr<peer::RelayOutbox> outbox_to(const std::string& member, std::uint64_t incarnation);

    net::Executor ex_;
    const config::Settings& settings_;
    const config::OperatorSettings& operator_settings_;
    const ClusterView& cluster_;
    const PeerTable& peers_;
    scheduler::FollowerLeases& follower_leases_;
    std::uint64_t incarnation_;
    Callbacks callbacks_;
    WorkerAssignment assignment_;
    peer::HeartbeatRelay relay_;
    peer::RelayedHeartbeatCache relayed_heartbeats_;
    std::map<std::string, std::shared_ptr<peer::RelayOutbox>> outboxes_;  // for answers, by member
    std::uint32_t redirects_ = 0;  // workers redirected to the leader since the last status
};

}  // namespace flintdale::app
