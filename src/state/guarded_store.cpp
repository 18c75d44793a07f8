#include "state/guarded_store.hpp"

#include <algorithm>

#include "state/generation_marker.hpp"

namespace flintdale::state {

GuardedStore::GuardedStore(Store& inner, std::string guarded_prefix, Events events)
    : inner_(inner), prefix_(std::move(guarded_prefix)), events_(std::move(events)) {}

void GuardedStore::open(std::uint64_t marker_revision) {
    if (marker_revision == marker_revision_) return;
    marker_revision_ = marker_revision;
    newest_ = marker_revision;
    ++opening_;
}

void GuardedStore::close() {
    if (!marker_revision_) return;
    marker_revision_ = 0;
    ++opening_;
}

void GuardedStore::doubt(const char* why) {
    close();
    events_.doubted(why);
}

bool GuardedStore::is_guarded(const Txn& txn) const {
    const auto ours = [&](const auto& c) { return c.key.starts_with(prefix_); };
    return std::any_of(txn.conditions.begin(), txn.conditions.end(), ours) ||
           std::any_of(txn.changes.begin(), txn.changes.end(), ours);
}

// Requests overtake one another, so an answer is held only against what had been seen when its request was sent: from
// then on the service stood there or later. Before the opening, and across one, nothing can be concluded.
bool GuardedStore::sound(const Sent& sent, std::uint64_t revision) {
    if (sent.opening != opening_) return false;
    if (!is_open()) return true;
    if (revision < sent.revision) {
        const auto why =
            "its revisions went back: " + std::to_string(sent.revision) + " was seen, then " + std::to_string(revision);
        doubt(why.c_str());
        return false;
    }
    newest_ = std::max(newest_, revision);
    return true;
}

awaitable<GetResult> GuardedStore::get(std::string key, RequestPriority priority) {
    GetResult r;
    const bool guarded = key.starts_with(prefix_);
    if (guarded && !is_open()) {
        r.outcome = Outcome::refused;
        co_return r;
    }
    const auto sent = opening_;
    const auto known = guarded ? remembered(key) : 0;
    r = co_await inner_.get(std::move(key), priority);
    // What was written just after a loss must not be told as an answer, not even by reading it again.
    if (guarded && sent != opening_) r.outcome = Outcome::unknown;
    if (r.outcome == Outcome::ok && missing(r.item, known)) r.outcome = Outcome::refused;
    co_return r;
}

// An older value, or none though nothing else explains that.
bool GuardedStore::missing(const KeyValue& item, std::uint64_t known) {
    if (item.mod_revision >= known || (!item.mod_revision && !events_.explained_by(item.key).empty())) return false;
    events_.missed(item.key);
    return true;
}

std::vector<std::string> GuardedStore::impossible(const Txn& txn) const {
    std::vector<std::string> out;
    for (const auto& c : txn.conditions)
        if (c.mod_revision == 0 && c.key.starts_with(prefix_) && remembered(c.key)) out.push_back(c.key);
    return out;
}

awaitable<RangeResult> GuardedStore::range(std::string prefix, std::string after, RequestPriority priority) {
    const bool guarded = prefix.starts_with(prefix_);
    const auto sent = now();
    auto r = co_await inner_.range(std::move(prefix), std::move(after), priority);
    if (r.outcome == Outcome::ok && !sound(sent, r.revision) && guarded) r.outcome = Outcome::unknown;
    if (r.outcome != Outcome::ok || !guarded) co_return r;
    // What has a stamp beyond the revision that had been seen may have been written while this was under way.
    for (const auto& item : r.items)
        if (const auto known = remembered(item.key); known <= sent.revision && missing(item, known))
            r.outcome = Outcome::refused;
    co_return r;
}

awaitable<WatchResult> GuardedStore::watch(std::string prefix, std::uint64_t from, std::chrono::milliseconds hold) {
    const bool guarded = prefix.starts_with(prefix_);
    const auto sent = now();
    auto r = co_await inner_.watch(std::move(prefix), from, hold);
    if (r.outcome == Outcome::ok && !sound(sent, r.revision) && guarded) r.outcome = Outcome::unknown;
    co_return r;
}

awaitable<TxnResult> GuardedStore::commit(Txn txn, RequestPriority priority) {
    TxnResult r;
    const bool guarded = is_guarded(txn);
    if (guarded && !is_open()) {
        r.outcome = Outcome::refused;
        co_return r;
    }
    const auto sent = now();
    std::vector<Change> changes;
    const auto expected = guarded ? impossible(txn) : std::vector<std::string>();
    if (!expected.empty() && !txn.changes.empty()) {
        r.outcome = Outcome::conflict;
        r.failed = expected;
        r.revision = newest_;
        co_return r;
    }
    if (guarded) {
        Condition marker;
        marker.key = marker_key;
        marker.mod_revision = marker_revision_;
        txn.conditions.push_back(std::move(marker));
        changes = txn.changes;
    }
    const auto conditions = expected.empty() ? std::vector<Condition>() : txn.conditions;
    r = co_await inner_.commit(std::move(txn), priority);
    if (r.outcome != Outcome::ok && r.outcome != Outcome::conflict) co_return r;
    const bool other =
        r.outcome == Outcome::conflict && std::find(r.failed.begin(), r.failed.end(), marker_key) != r.failed.end();
    if (!guarded) {
        sound(sent, r.revision);
        co_return r;
    }
    if (other) {
        if (sent.opening == opening_) doubt("its marker is another");
        r.outcome = Outcome::refused;
    } else if (!sound(sent, r.revision)) {
        // It was carried out, but by a service that is not what it was: whoever asked must not take it for an answer.
        r.outcome = r.outcome == Outcome::ok && !changes.empty() ? Outcome::unknown : Outcome::refused;
    } else if (!expected.empty()) {
        const auto held = [&](const std::string& key) {
            return std::find(r.failed.begin(), r.failed.end(), key) == r.failed.end();
        };
        bool missed = false;
        for (const auto& key : expected) {
            if (!held(key)) continue;
            const auto other = events_.explained_by(key);
            const bool beside = std::any_of(conditions.begin(), conditions.end(),
                                            [&](const auto& c) { return c.key == other && c.mod_revision == 0; });
            if (!other.empty() && !(beside && held(other))) continue;
            events_.missed(key);
            missed = true;
        }
        if (missed) r.outcome = Outcome::refused;
    } else if (r.outcome == Outcome::ok) {
        for (const auto& c : changes)
            if (c.key.starts_with(prefix_)) events_.written(c, r.revision);
    }
    co_return r;
}

}  // namespace flintdale::state
