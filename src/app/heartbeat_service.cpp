#include "app/heartbeat_service.hpp"

#include "api/reply.hpp"
#include "wire/json.hpp"

namespace flintdale::app {

using namespace std::chrono_literals;
using api::error_reply;
using api::make_reply;
using model::Clock;
using peer::RelayedResponse;
using peer::RelayOutcome;

namespace {

// For a term that was just won.
constexpr auto max_wait_for_term = 2500ms, term_poll_interval = 50ms;

net::Reply must_not_answer() { return error_reply(503, "not entitled to answer now"); }

net::Reply redirect(const std::string& member) { return make_reply(421, wire::redirect_body(member)); }

net::Reply commands_reply(std::uint64_t fencing_token, const std::vector<model::Command>& commands) {
    return make_reply(200, wire::heartbeat_response(fencing_token, commands));
}

RelayedResponse relayed_response(std::uint64_t number, std::uint64_t fencing_token, LeaderTerm::Commands commands) {
    RelayedResponse response;
    response.number = number;
    response.fencing_token = fencing_token;
    response.outcome = commands ? RelayOutcome::answered : RelayOutcome::refused;
    if (commands) response.commands = std::move(*commands);
    return response;
}

}  // namespace

HeartbeatService::HeartbeatService(net::Executor ex, const config::Settings& settings,
                                   const config::OperatorSettings& operator_settings, const ClusterView& cluster,
                                   const PeerTable& peers, scheduler::FollowerLeases& follower_leases,
                                   std::uint64_t incarnation, Callbacks callbacks)
    : ex_(ex),
      settings_(settings),
      operator_settings_(operator_settings),
      cluster_(cluster),
      peers_(peers),
      follower_leases_(follower_leases),
      incarnation_(incarnation),
      callbacks_(std::move(callbacks)),
      assignment_(settings, operator_settings),
      relay_(ex, settings, incarnation, callbacks_.send) {}

awaitable<net::Reply> HeartbeatService::handle(std::string body) {
    model::Heartbeat heartbeat;
    try {
        heartbeat = wire::parse_heartbeat(body);
    } catch (const wire::DecodeError& e) {
        co_return error_reply(400, e.what());
    }
    callbacks_.received(heartbeat);
    if (!cluster_.leading()) co_return co_await answer_as_follower(std::move(heartbeat));
    if (const auto other = assignment_.at_leader(heartbeat.machine, heartbeat.zone, Clock::now()))
        co_return redirect(*other);
    const auto answer = co_await answer_as_leader(std::move(heartbeat));
    if (!answer.leads) co_return redirect_to_leader(cluster_.other_leader());
    co_return answer.commands ? commands_reply(answer.fencing_token, *answer.commands) : must_not_answer();
}

// --- as the leader ---

awaitable<HeartbeatService::LeaderAnswer> HeartbeatService::answer_as_leader(model::Heartbeat heartbeat) {
    LeaderAnswer answer;
    if (!cluster_.leader_term()) {
        co_await await_begin_of_term();
        if (!cluster_.leader_term() && cluster_.leading()) {
            // The leases of workers are kept for as long as what is known of cancellations allows; the tasks that they
            // report are looked for if no controller remembers them.
            callbacks_.received_in_recovery(heartbeat);
            answer.fencing_token = cluster_.last_won_term();
            answer.commands = renew_lease_without_term(heartbeat);
            co_return answer;
        }
    }
    const auto term = cluster_.leader_term();
    if (!term) {
        answer.leads = false;
        co_return answer;
    }
    answer.fencing_token = term->number();
    std::optional<model::Heartbeat> copy;
    if (!term->loaded()) copy = heartbeat;
    answer.commands = co_await term->handle_heartbeat(std::move(heartbeat));
    // A term that was won and could not read the records, because the state service became unreachable in between, has
    // no other controller to redirect the worker to either.
    if (!answer.commands && copy && term == cluster_.leader_term() && !term->loaded() && !cluster_.store_is_healthy())
        answer.commands = renew_lease_without_term(*copy);
    co_return answer;
}

// A term that was just won begins in a moment. This polls, because a term begins only after many steps of the recovery.
awaitable<void> HeartbeatService::await_begin_of_term() {
    for (auto waited = 0ms; waited < max_wait_for_term; waited += term_poll_interval) {
        if (!cluster_.leading() || cluster_.leader_term() || cluster_.recovering()) co_return;
        co_await net::sleep_for(term_poll_interval);
    }
}

LeaderTerm::Commands HeartbeatService::renew_lease_without_term(const model::Heartbeat& heartbeat) {
    return follower_leases_.keep(heartbeat, Clock::now(), callbacks_.cancellations_known_until());
}

// --- as a follower ---

LeaderTerm::Commands HeartbeatService::renew_lease_while_leaderless(const model::Heartbeat& heartbeat) {
    // A worker whose heartbeats were relayed here has never reported to the leader, and need not look for it first.
    if (assignment_.serves(heartbeat.machine)) return renew_lease_without_term(heartbeat);
    return follower_leases_.answer(heartbeat, Clock::now(), callbacks_.cancellations_known_until());
}

bool HeartbeatService::relays_to(const std::string& leader) const {
    if (!operator_settings_.relay_heartbeats) return false;
    const auto* peer = peers_.find_recent(leader, Clock::now());
    return peer && peer->relays && peer->leading;
}

net::Reply HeartbeatService::redirect_to_leader(const std::string& member) {
    if (!member.empty()) ++redirects_;
    return redirect(member);
}

awaitable<net::Reply> HeartbeatService::answer_as_follower(model::Heartbeat heartbeat) {
    if (cluster_.leaderless())
        if (const auto commands = renew_lease_while_leaderless(heartbeat))
            co_return commands_reply(cluster_.newest_term(), *commands);
    const auto leader = cluster_.other_leader();
    const bool relays = relays_to(leader);
    if (relays) {
        const auto other = assignment_.at_follower(heartbeat.machine, heartbeat.zone, leader, Clock::now());
        if (other) co_return *other == leader ? redirect_to_leader(leader) : redirect(*other);
    }
    // A worker that was served here waits for the next leader with its connection open.
    const bool waits_here = operator_settings_.relay_heartbeats && assignment_.serves(heartbeat.machine);
    if (!relays && !waits_here) co_return redirect_to_leader(leader);
    const auto answer = co_await relay_.relay(std::move(heartbeat));
    co_return answer ? commands_reply(answer->fencing_token, answer->commands) : must_not_answer();
}

// --- messages of other controllers ---

void HeartbeatService::peer_status_received(const peer::StatusMessage& status) {
    const auto now = Clock::now();
    assignment_.peer_load_received(status.member,
                                   {status.relays, status.leading, status.workers, status.capacity, status.fleet}, now);
    const auto leader = cluster_.leader();
    if (cluster_.leading() || leader == settings_.member || !relays_to(leader)) {
        // A message of another controller says nothing of the leader that is followed.
        if (cluster_.leading() || status.member == leader) relay_.set_leader(std::nullopt);
        return;
    }
    const auto& peer = *peers_.find(leader);
    relay_.set_leader(peer::Leader{leader, peer.incarnation, peer.term});
}

void HeartbeatService::fill_status(peer::StatusMessage& status) {
    status.redirects = std::exchange(redirects_, 0);
    status.relays = operator_settings_.relay_heartbeats;
    status.workers = assignment_.workers(Clock::now());
    status.capacity = assignment_.capacity(status.leading);
    if (const auto term = cluster_.leader_term(); term && term->loaded())
        status.fleet = static_cast<std::uint32_t>(term->scheduler().inventory().all().size());
}

std::shared_ptr<peer::RelayOutbox> HeartbeatService::outbox_to(const std::string& member, std::uint64_t incarnation) {
    auto& outbox = outboxes_[member];
    if (!outbox)
        outbox = std::make_shared<peer::RelayOutbox>(
            ex_, [this, member](const peer::RelayMessage& message) { return callbacks_.send(member, message); });
    outbox->address(settings_.member, incarnation_, incarnation);
    return outbox;
}

void HeartbeatService::relay_message_received(const peer::RelayMessage& message) {
    if (message.receiver_incarnation != incarnation_) return;  // meant for an earlier process of this controller
    relay_.answered(message, cluster_.newest_term());
    for (const auto& relayed : message.reports) {
        relayed_heartbeats_.keep(message.member, message.incarnation, relayed);
        answer_relayed(message.member, message.incarnation, relayed.number, relayed.report);
    }
    for (const auto& repeated : message.repeated) {
        const auto* heartbeat = relayed_heartbeats_.repeated(message.member, message.incarnation, repeated);
        if (heartbeat) {
            answer_relayed(message.member, message.incarnation, repeated.number, *heartbeat);
            continue;
        }
        RelayedResponse unknown;
        unknown.number = repeated.number;
        unknown.outcome = RelayOutcome::unknown_handle;
        outbox_to(message.member, message.incarnation)->add(std::move(unknown));
    }
}

// At once where there is nothing to wait for: most heartbeats are answered without a coroutine of their own.
void HeartbeatService::answer_relayed(const std::string& member, std::uint64_t incarnation, std::uint64_t number,
                                      const model::Heartbeat& heartbeat) {
    callbacks_.received(heartbeat);
    const auto outbox = outbox_to(member, incarnation);
    const auto term = cluster_.leader_term();
    if (!term || !term->loaded()) {
        net::asio::co_spawn(ex_, answer_relayed_later(outbox, number, heartbeat), net::asio::detached);
        return;
    }
    auto decision = term->decide(heartbeat);
    if (decision.runs_expected) {
        net::asio::co_spawn(ex_, answer_relayed_with_runs(outbox, number, term, heartbeat, std::move(decision)),
                            net::asio::detached);
        return;
    }
    outbox->add(relayed_response(number, term->number(), std::move(decision.commands)));
}

awaitable<void> HeartbeatService::answer_relayed_later(std::shared_ptr<peer::RelayOutbox> outbox, std::uint64_t number,
                                                       model::Heartbeat heartbeat) {
    auto answer = co_await answer_as_leader(std::move(heartbeat));
    outbox->add(relayed_response(number, answer.fencing_token, std::move(answer.commands)));
}

awaitable<void> HeartbeatService::answer_relayed_with_runs(std::shared_ptr<peer::RelayOutbox> outbox,
                                                           std::uint64_t number, std::shared_ptr<LeaderTerm> term,
                                                           model::Heartbeat heartbeat, LeaderTerm::Decision decision) {
    auto commands = co_await term->await_runs(std::move(heartbeat), std::move(decision));
    outbox->add(relayed_response(number, term->number(), std::move(commands)));
}

}  // namespace flintdale::app
