#include "api/job_records.hpp"

#include <spdlog/spdlog.h>

#include "scheduler/job.hpp"

namespace flintdale::api {

using model::JobState;
using state::Outcome;
using state::RequestPriority;

namespace {
constexpr int max_attempts = 3;  // to read a job whose records change concurrently
}  // namespace

JobRecords::JobRecords(state::Store& store, const state::RecordFormat& record_format, JobKnowledge& knowledge,
                       Callbacks callbacks)
    : store_(store), record_format_(record_format), knowledge_(knowledge), callbacks_(std::move(callbacks)) {}

state::Txn JobRecords::unless_exists(const std::string& uid) {
    state::Txn txn;
    txn.conditions.push_back({scheduler::outcome_key(uid), 0});
    txn.conditions.push_back({scheduler::work_key(uid, 0), 0});
    return txn;
}

awaitable<JobRecords::Found> JobRecords::read_key(std::string uid, std::string key) {
    Found found;
    auto answer = co_await store_.get(std::move(key), RequestPriority::user);
    found.outcome = answer.outcome;
    if (answer.outcome != Outcome::ok || !answer.item.mod_revision) co_return found;
    found.job = knowledge_.learn(uid, answer.item);
    if (!found.job) {
        found.outcome = Outcome::unknown;
        co_return found;
    }
    callbacks_.record_observed(answer.item);
    found.record = std::move(answer.item);
    co_return found;
}

awaitable<JobRecords::Found> JobRecords::read(std::string uid) {
    Found found;
    for (int attempt = 0; attempt < max_attempts; ++attempt) {
        for (const bool outcome : {true, false}) {
            auto key = outcome ? scheduler::outcome_key(uid) : scheduler::work_key(uid, 0);
            found = co_await read_key(uid, std::move(key));
            if (found.outcome != Outcome::ok || found.job) co_return found;
        }
        // The job may have ended between the two reads, and its work record may have been removed. Only one transaction
        // on both keys proves that neither exists.
        const bool knew_all_jobs = knowledge_.knows_all_jobs();
        auto txn = unless_exists(uid);
        const auto neither = co_await store_.commit(std::move(txn), RequestPriority::user);
        found.outcome = neither.outcome;
        if (neither.outcome == Outcome::conflict) continue;
        if (neither.outcome != Outcome::ok) co_return found;
        auto check = knowledge_.result_if_absent(uid);
        found.job = std::move(check.job);
        if (!check.certain || (!found.job && !knew_all_jobs)) found.outcome = Outcome::unknown;
        co_return found;
    }
    found.outcome = Outcome::unknown;
    co_return found;
}

awaitable<std::optional<bool>> JobRecords::exists(std::string uid) {
    const auto found = co_await read(std::move(uid));
    if (found.outcome != Outcome::ok) co_return std::nullopt;
    co_return found.job != nullptr;
}

awaitable<state::Outcome> JobRecords::cancel(std::string uid, KnownJobPtr job, state::KeyValue record) {
    state::KeyValue item;
    item.key = scheduler::outcome_key(uid);
    const auto* fields = record.value.if_object();
    const auto* spec = fields ? fields->if_contains("spec") : nullptr;
    // The outcome has the time of the cancellation, because a later leader has to stop the job's tasks by the cancel
    // deadline.
    item.value = scheduler::outcome_record(record_format_, JobState::cancelled, callbacks_.time_of_day_ms(),
                                           spec ? &spec->as_object() : nullptr, job->size);
    state::Txn txn;
    txn.conditions.push_back({item.key, 0});
    txn.changes.push_back({item.key, item.value, 0});
    const auto result = co_await store_.commit(std::move(txn), RequestPriority::user);
    if (result.outcome == Outcome::ok) {
        item.mod_revision = result.revision;
        knowledge_.learn_cancelled(uid, job->size);
        callbacks_.record_observed(item);
        spdlog::info("event=cancel_accepted job={}", uid);
    }
    co_return result.outcome;
}

}  // namespace flintdale::api
