// Workers' reports: answered by the leader, directly or through the controllers that relay; sent on to the leader by
// the others; and where nobody leads, leases that are kept alive.
#pragma once
#include "app/leader_term.hpp"
#include "app/worker_assignment.hpp"
#include "net/http_server.hpp"
#include "peer/link.hpp"
#include "peer/relayed_reports.hpp"
#include "peer/report_relay.hpp"
#include "scheduler/follower_leases.hpp"

namespace flintdale::app {

class ReportService {
  public:
    struct Links {
        std::function<void(const wire::WorkerReport&)> noticed;  // of each report that arrives here or is relayed here
        std::function<bool()> leading;                           // by the claim, whether or not its term has begun
        std::function<bool()> rebuilding;                        // the records; no term begins meanwhile
        std::function<std::shared_ptr<LeaderTerm>()> leader_term;  // null: none has begun
        std::function<std::uint64_t()> own_term;                   // the last that was won
        std::function<std::uint64_t()> newest_term;                // the highest that was heard of
        std::function<std::string()> leader;                       // who is believed to lead; empty: nobody
        std::function<bool()> leaderless;  // no leader is heard, and none could be elected from here
        std::function<bool()> state_healthy;
        std::function<wire::TimePoint()> told_until;           // for follower_leases
        std::function<void(const wire::WorkerReport&)> shown;  // while the records are rebuilt
        std::function<bool(const std::string& member, const peer::RelayMessage&)> send;
    };
    ReportService(net::Executor ex, const config::Settings& settings, const config::Tunables& tunables,
                  scheduler::FollowerLeases& follower_leases, std::uint64_t incarnation, Links links);

    // POST /agent/beat
    awaitable<net::Reply> handle(std::string body);
    // From another controller.
    void received(const peer::Beat& beat);
    void relayed(const peer::RelayMessage& message);
    void link_lost(const std::string& member) { relay_.link_lost(member); }
    // What this controller says of itself.
    void describe(peer::Beat& beat);
    // A term of this controller has begun or ended.
    void term_changed() { relayed_.clear(); }

  private:
    // What a controller that leads says to a report. `leads`: it turned out to do so.
    struct Answer {
        bool leads = true;
        std::uint64_t token = 0;
        LeaderTerm::Orders orders;  // nothing: not entitled to answer
    };
    awaitable<Answer> answer_as_leader(wire::WorkerReport report);
    awaitable<net::Reply> answer_as_follower(wire::WorkerReport report);
    std::optional<std::vector<wire::Order>> keep_lease(const wire::WorkerReport& report);
    std::string other_leader() const;
    net::Reply send_on(const std::string& member);
    bool relays_to(const std::string& leader) const;
    void answer_relayed(const std::string& member, std::uint64_t incarnation, std::uint64_t number,
                        const wire::WorkerReport& report);
    awaitable<void> answer_later(std::shared_ptr<peer::RelayOutbox> outbox, std::uint64_t number,
                                 wire::WorkerReport report);
    awaitable<void> answer_with_runs(std::shared_ptr<peer::RelayOutbox> outbox, std::uint64_t number,
                                     std::shared_ptr<LeaderTerm> term, wire::WorkerReport report,
                                     LeaderTerm::Decision decision);
    std::shared_ptr<peer::RelayOutbox> outbox_to(const std::string& member, std::uint64_t incarnation);

    struct Heard {
        wire::TimePoint at{};
        std::uint64_t incarnation = 0, term = 0;
        bool relays = false, leading = false;
    };
    net::Executor ex_;
    const config::Settings& settings_;
    const config::Tunables& tunables_;
    scheduler::FollowerLeases& follower_leases_;
    std::uint64_t incarnation_;
    Links links_;
    WorkerAssignment assignment_;
    peer::ReportRelay relay_;
    peer::RelayedReports relayed_;
    std::map<std::string, std::shared_ptr<peer::RelayOutbox>> outboxes_;  // for answers, by member
    std::map<std::string, Heard> heard_;
    std::uint32_t redirects_ = 0;  // reports sent on to the leader since this was last told
};

}  // namespace flintdale::app
