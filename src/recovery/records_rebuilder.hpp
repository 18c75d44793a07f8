// Rebuilds the records after a loss: claims the rebuild in the marker, gathers all replicas and the records left in the
// store, merges them, writes the result back, and marks the records complete. docs/recovery.md explains why this is
// safe.
#pragma once
#include <set>
#include <string>

#include "model/heartbeat.hpp"
#include "recovery/record_restorer.hpp"
#include "recovery/replica_offers.hpp"

namespace flintdale::recovery {

class RecordsRebuilder {
  public:
    RecordsRebuilder(RecoveryContext& context, MarkerStore& markers, ReplicaOffers& offers)
        : context_(context), markers_(markers), offers_(offers), restorer_(context, markers) {}

    // Makes one attempt under the current term. It may end at any step; then the marker has to be read again. Records
    // written by an interrupted attempt do not harm the next one.
    awaitable<void> rebuild(state::GenerationMarker marker);
    // Whether an attempt is running.
    bool active() const { return active_; }

    // Notes the jobs whose tasks a worker runs: those that no replica holds are reported as unrecoverable.
    void tasks_reported(const model::Heartbeat& report);
    void forget_reported_tasks() { reported_uids_.clear(); }

  private:
    awaitable<void> attempt(state::GenerationMarker marker);
    awaitable<bool> claim(state::GenerationMarker& marker);
    void pass_on_outcomes(const Merged& merged, bool all_replicas_gathered) const;
    // Repeats until a read of the store shows no record missing. Returns the number of restored records, or nullopt if
    // interrupted.
    awaitable<std::optional<std::size_t>> restore_all(state::GenerationMarker marker, const Merged& merged,
                                                      StoredRecords stored);
    // Marks the records complete. False if the marker could not be replaced.
    awaitable<bool> finish(state::GenerationMarker marker, const GatheredOffers& gathered, const Merged& merged,
                           std::size_t restored);
    std::size_t report_unrecoverable_jobs(const Merged& merged) const;
    bool still_leads(std::uint64_t term) const;

    RecoveryContext& context_;
    MarkerStore& markers_;
    ReplicaOffers& offers_;
    RecordRestorer restorer_;
    std::set<std::string> reported_uids_;
    bool active_ = false;
};

}  // namespace flintdale::recovery
