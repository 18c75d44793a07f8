#include "app/record_watcher.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace flintdale::app {

using namespace std::chrono_literals;
using model::Clock;
using state::Outcome;
using state::RequestPriority;

namespace {

constexpr std::chrono::milliseconds watch_duration{1000};
constexpr auto watch_interval = 120ms;
constexpr auto watch_retry_delay = 200ms;
constexpr auto load_retry_delay = 100ms;
constexpr auto outcome_retry_delay = 150ms;

// Whether the state service has decided on the transaction, for or against it.
bool decided(const state::TxnResult& result) {
    return result.outcome == Outcome::ok || result.outcome == Outcome::conflict;
}

bool condition_failed(const state::TxnResult& result, const std::string& key) {
    return std::find(result.failed.begin(), result.failed.end(), key) != result.failed.end();
}

}  // namespace

awaitable<void> RecordWatcher::run() {
    while (!context_.stopped && !co_await load()) {
    }
    while (!context_.stopped) {
        const auto began = Clock::now();
        auto changes = co_await context_.store.watch(scheduler::jobs_prefix, watched_revision_, watch_duration);
        if (context_.stopped) break;
        if (changes.outcome == Outcome::too_old) {
            co_await load();
            continue;
        }
        if (changes.outcome != Outcome::ok) {
            co_await net::sleep_for(watch_retry_delay);
            continue;
        }
        context_.cancellations_read_at = began;
        watched_revision_ = std::max(watched_revision_, changes.revision);
        const auto now = Clock::now();
        if (!apply_changes(changes, now)) co_return;
        if (changes.events.empty()) continue;
        // This controller's own writes also complete a watch, and each watch costs a request; so watches are spaced
        // out.
        if (const auto next = began + watch_interval; next > now) co_await net::sleep_for(next - now);
    }
}

bool RecordWatcher::apply_changes(const state::WatchResult& changes, TermContext::TimePoint now) {
    auto& remembered = context_.environment.remembered;
    const auto time_of_day_ms = context_.environment.time_of_day_ms();
    for (std::size_t i = 0; i < changes.events.size(); ++i)
        if (!changes.deleted[i]) remembered.record_observed(changes.events[i]);
    const std::function<bool(const std::string&)> is_over = [&](const std::string& uid) {
        return remembered.is_over(uid);
    };
    for (std::size_t i = 0; i < changes.events.size(); ++i) {
        // A record that was missing when this term read all records, and was restored since, may name machines that run
        // tasks.
        if (!changes.deleted[i] && context_.scheduler.is_behind(changes.events[i], is_over)) {
            context_.environment.leadership.restart_term("a record came back that this term has not read");
            return false;
        }
    }
    bool changed = false;
    for (std::size_t i = 0; i < changes.events.size(); ++i) {
        if (changes.deleted[i]) continue;
        if (context_.scheduler.job_changed(changes.events[i], now, time_of_day_ms)) changed = true;
    }
    if (changed) context_.request_commit_and_planning();
    return true;
}

awaitable<bool> RecordWatcher::load() {
    const auto began = Clock::now();
    const auto work = co_await context_.read_all(scheduler::work_prefix);
    if (!work) co_return false;
    auto& scheduler = context_.scheduler;
    scheduler.load(work->items, Clock::now(), context_.environment.time_of_day_ms());
    const bool consistent = co_await apply_existing_outcomes();
    if (!consistent) {
        co_await net::sleep_for(load_retry_delay);
        co_return false;
    }
    // A job may have been cancelled after its outcome was looked up, and a peer may have reported that during this
    // read. The watch reports the cancellation too, but not if an outage begins now; all_known_until() relies on its
    // being handled.
    for (const auto& uid : scheduler.open_jobs())
        if (context_.environment.cancellations.is_cancelled(uid)) scheduler.cancelled_by_peer(uid, Clock::now());
    watched_revision_ = work->revision;
    context_.cancellations_read_at = began;
    if (!context_.loaded) {
        context_.loaded_at = Clock::now();
        spdlog::info("event=term_loaded term={} records={}", context_.term_number, work->items.size());
    }
    context_.loaded = true;
    context_.planning_requested = true;
    context_.commit_wakeup.notify();
    co_return true;
}

// A job with open work on record may be over: then it has an outcome. After many small jobs a large number of jobs are
// over, and reading each outcome took seconds of a failover. So the outcomes are tested by conditions, many in one
// transaction.
awaitable<bool> RecordWatcher::apply_existing_outcomes() {
    const auto open = context_.scheduler.open_jobs();
    std::size_t first = 0;
    while (first < open.size()) {
        // The limit on conditions may fall between two attempts.
        const auto end = std::min(open.size(), first + context_.record_format.max_conditions());
        state::Txn txn;
        for (std::size_t i = first; i < end; ++i) txn.conditions.push_back({scheduler::outcome_key(open[i]), 0});
        const auto result = co_await context_.store.commit(std::move(txn), RequestPriority::leadership);
        if (context_.stopped) co_return false;
        if (!decided(result)) {
            co_await net::sleep_for(outcome_retry_delay);
            continue;
        }
        for (std::size_t i = first; i < end; ++i)
            if (condition_failed(result, scheduler::outcome_key(open[i]))) apply_outcome(open[i]);
        first = end;
    }
    co_return co_await check_remembered_jobs();
}

void RecordWatcher::apply_outcome(const std::string& uid) {
    auto& cancellations = context_.environment.cancellations;
    context_.scheduler.job_over(uid, Clock::now(), cancellations.time_since_cancellation(uid));
    cancellations.outcome_found(uid);
}

// Each job that is remembered as open must be on record, or be over by now. If a job is neither, the guarded store
// reports that to the recovery coordinator and does not pass the answer on to this function. A job that is remembered
// as over, and whose outcome is missing, was found by the conditions in apply_existing_outcomes().
awaitable<bool> RecordWatcher::check_remembered_jobs() {
    std::vector<std::string> unread;
    for (auto& uid : context_.environment.remembered.open_jobs())
        if (!context_.scheduler.knows(uid)) unread.push_back(std::move(uid));
    for (std::size_t next = 0; next < unread.size();) {
        state::Txn txn;
        for (; next < unread.size() && txn.conditions.size() + 2 <= context_.record_format.max_conditions(); ++next) {
            txn.conditions.push_back({scheduler::outcome_key(unread[next]), 0});
            txn.conditions.push_back({scheduler::work_key(unread[next], 0), 0});
        }
        const auto result = co_await context_.store.commit(std::move(txn), RequestPriority::leadership);
        if (context_.stopped || !decided(result)) co_return false;
    }
    co_return true;
}

}  // namespace flintdale::app
