// Outcomes of finished jobs that a rebuild has written in pages instead of under their own keys. They count as
// stored. The leader restores them to their keys in batches, and removes a page once all of it is restored.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "recovery/marker_store.hpp"

namespace flintdale::recovery {

class DeferredOutcomes {
  public:
    DeferredOutcomes(RecoveryContext& context, const MarkerStore& markers) : context_(context), markers_(markers) {}

    bool empty() const { return pages_.empty(); }
    // Reads the pages into this object and into a replica. False if they could not be read.
    awaitable<bool> read(RecordReplica& replica);
    // Delays the next restore_if_due() by a full interval.
    void postpone();
    // Restores part of a page to the outcomes' own keys. Only for the leader, and only if not empty.
    awaitable<void> restore_if_due();

  private:
    struct Batch {
        state::Txn txn;
        std::size_t taken = 0;  // number of jobs at the end of the page that are restored by this batch
    };
    awaitable<void> restore_page();
    Batch next_batch(const std::vector<std::string>& uids) const;
    awaitable<bool> write(state::Txn txn, state::GenerationMarker marker);
    awaitable<void> remove_page(state::GenerationMarker marker);
    bool may_write() const;

    RecoveryContext& context_;
    const MarkerStore& markers_;
    std::map<std::string, std::vector<std::string>> pages_;  // page key -> uids of the jobs whose outcomes it holds
    model::TimePoint next_restore_{};
};

}  // namespace flintdale::recovery
