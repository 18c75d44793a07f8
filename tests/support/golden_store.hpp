// Shared by golden tests of components that write to the store: an in-memory store that logs each change, and a
// simulated clock.
#pragma once
#include "support/fake_store.hpp"
#include "support/golden_support.hpp"

namespace flintdale::test {

class ChangeLoggingStore : public FakeStore {
  public:
    std::string change_log;
    net::awaitable<state::TxnResult> commit(state::Txn txn, state::RequestPriority priority) override {
        const auto changes = txn.changes;
        auto result = co_await FakeStore::commit(std::move(txn), priority);
        if (result.outcome == state::Outcome::ok) change_log += lines_of(changes);
        co_return result;
    }
};

struct SimulatedClock {
    model::TimePoint now{std::chrono::seconds(1000)};
    SimulatedClock() { model::Clock::simulated = &now; }
    ~SimulatedClock() { model::Clock::simulated = nullptr; }
    SimulatedClock(const SimulatedClock&) = delete;
    // Advances the clock by `seconds` in steps of 20 ms, and runs the ready handlers of `io` at each step.
    void advance(net::asio::io_context& io, double seconds) {
        for (double t = 0; t < seconds; t += 0.02) {
            now += std::chrono::milliseconds(20);
            io.restart();
            io.poll();
        }
    }
};

}  // namespace flintdale::test
