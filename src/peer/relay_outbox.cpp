#include "peer/relay_outbox.hpp"

namespace flintdale::peer {

using model::Clock;

namespace {
constexpr std::chrono::milliseconds window{20};
constexpr std::size_t most_bytes = 256 * 1024;  // of a message, about; a link takes four times as much
constexpr std::size_t report_bytes = 200, task_bytes = 72, repeated_bytes = 24, answer_bytes = 32, order_bytes = 64;
}  // namespace

RelayOutbox::RelayOutbox(net::Executor ex, Send send, Failed failed)
    : ex_(ex), send_(std::move(send)), failed_(std::move(failed)) {}

void RelayOutbox::address(const std::string& member, std::uint64_t incarnation, std::uint64_t to) {
    if (gathered_.to != to) {
        gathered_ = {};
        bytes_ = 0;
    }
    gathered_.member = member;
    gathered_.incarnation = incarnation;
    gathered_.to = to;
}

void RelayOutbox::add(RelayedHeartbeat report) {
    const auto bytes = report_bytes + task_bytes * report.report.tasks.size();
    gathered_.reports.push_back(std::move(report));
    added(bytes);
}

void RelayOutbox::add(const RepeatedHeartbeat& report) {
    gathered_.repeated.push_back(report);
    added(repeated_bytes);
}

void RelayOutbox::add(RelayedResponse answer) {
    const auto bytes = answer_bytes + order_bytes * answer.commands.size();
    gathered_.answers.push_back(std::move(answer));
    added(bytes);
}

void RelayOutbox::added(std::size_t bytes) {
    bytes_ += bytes;
    const auto now = Clock::now();
    if (bytes_ >= most_bytes || (!waiting_ && now - flushed_ >= window)) return flush();
    if (waiting_) return;
    waiting_ = true;
    net::asio::co_spawn(ex_, flush_later(flushed_ + window - now), net::asio::detached);
}

net::awaitable<void> RelayOutbox::flush_later(Clock::duration in) {
    const auto self = shared_from_this();
    co_await net::sleep_for(in);
    self->waiting_ = false;
    self->flush();
}

void RelayOutbox::flush() {
    if (gathered_.empty()) return;
    flushed_ = Clock::now();
    bytes_ = 0;
    RelayMessage leaving;
    std::swap(leaving, gathered_);
    gathered_.member = leaving.member;
    gathered_.incarnation = leaving.incarnation;
    gathered_.to = leaving.to;
    if (!send_(leaving) && failed_) failed_(leaving);
}

}  // namespace flintdale::peer
