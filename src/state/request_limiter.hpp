// The queue of requests to the store that wait for this controller's share of its limits: the more urgent first, then
// in the order of arrival.
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

    // Returns once a request with this number of writes may be sent; 0 writes: a read. The limiter must outlive it.
    awaitable<void> acquire(double writes, RequestPriority priority);

    // How many writes a transaction that is not urgent should hold at most.
    std::size_t preferred_batch_size() const;

    // How long a write that is requested now would wait.
    std::chrono::duration<double> write_wait() const;

    // The number of writes requested since the last call, with all that still wait.
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
    // Reads and writes wait apart: the limit on writes is the scarcer, and must not hold up a read.
    struct Lane {
        explicit Lane(net::Executor ex) : changed(ex) {}
        // Whether a request of this priority, or of a more urgent one, waits.
        bool has_waiting(RequestPriority priority) const;
        std::array<Queue, priorities> queues;  // by priority
        net::Wakeup changed;
        bool pumping = false;  // whether pump() runs
    };
    // Admits the lane's requests until none waits.
    awaitable<void> pump(Lane& lane);
    // The queue whose first request is next; null if none waits.
    static Queue* next_queue(Lane& lane, model::Clock::time_point now);
    void admit(Queue& queue);

    net::Executor ex_;
    TokenBucket bucket_;
    Lane reads_, writes_;
    double waiting_writes_ = 0, admitted_writes_ = 0;
};

}  // namespace flintdale::state
