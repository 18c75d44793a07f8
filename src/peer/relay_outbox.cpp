#include "peer/relay_outbox.hpp"

namespace flintdale::peer {

using model::Clock;

namespace {

constexpr std::chrono::milliseconds batching_window{20};
// Estimated size of a message that is sent without waiting longer. The limit of a frame is four times as large.
constexpr std::size_t max_message_bytes = 256 * 1024;
// Estimated sizes of the parts of a message.
constexpr std::size_t heartbeat_bytes = 200, task_bytes = 72, repeated_bytes = 24, response_bytes = 32,
                      command_bytes = 64;

}  // namespace

RelayOutbox::RelayOutbox(net::Executor ex, Send send, Failed failed)
    : ex_(ex), send_(std::move(send)), failed_(std::move(failed)) {}

void RelayOutbox::address(const std::string& member, std::uint64_t incarnation, std::uint64_t receiver_incarnation) {
    if (collected_.receiver_incarnation != receiver_incarnation) {
        collected_ = {};
        collected_bytes_ = 0;
    }
    collected_.member = member;
    collected_.incarnation = incarnation;
    collected_.receiver_incarnation = receiver_incarnation;
}

void RelayOutbox::add(RelayedHeartbeat heartbeat) {
    const auto bytes = heartbeat_bytes + task_bytes * heartbeat.report.tasks.size();
    collected_.reports.push_back(std::move(heartbeat));
    added(bytes);
}

void RelayOutbox::add(const RepeatedHeartbeat& heartbeat) {
    collected_.repeated.push_back(heartbeat);
    added(repeated_bytes);
}

void RelayOutbox::add(RelayedResponse response) {
    const auto bytes = response_bytes + command_bytes * response.commands.size();
    collected_.answers.push_back(std::move(response));
    added(bytes);
}

void RelayOutbox::added(std::size_t bytes) {
    collected_bytes_ += bytes;
    const auto now = Clock::now();
    const bool window_is_over = now - last_flush_ >= batching_window;
    if (collected_bytes_ >= max_message_bytes || (!flush_pending_ && window_is_over)) {
        flush();
        return;
    }
    if (flush_pending_) return;
    flush_pending_ = true;
    net::asio::co_spawn(ex_, flush_after(last_flush_ + batching_window - now), net::asio::detached);
}

net::awaitable<void> RelayOutbox::flush_after(Clock::duration delay) {
    const auto self = shared_from_this();
    co_await net::sleep_for(delay);
    self->flush_pending_ = false;
    self->flush();
}

void RelayOutbox::flush() {
    if (collected_.empty()) return;
    last_flush_ = Clock::now();
    collected_bytes_ = 0;
    RelayMessage outgoing;
    std::swap(outgoing, collected_);
    collected_.member = outgoing.member;
    collected_.incarnation = outgoing.incarnation;
    collected_.receiver_incarnation = outgoing.receiver_incarnation;
    if (!send_(outgoing) && failed_) failed_(outgoing);
}

}  // namespace flintdale::peer
