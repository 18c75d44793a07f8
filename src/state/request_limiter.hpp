// Where requests to the state service wait for this controller's share of its limits: the more urgent first, then in
// the order of arrival.
#pragma once
#include <deque>
#include <memory>

#include "model/clock.hpp"
#include "state/token_bucket.hpp"

namespace flintdale::state {

class RequestLimiter {
  public:
    RequestLimiter(net::Executor ex, TokenBucket bucket);

    // Returns once the request may be sent.
    awaitable<void> enter(double writes, RequestPriority priority);

    // How many writes a transaction that is not urgent should hold.
    std::size_t write_portion() const;

    // How long a write that came now would wait.
    std::chrono::duration<double> write_wait() const;

    // Writes that were asked for since the last call, what still waits included.
    double take_demand();

    TokenBucket& bucket() { return budget_; }

  private:
    struct Waiter {
        Waiter(net::Executor ex, double w, RequestPriority u) : admitted(ex), writes(w), priority(u) {}
        net::Timer admitted;
        double writes;
        RequestPriority priority;
        bool in = false;
        model::Clock::time_point since{};
    };
    using Queue = std::deque<std::shared_ptr<Waiter>>;
    // Reads and writes wait apart: the limit on writes is the scarcer, and must not hold up a read.
    struct Lane {
        explicit Lane(net::Executor ex) : changed(ex) {}
        Queue queues[4];  // by urgency
        net::Wakeup changed;
        bool pumping = false;
    };
    awaitable<void> pump(Lane& lane);
    static Queue* next(Lane& lane, model::Clock::time_point now);

    net::Executor ex_;
    TokenBucket budget_;
    Lane reads_, writes_;
    double waiting_writes_ = 0, admitted_writes_ = 0;
};

}  // namespace flintdale::state
