// A digest of the outcomes on record, kept in the key-value store. Outcomes are never removed, so as many as there were
// at some revision there must always be: a controller that starts without a replica finds a loss by it.
#pragma once
#include <optional>

#include "recovery/marker_store.hpp"

namespace flintdale::recovery {

// The digest as it is on record.
struct StoredDigest {
    std::uint64_t generation = 0;
    std::uint64_t revision = 0;      // at which the digest was taken
    RecordReplica::Digest outcomes;  // on record at that revision
    std::uint64_t jobs = 0;          // open or over, on record at that revision
};

// Nothing if the key is absent or holds no digest.
std::optional<StoredDigest> parse_digest(const state::KeyValue& item);

class OutcomeDigest {
  public:
    OutcomeDigest(RecoveryContext& context, const MarkerStore& markers) : context_(context), markers_(markers) {}

    awaitable<state::GetResult> read();
    // Writes the digest if it changed since the last write. Only for the leader.
    awaitable<void> write_if_due();
    // The next write is made even if the counts are the same: an outcome has another mod revision than before, or
    // the digest was removed.
    void invalidate() { written_count_ = 0; }

  private:
    awaitable<void> write();

    RecoveryContext& context_;
    const MarkerStore& markers_;
    std::uint64_t written_count_ = 0;  // outcomes and jobs that the last digest counted
    model::TimePoint next_write_{};
};

}  // namespace flintdale::recovery
