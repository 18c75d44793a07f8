// Which records have to be written back after a loss, and in which order. Pure.
#pragma once
#include <vector>

#include "recovery/merge.hpp"
#include "state/store.hpp"

namespace flintdale::recovery {

// The records of jobs that the store holds now.
struct StoredRecords {
    ReplicaContents contents;
    std::map<std::string, std::uint64_t> mod_revisions;
};

struct RestorePlan {
    std::vector<state::Change> immediate;  // first cancellations, then work by priority, then other outcomes
    ReplicaContents deferred;              // outcomes that are put down in pages first: see DeferredOutcomes
};

RestorePlan plan_restore(const Merged& merged, const StoredRecords& stored);

}  // namespace flintdale::recovery
