// Determines which records have to be written back after a loss, and in which order. No I/O.
#pragma once
#include <vector>

#include "recovery/merge.hpp"
#include "state/store.hpp"

namespace flintdale::recovery {

// The job records in the store.
struct StoredRecords {
    ReplicaContents contents;
    std::map<std::string, std::uint64_t> mod_revisions;  // by key
};

struct RestorePlan {
    std::vector<state::Change> immediate;  // cancellations, then work by priority, then other outcomes
    ReplicaContents deferred;              // outcomes that are first written in pages: see DeferredOutcomes
};

RestorePlan plan_restore(const Merged& merged, const StoredRecords& stored);

}  // namespace flintdale::recovery
