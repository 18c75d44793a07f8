#include "peer/heartbeat_relay.hpp"

#include "model/heartbeat.hpp"

namespace flintdale::peer {

using namespace std::chrono_literals;
using model::Clock;

namespace {
// A worker waits for four seconds, and its answer needs time for the way back.
constexpr auto patience = 3400ms;
constexpr std::size_t reports_a_socket = 2;  // remembered, for the workers that may be connected at once

bool same_but_for_tick(const model::Heartbeat& a, model::Heartbeat b) {
    b.sequence = a.sequence;
    return a == b;
}
}  // namespace

HeartbeatRelay::HeartbeatRelay(net::Executor ex, const config::Settings& settings, std::uint64_t incarnation, Send send)
    : ex_(ex), settings_(settings), incarnation_(incarnation), send_(std::move(send)) {
    outbox_ = std::make_shared<RelayOutbox>(
        ex_, [this](const RelayMessage& message) { return leader_ && send_(leader_->member, message); },
        [this](const RelayMessage& message) { not_sent(message); });
}

void HeartbeatRelay::follow(const std::optional<Leader>& leader) {
    if (leader != leader_) {
        // Another leader, or another term of it, has decided on nothing that was sent before.
        forget_sent();
        leader_ = leader;
        if (leader_) outbox_->address(settings_.member, incarnation_, leader_->incarnation);
    }
    if (leader_) send_waiting();
}

void HeartbeatRelay::link_lost(const std::string& member) {
    if (!leader_ || leader_->member != member) return;
    forget_sent();
}

// Whatever waits has to be sent anew, and in full.
void HeartbeatRelay::forget_sent() {
    held_.clear();
    for (auto& [number, waiting] : waiting_) waiting->sent = false;
}

void HeartbeatRelay::send_waiting() {
    for (auto& [number, waiting] : waiting_)
        if (!waiting->sent) send(number, *waiting);
}

HeartbeatRelay::Held& HeartbeatRelay::held(const std::string& machine) {
    if (held_.size() > settings_.max_sockets * reports_a_socket) held_.clear();
    auto [it, fresh] = held_.try_emplace(machine);
    if (fresh) it->second.handle = ++handles_;
    return it->second;
}

void HeartbeatRelay::send(std::uint64_t number, Waiting& waiting) {
    waiting.sent = true;
    auto& known = held(waiting.report.machine);
    if (known.report && same_but_for_tick(*known.report, waiting.report)) {
        waiting.full = known.full;
        outbox_->add(RepeatedHeartbeat{number, known.handle, waiting.report.sequence, known.full});
        return;
    }
    // Not repeated before the leader is known to have this one.
    known.report.reset();
    waiting.full = number;
    outbox_->add(RelayedHeartbeat{number, known.handle, waiting.report});
}

void HeartbeatRelay::not_sent(const RelayMessage& message) {
    const auto again = [&](std::uint64_t number) {
        if (const auto it = waiting_.find(number); it != waiting_.end()) it->second->sent = false;
    };
    for (const auto& r : message.reports) again(r.number);
    for (const auto& r : message.repeated) again(r.number);
}

void HeartbeatRelay::end(Waiting& waiting) {
    waiting.over = true;
    waiting.timer.cancel();
}

void HeartbeatRelay::answered(const RelayMessage& message, std::uint64_t newest_term) {
    if (!leader_ || message.member != leader_->member || message.incarnation != leader_->incarnation ||
        message.to != incarnation_)
        return;
    for (const auto& answer : message.answers) {
        const auto it = waiting_.find(answer.number);
        if (it == waiting_.end() || it->second->over || !it->second->sent) continue;
        auto& waiting = *it->second;
        if (answer.outcome == RelayOutcome::unknown_handle) {
            held(waiting.report.machine).report.reset();
            send(answer.number, waiting);
            continue;
        }
        // It may have won another term since it was last heard.
        const bool current = answer.fencing_token >= leader_->term && answer.fencing_token >= newest_term;
        if (answer.outcome == RelayOutcome::answered && current) {
            // Another report of this worker, a late copy perhaps, may have been sent meanwhile: what is repeated is
            // named.
            auto& known = held(waiting.report.machine);
            known.full = waiting.full;
            known.report = waiting.report;
            waiting.answer = LeaderResponse{answer.fencing_token, answer.commands};
        }
        end(waiting);
    }
}

awaitable<std::optional<LeaderResponse>> HeartbeatRelay::relay(model::Heartbeat report) {
    if (waiting_.size() >= settings_.max_sockets) co_return std::nullopt;
    const auto number = ++numbers_;
    const auto waiting = std::make_shared<Waiting>(ex_, std::move(report));
    waiting_[number] = waiting;
    waiting->timer.expires_after(patience);
    if (leader_) send(number, *waiting);
    if (!waiting->over) {
        auto [ec] = co_await waiting->timer.async_wait(net::quietly);
        (void)ec;
    }
    waiting->over = true;
    waiting_.erase(number);
    co_return std::move(waiting->answer);
}

}  // namespace flintdale::peer
