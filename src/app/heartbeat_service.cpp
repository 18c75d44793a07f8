#include "app/heartbeat_service.hpp"

#include "model/command.hpp"
#include "model/heartbeat.hpp"
#include "wire/json.hpp"

namespace flintdale::app {

using namespace std::chrono_literals;
using model::Clock;
using peer::RelayedResponse;
using peer::RelayOutcome;

namespace {

constexpr auto begin_wait = 2500ms, begin_step = 50ms;  // for a term that was just won
constexpr auto heard_within = 3s;

net::Reply reply(unsigned status, std::string body) {
    net::Reply r;
    r.status = status;
    r.body = std::move(body);
    return r;
}

net::Reply not_entitled() { return reply(503, wire::error_body("not entitled to answer now")); }

RelayedResponse relayed_answer(std::uint64_t number, std::uint64_t fencing_token, LeaderTerm::Commands commands) {
    RelayedResponse out;
    out.number = number;
    out.fencing_token = fencing_token;
    out.outcome = commands ? RelayOutcome::answered : RelayOutcome::refused;
    if (commands) out.commands = std::move(*commands);
    return out;
}

}  // namespace

HeartbeatService::HeartbeatService(net::Executor ex, const config::Settings& settings,
                                   const config::OperatorSettings& operator_settings,
                                   scheduler::FollowerLeases& follower_leases, std::uint64_t incarnation,
                                   Callbacks callbacks)
    : ex_(ex),
      settings_(settings),
      operator_settings_(operator_settings),
      follower_leases_(follower_leases),
      incarnation_(incarnation),
      callbacks_(std::move(callbacks)),
      assignment_(settings, operator_settings),
      relay_(ex, settings, incarnation,
             [this](const std::string& member, const peer::RelayMessage& m) { return callbacks_.send(member, m); }) {}

awaitable<net::Reply> HeartbeatService::handle(std::string body) {
    model::Heartbeat r;
    try {
        r = wire::parse_heartbeat(body);
    } catch (const wire::DecodeError& e) {
        co_return reply(400, wire::error_body(e.what()));
    }
    callbacks_.noticed(r);
    if (callbacks_.leading()) {
        if (const auto other = assignment_.at_leader(r.machine, r.zone, Clock::now()))
            co_return reply(421, wire::redirect_body(*other));
        const auto answer = co_await answer_as_leader(std::move(r));
        if (!answer.leads) co_return send_on(other_leader());
        co_return answer.commands ? reply(200, wire::heartbeat_response(answer.fencing_token, *answer.commands))
                                  : not_entitled();
    }
    co_return co_await answer_as_follower(std::move(r));
}

awaitable<HeartbeatService::Answer> HeartbeatService::answer_as_leader(model::Heartbeat r) {
    Answer out;
    if (!callbacks_.leader_term()) {
        // A term that was just won begins in a moment.
        for (auto waited = 0ms;
             waited < begin_wait && callbacks_.leading() && !callbacks_.leader_term() && !callbacks_.rebuilding();
             waited += begin_step)
            co_await net::sleep_for(begin_step);
        if (!callbacks_.leader_term() && callbacks_.leading()) {
            // The leases of workers are kept for as long as what is known of cancellations allows; what they show is
            // missed if nobody remembers it.
            callbacks_.shown(r);
            out.fencing_token = callbacks_.own_term();
            out.commands = follower_leases_.keep(r, Clock::now(), callbacks_.cancellations_known_until());
            co_return out;
        }
    }
    const auto term = callbacks_.leader_term();
    if (!term) {
        out.leads = false;
        co_return out;
    }
    out.fencing_token = term->term();
    // A term that was won and not read yet, because the state service went away in between, has nobody to send the
    // worker to either.
    std::optional<model::Heartbeat> kept;
    if (!term->loaded()) kept = r;
    out.commands = co_await term->report(std::move(r));
    if (!out.commands && kept && term == callbacks_.leader_term() && !term->loaded() && !callbacks_.state_healthy())
        out.commands = follower_leases_.keep(*kept, Clock::now(), callbacks_.cancellations_known_until());
    co_return out;
}

// While nobody leads.
std::optional<std::vector<model::Command>> HeartbeatService::keep_lease(const model::Heartbeat& r) {
    // A worker whose reports were relayed has never been with the leader, and need not look for it first.
    return assignment_.serves(r.machine)
               ? follower_leases_.keep(r, Clock::now(), callbacks_.cancellations_known_until())
               : follower_leases_.answer(r, Clock::now(), callbacks_.cancellations_known_until());
}

bool HeartbeatService::relays_to(const std::string& leader) const {
    const auto it = heard_.find(leader);
    return operator_settings_.relay_heartbeats && it != heard_.end() && it->second.relays && it->second.leading &&
           Clock::now() - it->second.at < heard_within;
}

// Who leads, if it is somebody else.
std::string HeartbeatService::other_leader() const {
    const auto leader = callbacks_.leader();
    return leader == settings_.member ? std::string() : leader;
}

net::Reply HeartbeatService::send_on(const std::string& member) {
    if (!member.empty()) ++redirects_;
    return reply(421, wire::redirect_body(member));
}

awaitable<net::Reply> HeartbeatService::answer_as_follower(model::Heartbeat r) {
    if (callbacks_.leaderless())
        if (const auto commands = keep_lease(r))
            co_return reply(200, wire::heartbeat_response(callbacks_.newest_term(), *commands));
    const auto leader = other_leader();
    const bool relays = relays_to(leader);
    if (relays) {
        const auto other = assignment_.at_follower(r.machine, r.zone, leader, Clock::now());
        if (other) co_return *other == leader ? send_on(leader) : reply(421, wire::redirect_body(*other));
    }
    // One that was served here waits for the next leader with its connection open.
    if (!relays && !(operator_settings_.relay_heartbeats && assignment_.serves(r.machine))) co_return send_on(leader);
    const auto answer = co_await relay_.relay(std::move(r));
    co_return answer ? reply(200, wire::heartbeat_response(answer->fencing_token, answer->commands)) : not_entitled();
}

void HeartbeatService::peer_status_received(const peer::StatusMessage& status) {
    const auto now = Clock::now();
    heard_[status.member] = {now, status.incarnation, status.term, status.relays, status.leading};
    assignment_.peer_load_received(status.member,
                                   {status.relays, status.leading, status.workers, status.capacity, status.fleet}, now);
    const auto leader = callbacks_.leader();
    if (callbacks_.leading() || leader == settings_.member || !relays_to(leader)) {
        // A message of another controller says nothing of the leader that is followed.
        if (callbacks_.leading() || status.member == leader) relay_.follow(std::nullopt);
        return;
    }
    const auto& heard = heard_[leader];
    relay_.follow(peer::Leader{leader, heard.incarnation, heard.term});
}

void HeartbeatService::fill_status(peer::StatusMessage& status) {
    status.redirects = std::exchange(redirects_, 0);
    status.relays = operator_settings_.relay_heartbeats;
    status.workers = assignment_.workers(Clock::now());
    status.capacity = assignment_.capacity(status.leading);
    if (const auto term = callbacks_.leader_term(); term && term->loaded())
        status.fleet = static_cast<std::uint32_t>(term->scheduler().inventory().all().size());
}

std::shared_ptr<peer::RelayOutbox> HeartbeatService::outbox_to(const std::string& member, std::uint64_t incarnation) {
    auto& outbox = outboxes_[member];
    if (!outbox)
        outbox = std::make_shared<peer::RelayOutbox>(
            ex_, [this, member](const peer::RelayMessage& m) { return callbacks_.send(member, m); });
    outbox->address(settings_.member, incarnation_, incarnation);
    return outbox;
}

void HeartbeatService::relay_message_received(const peer::RelayMessage& message) {
    if (message.receiver_incarnation != incarnation_) return;  // meant for the process before this one
    relay_.answered(message, callbacks_.newest_term());
    for (const auto& r : message.reports) {
        relayed_.keep(message.member, message.incarnation, r);
        answer_relayed(message.member, message.incarnation, r.number, r.report);
    }
    for (const auto& r : message.repeated) {
        const auto* report = relayed_.repeated(message.member, message.incarnation, r);
        if (report) {
            answer_relayed(message.member, message.incarnation, r.number, *report);
            continue;
        }
        RelayedResponse unknown;
        unknown.number = r.number;
        unknown.outcome = RelayOutcome::unknown_handle;
        outbox_to(message.member, message.incarnation)->add(std::move(unknown));
    }
}

// At once where nothing is to be waited for: most reports are answered without a coroutine of their own.
void HeartbeatService::answer_relayed(const std::string& member, std::uint64_t incarnation, std::uint64_t number,
                                      const model::Heartbeat& report) {
    callbacks_.noticed(report);
    const auto outbox = outbox_to(member, incarnation);
    const auto term = callbacks_.leader_term();
    if (!term || !term->loaded()) {
        net::asio::co_spawn(ex_, answer_later(outbox, number, report), net::asio::detached);
        return;
    }
    auto decision = term->decide(report);
    if (decision.wait) {
        net::asio::co_spawn(ex_, answer_with_runs(outbox, number, term, report, std::move(decision)),
                            net::asio::detached);
        return;
    }
    outbox->add(relayed_answer(number, term->term(), std::move(decision.commands)));
}

awaitable<void> HeartbeatService::answer_later(std::shared_ptr<peer::RelayOutbox> outbox, std::uint64_t number,
                                               model::Heartbeat report) {
    auto answer = co_await answer_as_leader(std::move(report));
    outbox->add(relayed_answer(number, answer.fencing_token, std::move(answer.commands)));
}

awaitable<void> HeartbeatService::answer_with_runs(std::shared_ptr<peer::RelayOutbox> outbox, std::uint64_t number,
                                                   std::shared_ptr<LeaderTerm> term, model::Heartbeat report,
                                                   LeaderTerm::Decision decision) {
    auto commands = co_await term->await_runs(std::move(report), std::move(decision));
    outbox->add(relayed_answer(number, term->term(), std::move(commands)));
}

}  // namespace flintdale::app
