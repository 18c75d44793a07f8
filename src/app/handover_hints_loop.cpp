#include "app/handover_hints_loop.hpp"

namespace flintdale::app {

using namespace std::chrono_literals;

namespace {
constexpr auto write_interval = 10s;
}  // namespace

awaitable<void> HandoverHintsLoop::run() {
    const auto previous = co_await context_.read_all(scheduler::hints_prefix);
    if (!previous) co_return;
    context_.scheduler.inventory().apply_hints(hints_.read(previous->items));
    while (!context_.stopped) {
        co_await net::sleep_for(write_interval);
        if (context_.stopped || !context_.loaded) continue;
        co_await write_changed_pages();
    }
}

awaitable<void> HandoverHintsLoop::write_changed_pages() {
    const auto notes = context_.scheduler.inventory().hints();
    for (const auto& page : hints_.pages(notes)) {
        auto txn = context_.conditioned_on_term();
        txn.changes.push_back(page);
        const auto result = co_await context_.store.commit(std::move(txn), state::RequestPriority::bookkeeping);
        if (context_.stopped) co_return;
        if (result.outcome != state::Outcome::ok) break;  // retried in the next round
        hints_.written(page);
    }
}

}  // namespace flintdale::app
