#include "app/record_committer.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace flintdale::app {

using namespace std::chrono_literals;
using model::Clock;
using state::Outcome;
using state::RequestPriority;

namespace {

constexpr auto superseded_delay = 200ms;
constexpr auto refused_delay = 150ms;
constexpr auto read_retry_delay = 200ms;

bool superseded(const state::TxnResult& result) {
    return result.outcome == Outcome::conflict &&
           std::find(result.failed.begin(), result.failed.end(), election::term_key) != result.failed.end();
}

}  // namespace

awaitable<void> RecordCommitter::run() {
    while (!context_.stopped) {
        co_await context_.commit_wakeup.wait(1s);
        while (!context_.stopped && context_.loaded) {
            const bool more = co_await commit_next_batch();
            if (!more) break;
        }
    }
}

awaitable<bool> RecordCommitter::commit_next_batch() {
    auto& scheduler = context_.scheduler;
    // Batches are small: a large one would use up the writes of a second and delay users' requests for as long.
    auto batch = scheduler.next_batch(context_.store.preferred_batch_size(), context_.environment.time_of_day_ms());
    if (batch.empty()) co_return false;
    state::Txn txn = batch.txn;
    auto result = co_await context_.store.commit(std::move(txn), RequestPriority::bookkeeping);
    if (context_.stopped) co_return false;
    if (result.outcome == Outcome::ok) {
        last_outcome_ = Outcome::ok;
        // Work that depended on this write may be placed now.
        if (scheduler.batch_committed(batch, result.revision, Clock::now())) context_.request_planning();
        co_return true;
    }
    co_await recover_from_failure(std::move(batch), std::move(result));
    co_return !context_.stopped;
}

awaitable<void> RecordCommitter::recover_from_failure(scheduler::Batch batch, state::TxnResult result) {
    auto& scheduler = context_.scheduler;
    if (superseded(result)) {
        spdlog::info("event=term_superseded term={}", context_.term_number);
        context_.environment.leadership.verify();
        scheduler.batch_failed(batch);
        co_await net::sleep_for(superseded_delay);
        co_return;
    }
    log_failure(result);
    if (result.outcome == Outcome::too_large) {
        scheduler.batch_rejected(batch, Clock::now());
        co_await net::sleep_for(refused_delay);
        co_return;
    }
    if (result.outcome == Outcome::refused) {
        co_await net::sleep_for(refused_delay);
    } else {
        // A write of this controller that came late, or whose response was lost, may have been applied; the next write
        // must be conditioned on the revisions that it left.
        co_await read_again(result.outcome == Outcome::conflict ? result.failed : batch.keys);
    }
    if (context_.stopped) co_return;
    scheduler.batch_failed(batch);
}

// Repeated failures with the same outcome, as in an outage, are logged at the debug level only.
void RecordCommitter::log_failure(const state::TxnResult& result) {
    spdlog::log(result.outcome == last_outcome_ ? spdlog::level::debug : spdlog::level::info,
                "event=write_failed outcome={} failed={}", static_cast<int>(result.outcome), result.failed.size());
    last_outcome_ = result.outcome;
}

awaitable<void> RecordCommitter::read_again(std::vector<std::string> keys) {
    for (const auto& key : keys)
        for (;;) {
            auto found = co_await context_.store.get(key, RequestPriority::leadership);
            if (context_.stopped) co_return;
            if (found.outcome == Outcome::ok) {
                if (found.item.mod_revision) context_.environment.remembered.record_observed(found.item);
                context_.scheduler.record_reread(found.item, Clock::now());
                break;
            }
            co_await net::sleep_for(read_retry_delay);
            if (context_.stopped) co_return;
        }
}

}  // namespace flintdale::app
