// Where requests to the state service wait for this controller's share of its limits: the more urgent first, then in
// the order of arrival.
#pragma once
#include <deque>
#include <memory>

#include "state/budget.hpp"

namespace flintdale::state {

class Gate {
  public:
    Gate(net::Executor ex, Budget budget);

    // Returns once the request may be sent.
    awaitable<void> enter(double writes, Urgency urgency);

    // How many writes a transaction that is not urgent should hold.
    std::size_t write_portion() const;

    // How long a write that came now would wait.
    std::chrono::duration<double> write_wait() const;

    // Writes that were asked for since the last call, what still waits included.
    double take_demand();

    Budget& budget() { return budget_; }

  private:
    struct Waiter {
        Waiter(net::Executor ex, double w, Urgency u) : admitted(ex), writes(w), urgency(u) {}
        net::Timer admitted;
        double writes;
        Urgency urgency;
        bool in = false;
        wire::Clock::time_point since{};
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
    static Queue* next(Lane& lane, wire::Clock::time_point now);

    net::Executor ex_;
    Budget budget_;
    Lane reads_, writes_;
    double waiting_writes_ = 0, admitted_writes_ = 0;
};

}  // namespace flintdale::state
