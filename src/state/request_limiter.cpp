#include "state/request_limiter.hpp"

namespace flintdale::state {

using model::Clock;

namespace {

// After this wait, a request takes precedence over later ones of higher priority, except leadership: placements must
// not starve during a burst of submissions. Garbage collection may starve: at the head of the queue it would delay all
// other requests until its large reserve is available.
constexpr std::chrono::milliseconds starvation_limit{400};
constexpr double batch_share_of_a_second = 0.35;  // largest batch, as a fraction of one second's writes

bool has_starved(const RequestPriority priority, Clock::duration waited) {
    return priority != RequestPriority::garbage_collection && waited > starvation_limit;
}

}  // namespace

RequestLimiter::RequestLimiter(net::Executor ex, TokenBucket bucket)
    : ex_(ex), bucket_(bucket), reads_(ex), writes_(ex) {}

bool RequestLimiter::Lane::has_waiting(RequestPriority priority) const {
    for (std::size_t i = 0; i <= static_cast<std::size_t>(priority); ++i)
        if (!queues[i].empty()) return true;
    return false;
}

awaitable<void> RequestLimiter::acquire(double writes, RequestPriority priority) {
    const auto now = Clock::now();
    auto& lane = writes > 0 ? writes_ : reads_;
    if (!lane.has_waiting(priority) && bucket_.take(writes, priority, now).count() == 0) {
        admitted_writes_ += writes;
        co_return;
    }
    auto waiter = std::make_shared<Waiter>(ex_, writes, priority);
    waiter->since = now;
    waiter->admitted.expires_at(Clock::time_point::max());
    lane.queues[static_cast<std::size_t>(priority)].push_back(waiter);
    waiting_writes_ += writes;
    if (lane.admitting) {
        lane.changed.notify();
    } else {
        lane.admitting = true;
        net::asio::co_spawn(ex_, admit_waiting(lane), net::asio::detached);
    }
    if (!waiter->is_admitted) {
        auto [ec] = co_await waiter->admitted.async_wait(net::use_nothrow_awaitable);
        (void)ec;
    }
}

// The longest waiting request among those that have starved, otherwise the one of the highest priority. Leadership
// always comes first.
RequestLimiter::Queue* RequestLimiter::next_queue(Lane& lane, Clock::time_point now) {
    Queue* next = nullptr;
    for (auto& queue : lane.queues) {
        if (queue.empty()) continue;
        const auto& waiter = *queue.front();
        if (!next) {
            next = &queue;
            if (waiter.priority == RequestPriority::leadership) return next;
        } else if (has_starved(waiter.priority, now - waiter.since) && waiter.since < next->front()->since) {
            next = &queue;
        }
    }
    return next;
}

void RequestLimiter::admit(Queue& queue) {
    const auto waiter = queue.front();
    queue.pop_front();
    waiting_writes_ -= waiter->writes;
    admitted_writes_ += waiter->writes;
    waiter->is_admitted = true;
    waiter->admitted.cancel();
}

awaitable<void> RequestLimiter::admit_waiting(Lane& lane) {
    for (;;) {
        const auto now = Clock::now();
        auto* queue = next_queue(lane, now);
        if (!queue) break;
        const auto& waiter = *queue->front();
        // A starved bookkeeping request may use the reserve that is kept for higher priorities.
        const bool is_overdue = now - waiter.since > starvation_limit;
        const bool without_reserve = is_overdue && waiter.priority == RequestPriority::bookkeeping;
        const auto priority = without_reserve ? RequestPriority::leadership : waiter.priority;
        const auto wait = bucket_.take(waiter.writes, priority, now);
        if (wait.count() == 0) {
            admit(*queue);
            continue;
        }
        const auto refill_wait = std::chrono::duration_cast<Clock::duration>(wait);
        const auto limited_wait = std::min<Clock::duration>(refill_wait, starvation_limit);
        co_await lane.changed.wait(limited_wait);
    }
    lane.admitting = false;
}

std::chrono::duration<double> RequestLimiter::write_wait() const {
    return std::chrono::duration<double>(waiting_writes_ / bucket_.write_rate());
}

std::size_t RequestLimiter::preferred_batch_size() const {
    return static_cast<std::size_t>(bucket_.write_rate() * batch_share_of_a_second);
}

double RequestLimiter::take_demand() {
    const double demand = admitted_writes_ + waiting_writes_;
    admitted_writes_ = 0;
    return demand;
}

}  // namespace flintdale::state
