// Rebuilds the records after a loss: claims the rebuilding in the marker, gathers what all replicas and the store hold,
// merges it, writes it back, and declares the records whole. docs/recovery.md has the argument.
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

    // One attempt, under the present term. It may end at any step; then the marker has to be read again. What an
    // interrupted attempt has written does no harm to the next one.
    awaitable<void> rebuild(state::GenerationMarker marker);
    // Whether an attempt is under way.
    bool active() const { return active_; }

    // Jobs that a worker runs tasks of: those that no replica holds are reported as unrecoverable.
    void tasks_reported(const model::Heartbeat& report);
    void forget_reported_tasks() { reported_uids_.clear(); }

  private:
    awaitable<void> attempt(state::GenerationMarker marker);
    awaitable<bool> claim(state::GenerationMarker& marker);
    void pass_on_outcomes(const Merged& merged, bool all_replicas_gathered) const;
    // Until a read of the store shows nothing missing. Returns how many records were restored.
    awaitable<std::optional<std::size_t>> restore_all(state::GenerationMarker marker, const Merged& merged,
                                                      StoredRecords stored);
    // Whether the marker was replaced by a whole one.
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
