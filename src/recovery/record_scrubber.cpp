#include "recovery/record_scrubber.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "recovery/record_keys.hpp"

namespace flintdale::recovery {

using model::Clock;
using state::Outcome;
using state::RequestPriority;
using Finding = ConsistencyCheck::Finding;
using Verdict = Finding::Verdict;

namespace {

constexpr auto scrub_interval = std::chrono::seconds(5);
constexpr std::size_t max_restored_records = 16;  // if more are lost, the extent of the loss is unknown

}  // namespace

awaitable<void> RecordScrubber::scrub_if_due() {
    if (context_.leadership.term || !context_.replica.is_complete() || Clock::now() < next_scrub_) co_return;
    next_scrub_ = Clock::now() + scrub_interval;
    co_await scrub_page();
}

awaitable<void> RecordScrubber::scrub_page() {
    const auto checked =
        co_await check_.read_page(scheduler::jobs_prefix, last_scrubbed_key_, RequestPriority::bookkeeping);
    const auto& page = checked.read;
    if (page.outcome != Outcome::ok || context_.loss_suspected() || !context_.replica.is_complete()) co_return;
    if (checked.rolled_back) {
        context_.suspect_revision_rollback(page.revision);
        co_return;
    }
    last_scrubbed_key_ = page.more && !page.items.empty() ? page.items.back().key : std::string();
    // Most of these keys were properly removed since the replica's position was taken, so each is read again first.
    context_.missing_keys.insert(checked.missing.begin(), checked.missing.end());
}

awaitable<void> RecordScrubber::recheck_missing(state::GenerationMarker marker) {
    next_recheck_ = Clock::now() + retry_interval;
    if (!context_.replica.is_complete() || !follower_.following()) co_return;
    Findings lost;
    const bool found = co_await find_lost(lost);
    if (!found) co_return;
    const bool caught_up = co_await catch_up(lost);
    if (!caught_up) {
        for (auto& finding : lost) context_.missing_keys.insert(std::move(finding.key));
        co_return;
    }
    drop_explained(lost);
    for (const auto& finding : lost)
        spdlog::error(
            "event=record_lost key={} expected_mod_revision={} stored_mod_revision={} revision={} replica_revision={}",
            finding.key, context_.replica.expected_mod_revision(finding.key), finding.present, finding.revision,
            context_.replica.revision());
    if (lost.size() > max_restored_records)
        context_.suspect_loss(std::to_string(lost.size()) +
                                  " records of the replica are missing from the store, the first is " + lost[0].key,
                              Loss::records);
    else if (!lost.empty())
        co_await restore_records(std::move(marker), std::move(lost));
}

awaitable<bool> RecordScrubber::find_lost(Findings& lost) {
    bool all_compared = false;
    for (;;) {
        const bool rechecked = co_await recheck_keys(lost);
        if (!rechecked || lost.empty()) co_return false;
        if (all_compared || lost.size() > max_restored_records) co_return true;
        // If one record is lost, others may be lost too.
        all_compared = co_await compare_all_pages();
        if (!all_compared || context_.loss_suspected()) co_return false;
    }
}

awaitable<bool> RecordScrubber::recheck_keys(Findings& lost) {
    auto& keys = context_.missing_keys;
    std::set<std::string> inconclusive;
    while (!keys.empty() && lost.size() <= max_restored_records) {
        auto key = keys.extract(keys.begin()).value();
        auto finding = co_await check_.recheck(std::move(key), RequestPriority::user);
        if (context_.loss_suspected() || !context_.replica.is_complete()) co_return false;
        if (finding.verdict == Verdict::inconclusive) inconclusive.insert(finding.key);
        if (finding.verdict == Verdict::lost) lost.push_back(std::move(finding));
    }
    keys.merge(inconclusive);
    co_return true;
}

awaitable<bool> RecordScrubber::compare_all_pages() {
    std::string after;
    for (;;) {
        const auto checked = co_await check_.read_page(scheduler::jobs_prefix, after, RequestPriority::user);
        if (context_.loss_suspected() || !context_.replica.is_complete() || checked.read.outcome != Outcome::ok)
            co_return false;
        context_.missing_keys.insert(checked.missing.begin(), checked.missing.end());
        if (!checked.read.more || checked.read.items.empty()) co_return true;
        after = checked.read.items.back().key;
    }
}

awaitable<bool> RecordScrubber::catch_up(const Findings& lost) {
    const auto newest = std::max_element(lost.begin(), lost.end(),
                                         [](const Finding& a, const Finding& b) { return a.revision < b.revision; });
    const auto revision = newest->revision;
    const auto& replica = context_.replica;
    if (replica.revision() < revision) co_await follower_.read_changes();
    co_return !context_.loss_suspected() && replica.is_complete() && replica.revision() >= revision;
}

// Drops findings of records that were properly removed, restored or rewritten since they were read again.
void RecordScrubber::drop_explained(Findings& lost) const {
    std::erase_if(lost, [&](const Finding& finding) {
        const auto expected = context_.replica.expected_mod_revision(finding.key);
        return expected == 0 || expected > finding.revision || (expected <= finding.present && !finding.damaged);
    });
}

// The write is conditioned on the marker, on the mod revision that was found, and on the absence of an outcome of the
// job. It restores the newest value that was ever stored, because the replica holds every change up to the finding. A
// write by another controller that is conditioned on the lost mod revision fails.
state::Txn RecordScrubber::restoring_txn(const state::GenerationMarker& marker, const Finding& finding,
                                         const Record& record) const {
    state::Txn txn;
    txn.conditions.push_back({state::marker_key, marker.mod_revision});
    txn.conditions.push_back({finding.key, finding.present});
    if (const auto work = scheduler::parse_work_key(finding.key))
        txn.conditions.push_back({scheduler::outcome_key(work->uid), 0});
    txn.changes.push_back({finding.key, boost::json::parse(record.text), 0});
    // The digest counts outcomes by mod revision, so it no longer matches. The leader writes a new one when it sees the
    // restored outcome.
    if (is_outcome_key(finding.key)) txn.changes.push_back({digest_key, std::nullopt, 0});
    return txn;
}

awaitable<void> RecordScrubber::restore_records(state::GenerationMarker marker, Findings lost) {
    for (auto& finding : lost) {
        const auto record = context_.replica.record(finding.key);
        if (!record) continue;
        auto txn = restoring_txn(marker, finding, *record);
        auto change = txn.changes[0];
        const auto result = co_await context_.store.commit(std::move(txn), RequestPriority::user);
        if (context_.loss_suspected()) co_return;
        if (result.outcome == Outcome::ok) {
            context_.replica.apply_own_write(change, result.revision);
            digest_.invalidate();
            spdlog::error("event=record_restored key={} revision={}", finding.key, result.revision);
        } else {
            // The key may hold this write or another controller's, or the write was refused: read it again.
            context_.missing_keys.insert(std::move(finding.key));
        }
    }
}

}  // namespace flintdale::recovery
