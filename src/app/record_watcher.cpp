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
        // This controller's own writes end a watch as well, and each watch is a request.
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
        // A record that was missing when this term read all, and was put back since, may name machines that run tasks.
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
    // A job may have been cancelled after its outcome was looked up, and a peer may have said so while this read was
    // still under way. The watch reports it too, but not in an outage that begins now, and all_known_until() relies on
    // it.
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

// What looks open may be of jobs that are over: they have an outcome. After many small jobs a large number of them are
// over, and to read each outcome took seconds of a failover: so conditions tell, many in one transaction.
awaitable<bool> RecordWatcher::apply_existing_outcomes() {
    const auto open = context_.scheduler.open_jobs();
    std::size_t first = 0;
    while (first < open.size()) {
        // The number of conditions may fall from one try to the next.
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
    context_.scheduler.job_over(uid, Clock::now(), cancellations.cancelled_for(uid));
    cancellations.found_over(uid);
}

// Each job that is remembered to be open is on record, or over by now. Where it is neither, the guarded store reports
// the answer to the recovery coordinator and does not return it here. A job that is remembered to be over and lacks its
// outcome has been found by the look-up before this one.
awaitable<bool> RecordWatcher::check_remembered_jobs() {
    std::vector<std::string> unread;
    for (auto& uid : context_.environment.remembered.open_jobs())
        if (!context_.scheduler.knows(uid)) unread.push_back(std::move(uid));
    for (std::size_t at = 0; at < unread.size();) {
        state::Txn txn;
        for (; at < unread.size() && txn.conditions.size() + 2 <= context_.record_format.max_conditions(); ++at) {
            txn.conditions.push_back({scheduler::outcome_key(unread[at]), 0});
            txn.conditions.push_back({scheduler::work_key(unread[at], 0), 0});
        }
        const auto result = co_await context_.store.commit(std::move(txn), RequestPriority::leadership);
        if (context_.stopped || !decided(result)) co_return false;
    }
    co_return true;
}

}  // namespace flintdale::app
