// Queues requests to the store until this controller's share of the store's limits admits them: by priority, then in
// the order of arrival.
#pragma once
#include <array>
#include <deque>
#include <memory>

#include "model/clock.hpp"
#include "state/token_bucket.hpp"

namespace flintdale::state {

class RequestLimiter {
  public:
    RequestLimiter(net::Executor ex, TokenBucket bucket);

    // Returns once a request with this number of writes may be sent; 0 for a read. The limiter must outlive the call.
    awaitable<void> acquire(double writes, RequestPriority priority);

    // The maximum number of writes that a transaction without urgency should contain.
    std::size_t preferred_batch_size() const;

    // The estimated wait of a write that is requested now.
    std::chrono::duration<double> write_wait() const;

    // The number of writes admitted since the last call, plus all that still wait.
    double take_demand();

    TokenBucket& bucket() { return bucket_; }

  private:
    static constexpr std::size_t priorities = 4;

    struct Waiter {
        Waiter(net::Executor ex, double w, RequestPriority p) : admitted(ex), writes(w), priority(p) {}
        net::Timer admitted;  // cancelled on admission
        double writes;
        RequestPriority priority;
        bool is_admitted = false;
        model::Clock::time_point since{};
    };
    using Queue = std::deque<std::shared_ptr<Waiter>>;
    // Reads and writes wait in separate lanes: the write limit is the tighter one and must not delay reads.
    struct Lane {
        explicit Lane(net::Executor ex) : changed(ex) {}
        // Whether a request of this or a higher priority waits.
        bool has_waiting(RequestPriority priority) const;
        std::array<Queue, priorities> queues;  // by priority
        net::Wakeup changed;
        bool admitting = false;  // admit_waiting() is running for this lane
    };
    // Admits the lane's requests as the token bucket refills; ends when none waits.
    awaitable<void> admit_waiting(Lane& lane);
    // The queue whose first request is admitted next; null if none waits.
    static Queue* next_queue(Lane& lane, model::Clock::time_point now);
    void admit(Queue& queue);

    net::Executor ex_;
    TokenBucket bucket_;
    Lane reads_, writes_;
    double waiting_writes_ = 0, admitted_writes_ = 0;
};

}  // namespace flintdale::state
