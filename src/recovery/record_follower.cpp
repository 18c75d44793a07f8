#include "recovery/record_follower.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "recovery/record_keys.hpp"

namespace flintdale::recovery {

using model::Clock;
using state::Outcome;
using state::RequestPriority;
using OutcomeCoverage = RecoveryCallbacks::OutcomeCoverage;

void RecordFollower::restart() {
    following_ = false;
    last_page_key_.reset();
}

awaitable<bool> RecordFollower::load_and_verify() {
    if (!following_) co_await read_changes();
    if (following_) co_await read_next_page();
    if (!context_.replica.is_complete()) co_return false;
    co_return co_await verify();
}

awaitable<void> RecordFollower::read_changes() {
    if (!following_) {
        co_await start_following();
        co_return;
    }
    const auto began = Clock::now();
    auto changes = co_await check_.read_changes(scheduler::jobs_prefix);
    if (changes.seen.outcome == Outcome::too_old) {
        following_ = false;
        co_return;
    }
    if (changes.seen.outcome != Outcome::ok) co_return;
    if (changes.rolled_back) {
        context_.suspect_revision_rollback(changes.seen.revision);
        co_return;
    }
    apply_changes(std::move(changes.seen), began);
}

awaitable<void> RecordFollower::start_following() {
    const auto began = Clock::now();
    // No key follows this one: the request only reads the store's revision.
    const auto probe = co_await context_.store.range(scheduler::jobs_prefix, std::string(scheduler::jobs_prefix) + "~",
                                                     RequestPriority::bookkeeping);
    if (probe.outcome != Outcome::ok) co_return;
    const auto& marker = *context_.complete_marker;
    if (probe.revision < marker.mod_revision) {
        context_.suspect_loss("the marker has mod revision " + std::to_string(marker.mod_revision) +
                              ", but the store is at revision " + std::to_string(probe.revision));
        co_return;
    }
    auto& replica = context_.replica;
    const auto previous = replica.source("so far");
    replica.begin(marker.generation, marker.id, probe.revision);
    // Keeps deferred outcomes and records that this controller has written meanwhile.
    for (const auto& [key, record] : previous.records)
        replica.apply_own_write({key, boost::json::parse(record.text), 0}, record.mod_revision);
    following_ = true;
    last_page_key_ = std::string();
    context_.callbacks.outcomes_read({}, began, OutcomeCoverage::after_gap);
}

void RecordFollower::apply_changes(state::WatchResult seen, model::TimePoint began) {
    auto& replica = context_.replica;
    for (const auto& event : seen.events)
        if (is_outcome_key(event.key) && replica.outcome_of(uid_of_outcome_key(event.key)))
            digest_.invalidate();  // a restored outcome has a new mod revision
    for (const auto& key : replica.apply_changes(seen)) {
        spdlog::error("event=unexpected_record_removal key={}", key);
        context_.record_missing(key);
    }
    // Any of these terms may have placed tasks based on these records, except those that rebuilt them.
    context_.terms.add(context_.callbacks.highest_seen_term());
    std::vector<state::KeyValue> outcomes;
    for (std::size_t i = 0; i < seen.events.size(); ++i)
        if (!seen.deleted[i] && is_outcome_key(seen.events[i].key)) outcomes.push_back(std::move(seen.events[i]));
    context_.callbacks.outcomes_read(outcomes, began, OutcomeCoverage::changes);
}

awaitable<void> RecordFollower::read_next_page() {
    auto& replica = context_.replica;
    while (last_page_key_) {
        const auto checked =
            co_await check_.read_page(scheduler::jobs_prefix, *last_page_key_, RequestPriority::bookkeeping);
        const auto& page = checked.read;
        if (page.outcome != Outcome::ok || !last_page_key_) co_return;
        if (checked.rolled_back) {
            // A page from before the known revision must not be loaded: the lost records would be forgotten.
            context_.suspect_revision_rollback(page.revision);
            co_return;
        }
        replica.add_page(page.items);
        if (page.more && !page.items.empty()) {
            last_page_key_ = page.items.back().key;
            if (context_.replica_verified) co_return;
            continue;
        }
        last_page_key_.reset();
        replica.pages_complete();
        spdlog::info("event=replica_loaded records={} generation={} revision={}", replica.size(), replica.generation(),
                     replica.revision());
    }
}

awaitable<bool> RecordFollower::verify() {
    if (context_.replica_verified) co_return true;
    const auto read = co_await digest_.read();
    if (read.outcome != Outcome::ok) co_return false;
    const auto stored = parse_digest(read.item);
    if (stored && stored->generation == context_.complete_marker->generation) {
        // The digest may count jobs that ended while the pages were being read, so it can only be compared once the
        // replica has reached the digest's revision.
        if (context_.replica.revision() < stored->revision) co_await read_changes();
        if (context_.loss_suspected() || !following_ || context_.replica.revision() < stored->revision) co_return false;
        if (!matches(*stored)) co_return false;
    }
    context_.replica_verified = true;
    co_return true;
}

bool RecordFollower::matches(const StoredDigest& stored) {
    const auto& replica = context_.replica;
    const auto present = replica.digest(stored.revision);
    if (present == stored.outcomes && replica.jobs() >= stored.jobs) return true;
    context_.suspect_loss("the digest counts " + std::to_string(stored.outcomes.outcomes) + " outcomes and " +
                              std::to_string(stored.jobs) + " jobs at revision " + std::to_string(stored.revision) +
                              ", the replica holds " + std::to_string(present.outcomes) + " outcomes and " +
                              std::to_string(replica.jobs()) + " jobs at revision " +
                              std::to_string(replica.revision()),
                          Loss::beyond_replica);
    return false;
}

}  // namespace flintdale::recovery
