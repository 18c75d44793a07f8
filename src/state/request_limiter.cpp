#include "state/request_limiter.hpp"

namespace flintdale::state {

using model::Clock;

namespace {

// A less urgent request has its turn after this time: placements must not starve while jobs pour in. Garbage collection
// may starve: at the head it would keep all others waiting for the large reserve that it has to leave.
constexpr std::chrono::milliseconds starvation_limit{400};
constexpr double portion_of_a_second = 0.35;  // of a second's writes

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

awaitable<void> RequestLimiter::enter(double writes, RequestPriority priority) {
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
    if (lane.pumping) {
        lane.changed.notify();
    } else {
        lane.pumping = true;
        net::asio::co_spawn(ex_, pump(lane), net::asio::detached);
    }
    if (!waiter->is_admitted) {
        auto [ec] = co_await waiter->admitted.async_wait(net::quietly);
        (void)ec;
    }
}

// The most urgent one, or the one that has waited longest of those that have starved.
RequestLimiter::Queue* RequestLimiter::next_queue(Lane& lane, Clock::time_point now) {
    Queue* next = nullptr;
    for (auto& queue : lane.queues) {
        if (queue.empty()) continue;
        const auto& waiter = *queue.front();
        if (!next) {
            next = &queue;
            // Leadership yields to nobody.
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

awaitable<void> RequestLimiter::pump(Lane& lane) {
    for (;;) {
        const auto now = Clock::now();
        auto* queue = next_queue(lane, now);
        if (!queue) break;
        const auto& waiter = *queue->front();
        // A request that has starved need not leave a reserve for others.
        const bool has_waited_enough = now - waiter.since > starvation_limit;
        const bool without_reserve = has_waited_enough && waiter.priority == RequestPriority::bookkeeping;
        const auto priority = without_reserve ? RequestPriority::leadership : waiter.priority;
        const auto wait = bucket_.take(waiter.writes, priority, now);
        if (wait.count() == 0) {
            admit(*queue);
            continue;
        }
        const auto until_enough = std::chrono::duration_cast<Clock::duration>(wait);
        const auto at_most = std::min<Clock::duration>(until_enough, starvation_limit);
        co_await lane.changed.wait(at_most);
    }
    lane.pumping = false;
}

std::chrono::duration<double> RequestLimiter::write_wait() const {
    return std::chrono::duration<double>(waiting_writes_ / bucket_.write_rate());
}

std::size_t RequestLimiter::write_portion() const {
    return static_cast<std::size_t>(bucket_.write_rate() * portion_of_a_second);
}

double RequestLimiter::take_demand() {
    const double demand = admitted_writes_ + waiting_writes_;
    admitted_writes_ = 0;
    return demand;
}

}  // namespace flintdale::state
