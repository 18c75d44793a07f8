#include "recovery/late_records.hpp"

#include <spdlog/spdlog.h>

#include "recovery/record_keys.hpp"

namespace flintdale::recovery {

using model::Clock;
using state::Outcome;
using state::RequestPriority;

namespace {

constexpr auto previous_replica_kept = std::chrono::seconds(60);

std::string uid_of_record(const std::string& key) {
    const auto work = scheduler::parse_work_key(key);
    return work ? work->uid : uid_of_outcome_key(key);
}

// Whether the record is the first one of an unfragmented job without placed tasks. A job that was placed is not added:
// only the last leader of that history knew the machines of its tasks.
bool is_unplaced_job(const scheduler::WorkKey& work, const boost::json::value& value) {
    const auto& record = value.as_object();
    const auto* tasks = record.if_contains("tasks");
    return work.first() && tasks && tasks->as_array().empty() && !record.contains("cut");
}

}  // namespace

bool LateRecords::due() const {
    return context_.previous_replica && !context_.late_records_added && context_.replica.is_complete() &&
           Clock::now() >= next_attempt_;
}

awaitable<void> LateRecords::add() {
    next_attempt_ = Clock::now() + retry_interval;
    const bool added = co_await add_all();
    context_.late_records_added = added;
    if (added) keep_until_ = Clock::now() + previous_replica_kept;
}

void LateRecords::drop_previous_replica_if_due() {
    if (context_.previous_replica && context_.late_records_added && Clock::now() >= keep_until_)
        context_.previous_replica.reset();
}

bool LateRecords::missing(const std::string& key) const {
    const auto present = context_.replica.outcome_of(uid_of_record(key));
    return !present || is_late_cancellation(key);
}

bool LateRecords::is_late_cancellation(const std::string& key) const {
    if (!is_outcome_key(key)) return false;
    const auto present = context_.replica.outcome_of(uid_of_record(key));
    return present && present->state == model::JobState::open;
}

awaitable<bool> LateRecords::add_all() {
    const auto previous = context_.previous_replica->source("former");
    std::size_t added = 0, lost = 0;
    bool all = true;
    for (const auto& [key, record] : previous.records) {
        if (!missing(key)) continue;
        auto value = boost::json::parse(record.text);
        const auto work = scheduler::parse_work_key(key);
        if (work && !is_unplaced_job(*work, value)) {
            lost += work->first();
            continue;
        }
        const auto uid = uid_of_record(key);
        const bool cancellation = is_late_cancellation(key);
        state::Txn txn;
        txn.conditions.push_back({scheduler::outcome_key(uid), 0});
        if (!cancellation) txn.conditions.push_back({scheduler::work_key(uid, 0), 0});
        txn.changes.push_back({key, std::move(value), 0});
        const auto result = co_await context_.guarded_store.commit(std::move(txn), RequestPriority::user);
        added += result.outcome == Outcome::ok;
        // After a conflict, the key holds a record of another controller or a delayed write of this one.
        all = all && (result.outcome == Outcome::ok || result.outcome == Outcome::conflict ||
                      result.outcome == Outcome::too_large);
        if (context_.loss_suspected()) co_return false;
    }
    if (added || lost)
        spdlog::info("event=late_records_restored added={} unrecoverable={} complete={}", added, lost, all);
    co_return all;
}

}  // namespace flintdale::recovery
