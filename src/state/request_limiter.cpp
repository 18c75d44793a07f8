#include "state/request_limiter.hpp"

namespace flintdale::state {

using model::Clock;

namespace {
// What is less urgent still has its turn after so long: placements must not starve while jobs pour in. Leftovers may:
// at the head they would keep all others waiting for the large reserve that they have to leave.
constexpr std::chrono::milliseconds patience{400};
constexpr double portion = 0.35;  // of a second's writes
}  // namespace

RequestLimiter::RequestLimiter(net::Executor ex, TokenBucket bucket)
    : ex_(ex), budget_(bucket), reads_(ex), writes_(ex) {}

awaitable<void> RequestLimiter::enter(double writes, RequestPriority priority) {
    const auto now = Clock::now();
    auto& lane = writes > 0 ? writes_ : reads_;
    bool behind = false;
    for (auto u = 0; u <= static_cast<int>(priority); ++u) behind = behind || !lane.queues[u].empty();
    if (!behind && budget_.take(writes, priority, now).count() == 0) {
        admitted_writes_ += writes;
        co_return;
    }
    auto waiter = std::make_shared<Waiter>(ex_, writes, priority);
    waiter->since = now;
    waiter->admitted.expires_at(Clock::time_point::max());
    lane.queues[static_cast<int>(priority)].push_back(waiter);
    waiting_writes_ += writes;
    if (lane.pumping) {
        lane.changed.notify();
    } else {
        lane.pumping = true;
        net::asio::co_spawn(ex_, pump(lane), net::asio::detached);
    }
    if (!waiter->in) {
        auto [ec] = co_await waiter->admitted.async_wait(net::quietly);
        (void)ec;
    }
}

RequestLimiter::Queue* RequestLimiter::next(Lane& lane, Clock::time_point now) {
    Queue* first = nullptr;
    for (auto& queue : lane.queues) {
        if (queue.empty()) continue;
        if (!first) {
            first = &queue;
            // Leadership yields to nobody.
            if (queue.front()->priority == RequestPriority::leadership) return first;
        } else if (queue.front()->priority != RequestPriority::garbage_collection &&
                   now - queue.front()->since > patience && queue.front()->since < first->front()->since) {
            first = &queue;
        }
    }
    return first;
}

awaitable<void> RequestLimiter::pump(Lane& lane) {
    for (;;) {
        const auto now = Clock::now();
        auto* queue = next(lane, now);
        if (!queue) break;
        auto waiter = queue->front();
        // Whoever has waited long enough need not leave a reserve for others.
        const bool due = now - waiter->since > patience && waiter->priority == RequestPriority::bookkeeping;
        const auto as = due ? RequestPriority::leadership : waiter->priority;
        const auto wait = budget_.take(waiter->writes, as, now);
        if (wait.count() > 0) {
            const auto most = std::chrono::duration_cast<Clock::duration>(wait);
            co_await lane.changed.wait(std::min<Clock::duration>(most, patience));
            continue;
        }
        queue->pop_front();
        waiting_writes_ -= waiter->writes;
        admitted_writes_ += waiter->writes;
        waiter->in = true;
        waiter->admitted.cancel();
    }
    lane.pumping = false;
}

std::chrono::duration<double> RequestLimiter::write_wait() const {
    return std::chrono::duration<double>(waiting_writes_ / budget_.write_rate());
}

std::size_t RequestLimiter::write_portion() const { return static_cast<std::size_t>(budget_.write_rate() * portion); }

double RequestLimiter::take_demand() {
    const double demand = admitted_writes_ + waiting_writes_;
    admitted_writes_ = 0;
    return demand;
}

}  // namespace flintdale::state
