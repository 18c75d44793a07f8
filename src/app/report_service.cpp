#include "app/report_service.hpp"

#include "wire/json.hpp"

namespace flintdale::app {

using namespace std::chrono_literals;
using peer::RelayedAnswer;
using peer::RelayOutcome;
using wire::Clock;

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

RelayedAnswer relayed_answer(std::uint64_t number, std::uint64_t token, LeaderTerm::Orders orders) {
    RelayedAnswer out;
    out.number = number;
    out.token = token;
    out.outcome = orders ? RelayOutcome::answered : RelayOutcome::refused;
    if (orders) out.orders = std::move(*orders);
    return out;
}

}  // namespace

ReportService::ReportService(net::Executor ex, const config::Settings& settings, const config::Tunables& tunables,
                             scheduler::FollowerLeases& follower_leases, std::uint64_t incarnation, Links links)
    : ex_(ex),
      settings_(settings),
      tunables_(tunables),
      follower_leases_(follower_leases),
      incarnation_(incarnation),
      links_(std::move(links)),
      assignment_(settings, tunables),
      relay_(ex, settings, incarnation,
             [this](const std::string& member, const peer::RelayMessage& m) { return links_.send(member, m); }) {}

awaitable<net::Reply> ReportService::handle(std::string body) {
    wire::WorkerReport r;
    try {
        r = wire::parse_report(body);
    } catch (const wire::BadBody& e) {
        co_return reply(400, wire::error_body(e.what()));
    }
    links_.noticed(r);
    if (links_.leading()) {
        if (const auto other = assignment_.at_leader(r.machine, r.zone, Clock::now()))
            co_return reply(421, wire::redirect_body(*other));
        const auto answer = co_await answer_as_leader(std::move(r));
        if (!answer.leads) co_return send_on(other_leader());
        co_return answer.orders ? reply(200, wire::report_answer(answer.token, *answer.orders)) : not_entitled();
    }
    co_return co_await answer_as_follower(std::move(r));
}

awaitable<ReportService::Answer> ReportService::answer_as_leader(wire::WorkerReport r) {
    Answer out;
    if (!links_.leader_term()) {
        // A term that was just won begins in a moment.
        for (auto waited = 0ms;
             waited < begin_wait && links_.leading() && !links_.leader_term() && !links_.rebuilding();
             waited += begin_step)
            co_await net::sleep_for(begin_step);
        if (!links_.leader_term() && links_.leading()) {
            // The leases of workers are kept for as long as what is known of cancellations allows; what they show is
            // missed if nobody remembers it.
            links_.shown(r);
            out.token = links_.own_term();
            out.orders = follower_leases_.keep(r, Clock::now(), links_.told_until());
            co_return out;
        }
    }
    const auto term = links_.leader_term();
    if (!term) {
        out.leads = false;
        co_return out;
    }
    out.token = term->term();
    // A term that was won and not read yet, because the state service went away in between, has nobody to send the
    // worker to either.
    std::optional<wire::WorkerReport> kept;
    if (!term->loaded()) kept = r;
    out.orders = co_await term->report(std::move(r));
    if (!out.orders && kept && term == links_.leader_term() && !term->loaded() && !links_.state_healthy())
        out.orders = follower_leases_.keep(*kept, Clock::now(), links_.told_until());
    co_return out;
}

// While nobody leads.
std::optional<std::vector<wire::Order>> ReportService::keep_lease(const wire::WorkerReport& r) {
    // A worker whose reports were relayed has never been with the leader, and need not look for it first.
    return assignment_.serves(r.machine) ? follower_leases_.keep(r, Clock::now(), links_.told_until())
                                         : follower_leases_.answer(r, Clock::now(), links_.told_until());
}

bool ReportService::relays_to(const std::string& leader) const {
    const auto it = heard_.find(leader);
    return tunables_.relay && it != heard_.end() && it->second.relays && it->second.leading &&
           Clock::now() - it->second.at < heard_within;
}

// Who leads, if it is somebody else.
std::string ReportService::other_leader() const {
    const auto leader = links_.leader();
    return leader == settings_.member ? std::string() : leader;
}

