#include "recovery/restore_plan.hpp"

#include <algorithm>
#include <boost/json.hpp>

#include "model/job.hpp"
#include "recovery/record_keys.hpp"
#include "recovery/record_replica.hpp"

namespace flintdale::recovery {

namespace json = boost::json;

namespace {

// Sort keys of the restore order. Work has the keys between, by its job's priority.
constexpr int cancellation_order = 0;
constexpr int lowest_priority_order = 4;
constexpr int unknown_priority_order = 5;
constexpr int finished_order = 9;

// Compares only the fields that are read again. A stored outcome may also contain the submission, which a replica
// drops. Rewriting outcomes for that difference would be most of the writes of a rebuild in which no record was
// missing.
bool same_outcome(const json::value& a, const json::value& b) {
    const auto* left = a.if_object();
    const auto* right = b.if_object();
    if (!left || !right) return false;
    try {
        const auto left_size = wire::size_from_record(*left), right_size = wire::size_from_record(*right);
        return left->at("state") == right->at("state") && left_size.kind == right_size.kind &&
               left_size.tasks == right_size.tasks;
    } catch (const std::exception&) {
        return false;
    }
}

bool is_cancellation(const json::value& outcome) {
    const auto* record = outcome.if_object();
    const auto* state = record ? record->if_contains("state") : nullptr;
    return state && *state == json::string(wire::job_state_name(model::JobState::cancelled));
}

int restore_order(const std::string& key, const json::value& value) {
    if (is_outcome_key(key)) return is_cancellation(value) ? cancellation_order : finished_order;
    const auto* record = value.if_object();
    const auto* spec = record ? record->if_contains("spec") : nullptr;
    if (!spec) return unknown_priority_order;
    try {
        return lowest_priority_order - static_cast<int>(wire::spec_from_record(spec->as_object()).priority);
    } catch (const std::exception&) {
        return unknown_priority_order;
    }
}

// Whether the store already holds an equivalent record.
bool is_stored(const std::string& key, const json::value& value, const StoredRecords& stored) {
    const auto record = stored.contents.records.find(key);
    if (record == stored.contents.records.end()) return false;
    json::error_code ec;
    const auto present = json::parse(record->second.text, ec);
    return !ec && (present == value || (is_outcome_key(key) && same_outcome(present, value)));
}

// A `done` outcome is only needed when a user asks for it, so it is first written in a page and later under its own
// key. It is not deferred if the store holds a different outcome, or holds work of the job and thus shows it as open: a
// store that was reset to an earlier state may hold work that had been removed.
bool can_be_deferred(const std::string& key, const StoredRecords& stored) {
    const auto uid = key.substr(key.rfind('/') + 1);
    const auto& records = stored.contents.records;
    return !records.contains(key) && !records.contains(scheduler::work_key(uid, 0));
}

}  // namespace

RestorePlan plan_restore(const Merged& merged, const StoredRecords& stored) {
    RestorePlan plan;
    std::vector<std::pair<int, state::Change>> ordered;
    for (const auto& [key, text] : merged.records) {
        auto value = json::parse(text);
        if (is_stored(key, value, stored)) continue;
        const auto order = restore_order(key, value);
        if (order == finished_order && can_be_deferred(key, stored))
            plan.deferred.records.emplace(key, Record{deferred_mod_revision, text});
        else
            ordered.emplace_back(order, state::Change{key, std::move(value), 0});
    }
    std::stable_sort(ordered.begin(), ordered.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
    for (auto& [order, change] : ordered) plan.immediate.push_back(std::move(change));
    return plan;
}

}  // namespace flintdale::recovery
