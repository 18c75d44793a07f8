// Keys that the recovery package uses in the key-value store, and helpers for keys of job records.
#pragma once
#include <boost/json.hpp>
#include <string>
#include <string_view>

#include "scheduler/job.hpp"

namespace flintdale::recovery {

// Replica offers: one list per controller under this prefix and the member name, and the pages that it refers to.
inline constexpr const char* offers_prefix = "recovery/offer/";
// The digest of the stored outcomes: see OutcomeDigest.
inline constexpr const char* digest_key = "recovery/digest";
// Pages of deferred outcomes: see DeferredOutcomes.
inline constexpr const char* deferred_prefix = "recovery/owed/";
// Present while machines may run tasks that no record names. The leader removes it once all machines are reconciled.
inline constexpr const char* reconciliation_pending_key = "recovery/witness/unsettled";

inline bool is_outcome_key(std::string_view key) { return key.starts_with(scheduler::over_prefix); }

// The uid of the job that an outcome's key belongs to.
inline std::string uid_of_outcome_key(const std::string& key) {
    return key.substr(std::string_view(scheduler::over_prefix).size());
}

// An unsigned field of a record; 0 if it is absent or not a number. Throws if the number is out of range.
inline std::uint64_t number_field(const boost::json::object& record, std::string_view field) {
    const auto* value = record.if_contains(field);
    return value && value->is_number() ? value->to_number<std::uint64_t>() : 0;
}

}  // namespace flintdale::recovery
