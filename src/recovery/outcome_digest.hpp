// A digest of the stored outcomes, kept in the key-value store. Outcomes are never removed, so those that were counted
// at some revision must all exist later. A controller that starts without a replica detects a loss by this digest.
#pragma once
#include <optional>

#include "recovery/marker_store.hpp"

namespace flintdale::recovery {

// The stored digest.
struct StoredDigest {
    std::uint64_t generation = 0;
    std::uint64_t revision = 0;      // the store's revision at which the digest was taken
    RecordReplica::Digest outcomes;  // stored at that revision
    std::uint64_t jobs = 0;          // open or over, stored at that revision
};

// Nullopt if the key is absent or holds no digest.
std::optional<StoredDigest> parse_digest(const state::KeyValue& item);

class OutcomeDigest {
  public:
    OutcomeDigest(RecoveryContext& context, const MarkerStore& markers) : context_(context), markers_(markers) {}

    awaitable<state::GetResult> read();
    // Writes the digest if it changed since the last write. Only for the leader.
    awaitable<void> write_if_due();
    // Makes the next write happen even if the counts are the same: an outcome has a new mod revision, or the digest was
    // removed.
    void invalidate() { written_count_ = 0; }

  private:
    awaitable<void> write();

    RecoveryContext& context_;
    const MarkerStore& markers_;
    std::uint64_t written_count_ = 0;  // outcomes plus jobs in the last written digest
    model::TimePoint next_write_{};
};

}  // namespace flintdale::recovery
