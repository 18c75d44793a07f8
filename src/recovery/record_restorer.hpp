// Writes records back to the store after a loss. Every write is conditioned on the marker and the term, so that it
// fails once another controller rebuilds.
#pragma once
#include <optional>

#include "recovery/marker_store.hpp"
#include "recovery/restore_plan.hpp"

namespace flintdale::recovery {

class RecordRestorer {
  public:
    RecordRestorer(RecoveryContext& context, const MarkerStore& markers) : context_(context), markers_(markers) {}

    // The job records in the store; nullopt if they could not be read.
    awaitable<std::optional<StoredRecords>> read_stored();
    // Writes the records that are missing in the store or differ. Returns their number, or nullopt if it was
    // interrupted because another controller rebuilds or the term was lost. `merged` must outlive the call.
    awaitable<std::optional<std::size_t>> restore(state::GenerationMarker marker, const Merged& merged,
                                                  StoredRecords stored);

  private:
    using ModRevisions = std::map<std::string, std::uint64_t>;
    awaitable<bool> write_in_batches(state::GenerationMarker marker, std::vector<state::Change> changes,
                                     ModRevisions& mod_revisions);
    bool batch_full(const std::vector<state::Change>& batch) const;
    // Writes the pages of deferred outcomes. Returns the number of outcomes that were not yet in a page, or nullopt if
    // interrupted.
    awaitable<std::optional<std::size_t>> write_deferred(state::GenerationMarker marker, ReplicaContents deferred);
    // Retries until the changes are stored. False if interrupted.
    awaitable<bool> write(state::GenerationMarker marker, std::vector<state::Change> changes,
                          ModRevisions& mod_revisions);
    awaitable<bool> write_one_by_one(state::GenerationMarker marker, std::vector<state::Change> changes,
                                     ModRevisions& mod_revisions);
    state::Txn conditional_txn(const state::GenerationMarker& marker, const std::vector<state::Change>& changes,
                               const ModRevisions& mod_revisions) const;

    RecoveryContext& context_;
    const MarkerStore& markers_;
};

}  // namespace flintdale::recovery
