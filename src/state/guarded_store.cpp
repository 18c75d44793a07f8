#include "state/guarded_store.hpp"

#include <algorithm>

#include "state/generation_marker.hpp"

namespace flintdale::state {

namespace {

bool has_failed(const TxnResult& result, const std::string& key) {
    return std::find(result.failed.begin(), result.failed.end(), key) != result.failed.end();
}

bool requires_absence(const std::vector<Condition>& conditions, const std::string& key) {
    return std::any_of(conditions.begin(), conditions.end(),
                       [&](const auto& condition) { return condition.key == key && condition.mod_revision == 0; });
}

bool is_definite(Outcome outcome) { return outcome == Outcome::ok || outcome == Outcome::conflict; }

}  // namespace

GuardedStore::GuardedStore(Store& inner, std::string guarded_prefix, Events events)
    : inner_(inner), guarded_prefix_(std::move(guarded_prefix)), events_(std::move(events)) {}

void GuardedStore::open(std::uint64_t marker_revision) {
    if (marker_revision == marker_revision_) return;
    marker_revision_ = marker_revision;
    newest_revision_ = marker_revision;
    ++transitions_;
}

void GuardedStore::close() {
    if (!marker_revision_) return;
    marker_revision_ = 0;
    ++transitions_;
}

void GuardedStore::suspect_loss(const char* why) {
    close();
    events_.loss_suspected(why);
}

bool GuardedStore::is_guarded(const Txn& txn) const {
    const auto names_guarded_key = [&](const auto& part) { return is_guarded(part.key); };
    return std::any_of(txn.conditions.begin(), txn.conditions.end(), names_guarded_key) ||
           std::any_of(txn.changes.begin(), txn.changes.end(), names_guarded_key);
}

// Requests are not answered in order, so the answer's revision is compared only with the highest one seen before the
// request was sent: the store was at that revision or a later one from then on. While the guard is closed, or if it was
// opened or closed in between, no conclusion is possible.
bool GuardedStore::is_consistent(const KnownWhenSent& known, std::uint64_t revision) {
    if (known.transitions != transitions_) return false;
    if (!is_open()) return true;
    if (revision < known.revision) {
        const auto why =
            "store revision decreased from " + std::to_string(known.revision) + " to " + std::to_string(revision);
        suspect_loss(why.c_str());
        return false;
    }
    newest_revision_ = std::max(newest_revision_, revision);
    return true;
}

std::uint64_t GuardedStore::expected_revision(const std::string& key) const {
    return events_.expected_revision ? events_.expected_revision(key) : 0;
}

bool GuardedStore::report_if_missing(const KeyValue& item, std::uint64_t expected) {
    if (item.mod_revision >= expected) return false;
    if (!item.mod_revision && !events_.absence_explained_by(item.key).empty()) return false;
    events_.key_missing(item.key);
    return true;
}

awaitable<GetResult> GuardedStore::get(std::string key, RequestPriority priority) {
    GetResult result;
    const bool guarded = is_guarded(key);
    if (guarded && !is_open()) {
        result.outcome = Outcome::refused;
        co_return result;
    }
    const auto transitions = transitions_;
    const auto expected = guarded ? expected_revision(key) : 0;
    result = co_await inner_.get(std::move(key), priority);
    // If the guard was opened or closed meanwhile, the value may have been written after a loss: withhold it.
    if (guarded && transitions != transitions_) result.outcome = Outcome::unknown;
    if (result.outcome == Outcome::ok && report_if_missing(result.item, expected)) result.outcome = Outcome::refused;
    co_return result;
}

awaitable<RangeResult> GuardedStore::range(std::string prefix, std::string after, RequestPriority priority) {
    const bool guarded = is_guarded(prefix);
    const auto known = known_now();
    auto result = co_await inner_.range(std::move(prefix), std::move(after), priority);
    if (result.outcome == Outcome::ok && !is_consistent(known, result.revision) && guarded)
        result.outcome = Outcome::unknown;
    if (result.outcome != Outcome::ok || !guarded) co_return result;
    for (const auto& item : result.items) {
        // A key expected at a later revision may have been written while this request was in flight.
        const auto expected = expected_revision(item.key);
        if (expected <= known.revision && report_if_missing(item, expected)) result.outcome = Outcome::refused;
    }
    co_return result;
}

awaitable<WatchResult> GuardedStore::watch(std::string prefix, std::uint64_t from, std::chrono::milliseconds hold) {
    const bool guarded = is_guarded(prefix);
    const auto known = known_now();
    auto result = co_await inner_.watch(std::move(prefix), from, hold);
    if (result.outcome == Outcome::ok && !is_consistent(known, result.revision) && guarded)
        result.outcome = Outcome::unknown;
    co_return result;
}

std::vector<std::string> GuardedStore::impossible_absences(const Txn& txn) const {
    std::vector<std::string> keys;
    for (const auto& condition : txn.conditions)
        if (condition.mod_revision == 0 && is_guarded(condition.key) && expected_revision(condition.key))
            keys.push_back(condition.key);
    return keys;
}

Condition GuardedStore::marker_condition() const { return {marker_key, marker_revision_}; }

awaitable<TxnResult> GuardedStore::commit(Txn txn, RequestPriority priority) {
    TxnResult result;
    if (!is_guarded(txn)) {
        const auto known = known_now();
        result = co_await inner_.commit(std::move(txn), priority);
        if (is_definite(result.outcome)) is_consistent(known, result.revision);
        co_return result;
    }
    if (!is_open()) {
        result.outcome = Outcome::refused;
        co_return result;
    }
    PendingCommit pending;
    pending.known = known_now();
    pending.impossible = impossible_absences(txn);
    if (!pending.impossible.empty() && !txn.changes.empty()) {
        result.outcome = Outcome::conflict;
        result.failed = pending.impossible;
        result.revision = newest_revision_;
        co_return result;
    }
    txn.conditions.push_back(marker_condition());
    pending.changes = txn.changes;
    if (!pending.impossible.empty()) pending.conditions = txn.conditions;
    result = co_await inner_.commit(std::move(txn), priority);
    validate_commit(pending, result);
    co_return result;
}

void GuardedStore::validate_commit(const PendingCommit& pending, TxnResult& result) {
    if (!is_definite(result.outcome)) return;
    if (result.outcome == Outcome::conflict && has_failed(result, marker_key)) {
        if (pending.known.transitions == transitions_) suspect_loss("the generation marker has changed");
        result.outcome = Outcome::refused;
        return;
    }
    if (!is_consistent(pending.known, result.revision)) {
        // The transaction was carried out, but by a store that may have lost data: its outcome must not be reported.
        const bool changed = result.outcome == Outcome::ok && !pending.changes.empty();
        result.outcome = changed ? Outcome::unknown : Outcome::refused;
        return;
    }
    if (!pending.impossible.empty()) {
        if (report_missing_keys(pending, result)) result.outcome = Outcome::refused;
        return;
    }
    if (result.outcome != Outcome::ok) return;
    for (const auto& change : pending.changes)
        if (is_guarded(change.key)) events_.committed(change, result.revision);
}

// A key is missing if its absence condition held, unless the key that explains the absence may be present.
bool GuardedStore::report_missing_keys(const PendingCommit& pending, const TxnResult& result) {
    bool any_missing = false;
    for (const auto& key : pending.impossible) {
        if (has_failed(result, key)) continue;
        const auto explaining = events_.absence_explained_by(key);
        const bool explaining_is_absent =
            requires_absence(pending.conditions, explaining) && !has_failed(result, explaining);
        if (!explaining.empty() && !explaining_is_absent) continue;
        events_.key_missing(key);
        any_missing = true;
    }
    return any_missing;
}

}  // namespace flintdale::state
