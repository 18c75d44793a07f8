#include "peer/heartbeat_relay.hpp"

namespace flintdale::peer {

using namespace std::chrono_literals;
using model::Clock;

namespace {

// A worker waits four seconds for its response; the difference allows for the transmission to the worker.
constexpr auto response_timeout = 3400ms;
// Limits the cache to a multiple of max_sockets, the largest number of connected workers.
constexpr std::size_t cached_heartbeats_per_socket = 2;

bool equal_except_sequence(const model::Heartbeat& a, model::Heartbeat b) {
    b.sequence = a.sequence;
    return a == b;
}

}  // namespace

HeartbeatRelay::HeartbeatRelay(net::Executor ex, const config::Settings& settings, std::uint64_t incarnation, Send send)
    : ex_(ex), settings_(settings), incarnation_(incarnation), send_(std::move(send)) {
    outbox_ = std::make_shared<RelayOutbox>(
        ex_, [this](const RelayMessage& message) { return leader_ && send_(leader_->member, message); },
        [this](const RelayMessage& message) { send_failed(message); });
}

void HeartbeatRelay::set_leader(const std::optional<Leader>& leader) {
    if (leader != leader_) {
        // A new leader, or the same one in a new term, has not handled the heartbeats that were sent before.
        reset_sent_state();
        leader_ = leader;
        if (leader_) outbox_->address(settings_.member, incarnation_, leader_->incarnation);
    }
    if (leader_) send_unsent();
}

void HeartbeatRelay::link_lost(const std::string& member) {
    if (!leader_ || leader_->member != member) return;
    reset_sent_state();
}

void HeartbeatRelay::reset_sent_state() {
    cached_by_leader_.clear();
    for (auto& [number, pending] : pending_) pending->sent = false;
}

void HeartbeatRelay::send_unsent() {
    for (auto& [number, pending] : pending_)
        if (!pending->sent) send(number, *pending);
}

HeartbeatRelay::CachedByLeader& HeartbeatRelay::cached_by_leader(const std::string& machine) {
    if (cached_by_leader_.size() > settings_.max_sockets * cached_heartbeats_per_socket) cached_by_leader_.clear();
    auto [it, is_new] = cached_by_leader_.try_emplace(machine);
    if (is_new) it->second.handle = ++last_handle_;
    return it->second;
}

void HeartbeatRelay::send(std::uint64_t number, PendingHeartbeat& pending) {
    pending.sent = true;
    auto& cached = cached_by_leader(pending.heartbeat.machine);
    if (cached.heartbeat && equal_except_sequence(*cached.heartbeat, pending.heartbeat)) {
        pending.original = cached.original;
        outbox_->add(RepeatedHeartbeat{number, cached.handle, pending.heartbeat.sequence, cached.original});
        return;
    }
    // Later heartbeats are sent in full until the leader has responded to this one.
    cached.heartbeat.reset();
    pending.original = number;
    outbox_->add(RelayedHeartbeat{number, cached.handle, pending.heartbeat});
}

void HeartbeatRelay::send_failed(const RelayMessage& message) {
    const auto send_again = [&](std::uint64_t number) {
        if (const auto it = pending_.find(number); it != pending_.end()) it->second->sent = false;
    };
    for (const auto& heartbeat : message.reports) send_again(heartbeat.number);
    for (const auto& heartbeat : message.repeated) send_again(heartbeat.number);
}

void HeartbeatRelay::finish(PendingHeartbeat& pending) {
    pending.finished = true;
    pending.timer.cancel();
}

void HeartbeatRelay::answered(const RelayMessage& message, std::uint64_t newest_term) {
    if (!leader_ || message.member != leader_->member || message.incarnation != leader_->incarnation) return;
    if (message.receiver_incarnation != incarnation_) return;
    for (const auto& answer : message.answers) answer_received(answer, newest_term);
}

void HeartbeatRelay::answer_received(const RelayedResponse& answer, std::uint64_t newest_term) {
    const auto it = pending_.find(answer.number);
    if (it == pending_.end() || it->second->finished || !it->second->sent) return;
    auto& pending = *it->second;
    if (answer.outcome == RelayOutcome::unknown_handle) {
        cached_by_leader(pending.heartbeat.machine).heartbeat.reset();
        send(answer.number, pending);
        return;
    }
    // The leader may have been elected for a newer term since its last status message.
    const bool current = answer.fencing_token >= leader_->term && answer.fencing_token >= newest_term;
    if (answer.outcome == RelayOutcome::answered && current) {
        // Another heartbeat of this worker, such as a delayed copy, may have been sent since. So a repeated heartbeat
        // carries the number of the full heartbeat that it repeats.
        auto& cached = cached_by_leader(pending.heartbeat.machine);
        cached.original = pending.original;
        cached.heartbeat = pending.heartbeat;
        pending.response = LeaderResponse{answer.fencing_token, answer.commands};
    }
    finish(pending);
}

awaitable<std::optional<LeaderResponse>> HeartbeatRelay::relay(model::Heartbeat heartbeat) {
    if (pending_.size() >= settings_.max_sockets) co_return std::nullopt;
    const auto number = ++last_number_;
    const auto pending = std::make_shared<PendingHeartbeat>(ex_, std::move(heartbeat));
    pending_[number] = pending;
    pending->timer.expires_after(response_timeout);
    if (leader_) send(number, *pending);
    if (!pending->finished) {
        auto [ec] = co_await pending->timer.async_wait(net::use_nothrow_awaitable);
        (void)ec;
    }
    pending->finished = true;
    pending_.erase(number);
    co_return std::move(pending->response);
}

}  // namespace flintdale::peer
