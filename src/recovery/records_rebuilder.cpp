#include "recovery/records_rebuilder.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "recovery/record_keys.hpp"

namespace flintdale::recovery {

using model::Clock;
using state::GenerationMarker;
using OutcomeCoverage = RecoveryCallbacks::OutcomeCoverage;

namespace {

constexpr std::size_t max_reported_uids = 20'000;

void log_sources(const GatheredOffers& gathered) {
    for (const auto& source : gathered.sources)
        spdlog::debug("event=replica_contents source={} generation={} revision={} complete={} records={}", source.from,
                      source.generation, source.revision, source.complete, source.records.size());
    for (const auto& member : gathered.missing) spdlog::error("event=replica_offer_missing member={}", member);
}

}  // namespace

void RecordsRebuilder::tasks_reported(const model::Heartbeat& report) {
    if (reported_uids_.size() > max_reported_uids) return;
    for (const auto& task : report.tasks) reported_uids_.insert(task.id.uid);
}

bool RecordsRebuilder::still_leads(std::uint64_t term) const {
    return context_.leadership.term && context_.leadership.term->number == term;
}

awaitable<void> RecordsRebuilder::rebuild(GenerationMarker marker) {
    active_ = true;
    co_await attempt(std::move(marker));
    active_ = false;
}

awaitable<void> RecordsRebuilder::attempt(GenerationMarker marker) {
    const auto term = context_.leadership.term->number;
    if (context_.loss_noticed_at == model::TimePoint{}) context_.loss_noticed_at = Clock::now();
    const bool claimed = co_await claim(marker);
    if (!claimed) co_return;
    const bool published = co_await offers_.publish(marker);
    if (!published || !still_leads(term)) co_return;
    const auto gathered = co_await offers_.gather(marker);
    if (!gathered || !still_leads(term)) co_return;
    context_.replica_verified = true;  // all available replicas were gathered; there is no other source
    auto stored = co_await restorer_.read_stored();
    if (!stored || !still_leads(term)) co_return;
    log_sources(*gathered);
    const auto merged = merge(gathered->sources, stored->contents);
    for (const auto& reason : merged.unrecoverable) spdlog::error("event=record_unrecoverable why=\"{}\"", reason);
    pass_on_outcomes(merged, gathered->missing.empty());
    marker.phase = GenerationMarker::Phase::restoring;
    marker.mod_revision = co_await markers_.replace(marker);
    if (!marker.mod_revision || !still_leads(term)) co_return;
    const auto restored = co_await restore_all(marker, merged, std::move(*stored));
    if (!restored) co_return;
    const bool finished = co_await finish(std::move(marker), *gathered, merged, *restored);
    if (finished) offers_.schedule_removal();
}

// Writes into the marker that this controller rebuilds, and the history and revision of its own replica.
awaitable<bool> RecordsRebuilder::claim(GenerationMarker& marker) {
    const auto& replica = context_.replica;
    const auto term = context_.leadership.term->number;
    marker.phase = GenerationMarker::Phase::merging;
    marker.rebuilder = context_.settings.member;
    marker.term = term;
    marker.base_history = replica.is_complete() ? replica.id() : std::string();
    marker.base_revision = replica.revision();
    auto& rebuilders = marker.rebuilders;
    if (std::find(rebuilders.begin(), rebuilders.end(), term) == rebuilders.end()) rebuilders.push_back(term);
    const auto mod_revision = co_await markers_.replace(marker);
    if (!mod_revision) {
        co_await context_.wakeup.wait(retry_interval);
        co_return false;
    }
    marker.mod_revision = mod_revision;
    spdlog::info("event=recovery_started generation={} term={} replica_records={} replica_revision={}",
                 marker.generation, term, replica.size(), replica.revision());
    co_return true;
}

// No job can be cancelled before the records are complete again. If all replicas were gathered, all cancellations are
// therefore known.
void RecordsRebuilder::pass_on_outcomes(const Merged& merged, bool all_replicas_gathered) const {
    std::vector<state::KeyValue> outcomes;
    for (const auto& [key, text] : merged.records) {
        if (!is_outcome_key(key)) continue;
        state::KeyValue item;
        item.key = key;
        item.value = boost::json::parse(text);
        item.mod_revision = deferred_mod_revision;
        outcomes.push_back(std::move(item));
    }
    context_.callbacks.outcomes_read(outcomes, Clock::now(),
                                     all_replicas_gathered ? OutcomeCoverage::all : OutcomeCoverage::changes);
}

awaitable<std::optional<std::size_t>> RecordsRebuilder::restore_all(GenerationMarker marker, const Merged& merged,
                                                                    StoredRecords stored) {
    const auto term = marker.term;
    std::size_t restored = 0;
    for (;;) {
        const auto missing = co_await restorer_.restore(marker, merged, std::move(stored));
        if (!missing || !still_leads(term)) co_return std::nullopt;
        restored += *missing;
        if (*missing == 0) co_return std::optional(restored);
        // More records may have been lost during the writing.
        auto present = co_await restorer_.read_stored();
        if (!present || !still_leads(term)) co_return std::nullopt;
        stored = std::move(*present);
    }
}

std::size_t RecordsRebuilder::report_unrecoverable_jobs(const Merged& merged) const {
    std::size_t count = 0;
    for (const auto& uid : reported_uids_) {
        if (merged.records.contains(scheduler::outcome_key(uid))) continue;
        if (merged.records.contains(scheduler::work_key(uid, 0))) continue;
        ++count;
        spdlog::error("event=job_unrecoverable job={} why=\"a worker runs its tasks, but no source holds its records\"",
                      uid);
    }
    return count;
}

awaitable<bool> RecordsRebuilder::finish(GenerationMarker marker, const GatheredOffers& gathered, const Merged& merged,
                                         std::size_t restored) {
    const auto unrecoverable = report_unrecoverable_jobs(merged) + merged.unrecoverable.size();
    marker.phase = GenerationMarker::Phase::complete;
    marker.missing = gathered.missing;
    std::vector<state::Change> changes;
    changes.push_back({digest_key, std::nullopt, 0});
    // If only single records were suspected lost and none had to be restored, no record was lost.
    const bool nothing_lost = marker.keys_only && restored == 0;
    marker.loss_exceeds_replica = !nothing_lost && (marker.loss_exceeds_replica || !gathered.placements_known);
    if (marker.loss_exceeds_replica)
        changes.push_back({reconciliation_pending_key, boost::json::object{{"generation", marker.generation}}, 0});
    const auto mod_revision = co_await markers_.replace_with(marker, std::move(changes));
    if (!mod_revision) co_return false;
    spdlog::info(
        "event=recovery_finished generation={} records={} restored={} sources={} unrecoverable={} placements_known={}",
        marker.generation, merged.records.size(), restored, gathered.sources.size(), unrecoverable,
        !marker.loss_exceeds_replica);
    co_return true;
}

}  // namespace flintdale::recovery
