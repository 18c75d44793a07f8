#include "app/record_maintenance.hpp"

#include "recovery/recovery_coordinator.hpp"

namespace flintdale::app {

using namespace std::chrono_literals;
using model::Clock;
using state::Outcome;
using state::RequestPriority;

namespace {
constexpr auto garbage_interval = 500ms;
constexpr auto read_interval = 100ms;
constexpr auto reread_delay = 300ms;  // before the same keys are read again
constexpr auto reconciliation_interval = 1s;
constexpr auto reconciliation_retry_delay = 300ms;
}  // namespace

awaitable<void> RecordMaintenance::run_garbage_collection() {
    while (!context_.stopped) {
        co_await net::sleep_for(garbage_interval);
        if (context_.stopped || !context_.loaded) continue;
        const auto garbage = context_.scheduler.take_garbage(context_.store.preferred_batch_size());
        if (garbage.changes.empty()) continue;
        auto txn = garbage;
        const auto result = co_await context_.store.commit(std::move(txn), RequestPriority::garbage_collection);
        // After a conflict another controller has changed these records; a later leader removes what is left.
        if (result.outcome != Outcome::ok && result.outcome != Outcome::conflict)
            context_.scheduler.restore_garbage(garbage);
    }
}

awaitable<void> RecordMaintenance::run_requested_reads() {
    while (!context_.stopped) {
        co_await net::sleep_for(read_interval);
        if (context_.stopped || !context_.loaded) continue;
        const auto keys = context_.scheduler.keys_to_read();
        for (const auto& key : keys) {
            auto found = co_await context_.store.get(key, RequestPriority::bookkeeping);
            if (context_.stopped) co_return;
            if (found.outcome != Outcome::ok) break;
            if (context_.scheduler.job_changed(found.item, Clock::now())) context_.request_commit_and_planning();
        }
        if (!keys.empty()) co_await net::sleep_for(reread_delay);
    }
}

awaitable<void> RecordMaintenance::run_reconciliation_end() {
    while (!context_.stopped && context_.scheduler.awaiting_reconciliation())
        co_await net::sleep_for(reconciliation_interval);
    while (!context_.stopped) {
        auto txn = context_.conditioned_on_term();
        txn.changes.push_back({recovery::reconciliation_pending_key, std::nullopt, 0});
        const auto result = co_await context_.store.commit(std::move(txn), RequestPriority::bookkeeping);
        if (result.outcome == Outcome::ok) context_.environment.remembered.reconciliation_complete();
        if (result.outcome == Outcome::ok || result.outcome == Outcome::conflict) co_return;
        co_await net::sleep_for(reconciliation_retry_delay);
    }
}

}  // namespace flintdale::app
