// Outcomes of finished jobs that a rebuilding has put down in pages, and that are not back under their own keys yet.
// They count as on record. The leader restores them a batch at a time, and removes a page once it is empty.
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
    // Reads the pages into this and into a replica. False if that was not possible now.
    awaitable<bool> read(RecordReplica& replica);
    // Waits for the whole interval before the next restoring.
    void postpone();
    // Restores part of a page under the outcomes' own keys. Only for the leader, and only if not empty.
    awaitable<void> restore_if_due();

  private:
    struct Batch {
        state::Txn txn;
        std::size_t taken = 0;  // jobs from the end of the page that it settles
    };
    awaitable<void> restore_page();
    Batch next_batch(const std::vector<std::string>& uids) const;
    awaitable<bool> write(state::Txn txn, state::GenerationMarker marker);
    awaitable<void> remove_page(state::GenerationMarker marker);
    bool may_write() const;

    RecoveryContext& context_;
    const MarkerStore& markers_;
    std::map<std::string, std::vector<std::string>> pages_;  // key of a page -> jobs whose outcomes are in it
    model::TimePoint next_restore_{};
};

}  // namespace flintdale::recovery
