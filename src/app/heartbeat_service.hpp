// Workers' reports: answered by the leader, directly or through the controllers that relay; sent on to the leader by
// the others; and where nobody leads, leases that are kept alive.
#pragma once
#include "app/leader_term.hpp"
#include "app/worker_assignment.hpp"
#include "model/clock.hpp"
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
        std::function<void(const model::Heartbeat&)> noticed;  // of each report that arrives here or is relayed here
        std::function<bool()> leading;                         // by the claim, whether or not its term has begun
        std::function<bool()> rebuilding;                      // the records; no term begins meanwhile
        std::function<std::shared_ptr<LeaderTerm>()> leader_term;  // null: none has begun
        std::function<std::uint64_t()> own_term;                   // the last that was won
        std::function<std::uint64_t()> newest_term;                // the highest that was heard of
        std::function<std::string()> leader;                       // who is believed to lead; empty: nobody
        std::function<bool()> leaderless;  // no leader is heard, and none could be elected from here
        std::function<bool()> state_healthy;
        std::function<model::TimePoint()> cancellations_known_until;  // for follower_leases
        std::function<void(const model::Heartbeat&)> shown;           // while the records are rebuilt
        std::function<bool(const std::string& member, const peer::RelayMessage&)> send;
    };
    HeartbeatService(net::Executor ex, const config::Settings& settings,
                     const config::OperatorSettings& operator_settings, scheduler::FollowerLeases& follower_leases,
                     std::uint64_t incarnation, Callbacks callbacks);

    // POST /agent/beat
    awaitable<net::Reply> handle(std::string body);
    // From another controller.
    void peer_status_received(const peer::StatusMessage& status);
    void relay_message_received(const peer::RelayMessage& message);
    void link_lost(const std::string& member) { relay_.link_lost(member); }
    // What this controller says of itself.
    void fill_status(peer::StatusMessage& status);
    // A term of this controller has begun or ended.
    void term_changed() { relayed_.clear(); }

  private:
    // What a controller that leads says to a report. `leads`: it turned out to do so.
    struct Answer {
        bool leads = true;
        std::uint64_t fencing_token = 0;
        LeaderTerm::Commands commands;  // nothing: not entitled to answer
    };
    awaitable<Answer> answer_as_leader(model::Heartbeat report);
    awaitable<net::Reply> answer_as_follower(model::Heartbeat report);
    std::optional<std::vector<model::Command>> keep_lease(const model::Heartbeat& report);
    std::string other_leader() const;
    net::Reply send_on(const std::string& member);
    bool relays_to(const std::string& leader) const;
    void answer_relayed(const std::string& member, std::uint64_t incarnation, std::uint64_t number,
                        const model::Heartbeat& report);
    awaitable<void> answer_later(std::shared_ptr<peer::RelayOutbox> outbox, std::uint64_t number,
                                 model::Heartbeat report);
    awaitable<void> answer_with_runs(std::shared_ptr<peer::RelayOutbox> outbox, std::uint64_t number,
                                     std::shared_ptr<LeaderTerm> term, model::Heartbeat report,
                                     LeaderTerm::Decision decision);
    std::shared_ptr<peer::RelayOutbox> outbox_to(const std::string& member, std::uint64_t incarnation);

    struct Heard {
        model::TimePoint at{};
        std::uint64_t incarnation = 0, term = 0;
        bool relays = false, leading = false;
    };
    net::Executor ex_;
    const config::Settings& settings_;
    const config::OperatorSettings& operator_settings_;
    scheduler::FollowerLeases& follower_leases_;
    std::uint64_t incarnation_;
    Callbacks callbacks_;
    WorkerAssignment assignment_;
    peer::HeartbeatRelay relay_;
    peer::RelayedHeartbeatCache relayed_;
    std::map<std::string, std::shared_ptr<peer::RelayOutbox>> outboxes_;  // for answers, by member
    std::map<std::string, Heard> heard_;
    std::uint32_t redirects_ = 0;  // reports sent on to the leader since this was last told
};

}  // namespace flintdale::app