net::Reply ReportService::send_on(const std::string& member) {
    if (!member.empty()) ++redirects_;
    return reply(421, wire::redirect_body(member));
}

awaitable<net::Reply> ReportService::answer_as_follower(wire::WorkerReport r) {
    if (links_.leaderless())
        if (const auto orders = keep_lease(r)) co_return reply(200, wire::report_answer(links_.newest_term(), *orders));
    const auto leader = other_leader();
    const bool relays = relays_to(leader);
    if (relays) {
        const auto other = assignment_.at_follower(r.machine, r.zone, leader, Clock::now());
        if (other) co_return *other == leader ? send_on(leader) : reply(421, wire::redirect_body(*other));
    }
    // One that was served here waits for the next leader with its connection open.
    if (!relays && !(tunables_.relay && assignment_.serves(r.machine))) co_return send_on(leader);
    const auto answer = co_await relay_.relay(std::move(r));
    co_return answer ? reply(200, wire::report_answer(answer->token, answer->orders)) : not_entitled();
}

void ReportService::received(const peer::Beat& beat) {
    const auto now = Clock::now();
    heard_[beat.member] = {now, beat.incarnation, beat.term, beat.relays, beat.leading};
    assignment_.heard(beat.member, {beat.relays, beat.leading, beat.workers, beat.capacity, beat.fleet}, now);
    const auto leader = links_.leader();
    if (links_.leading() || leader == settings_.member || !relays_to(leader)) {
        // A message of another controller says nothing of the leader that is followed.
        if (links_.leading() || beat.member == leader) relay_.follow(std::nullopt);
        return;
    }
    const auto& heard = heard_[leader];
    relay_.follow(peer::Leader{leader, heard.incarnation, heard.term});
}

void ReportService::describe(peer::Beat& beat) {
    beat.redirects = std::exchange(redirects_, 0);
    beat.relays = tunables_.relay;
    beat.workers = assignment_.workers(Clock::now());
    beat.capacity = assignment_.capacity(beat.leading);
    if (const auto term = links_.leader_term(); term && term->loaded())
        beat.fleet = static_cast<std::uint32_t>(term->scheduler().ledger().all().size());
}

std::shared_ptr<peer::RelayOutbox> ReportService::outbox_to(const std::string& member, std::uint64_t incarnation) {
    auto& outbox = outboxes_[member];
    if (!outbox)
        outbox = std::make_shared<peer::RelayOutbox>(
            ex_, [this, member](const peer::RelayMessage& m) { return links_.send(member, m); });
    outbox->address(settings_.member, incarnation_, incarnation);
    return outbox;
}

void ReportService::relayed(const peer::RelayMessage& message) {
    if (message.to != incarnation_) return;  // meant for the process before this one
    relay_.answered(message, links_.newest_term());
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
        RelayedAnswer unknown;
        unknown.number = r.number;
        unknown.outcome = RelayOutcome::unknown_handle;
        outbox_to(message.member, message.incarnation)->add(std::move(unknown));
    }
}

// At once where nothing is to be waited for: most reports are answered without a coroutine of their own.
void ReportService::answer_relayed(const std::string& member, std::uint64_t incarnation, std::uint64_t number,
                                   const wire::WorkerReport& report) {
    links_.noticed(report);
    const auto outbox = outbox_to(member, incarnation);
    const auto term = links_.leader_term();
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
    outbox->add(relayed_answer(number, term->term(), std::move(decision.orders)));
}

awaitable<void> ReportService::answer_later(std::shared_ptr<peer::RelayOutbox> outbox, std::uint64_t number,
                                            wire::WorkerReport report) {
    auto answer = co_await answer_as_leader(std::move(report));
    outbox->add(relayed_answer(number, answer.token, std::move(answer.orders)));
}

awaitable<void> ReportService::answer_with_runs(std::shared_ptr<peer::RelayOutbox> outbox, std::uint64_t number,
                                                std::shared_ptr<LeaderTerm> term, wire::WorkerReport report,
                                                LeaderTerm::Decision decision) {
    auto orders = co_await term->await_runs(std::move(report), std::move(decision));
    outbox->add(relayed_answer(number, term->term(), std::move(orders)));
}

}  // namespace flintdale::app
