// Keeps the replica in step with the records in the store: first all of them page by page, then their changes.
#pragma once
#include <optional>
#include <string>

#include "recovery/consistency_check.hpp"
#include "recovery/outcome_digest.hpp"

namespace flintdale::recovery {

class RecordFollower {
  public:
    RecordFollower(RecoveryContext& context, const ConsistencyCheck& check, OutcomeDigest& digest)
        : context_(context), check_(check), digest_(digest) {}

    // The replica belongs to a new history: nothing of it has been read.
    void restart();
    // Whether the changes are being followed. If not, the next read_changes() begins anew.
    bool following() const { return following_; }

    // One attempt to load all records and to compare them with the digest. True once that has succeeded; until then
    // the caller tries again. May report a suspicion of loss.
    awaitable<bool> load_and_verify();
    // Applies what changed since the last read to the replica, and passes outcomes on.
    awaitable<void> read_changes();
    // Reads what was on record before the changes. A controller that has just started reads all of it before it
    // answers anybody: only then can it tell whether the records are complete. One that had a verified replica before
    // reads one page at each call.
    awaitable<void> read_next_page();

  private:
    awaitable<void> start_following();
    void apply_changes(state::WatchResult seen, model::TimePoint began);
    awaitable<bool> verify();
    // Whether what the replica holds can be what was on record when the digest was taken; suspects a loss if not.
    bool matches(const StoredDigest& stored);

    RecoveryContext& context_;
    const ConsistencyCheck& check_;
    OutcomeDigest& digest_;
    bool following_ = false;
    std::optional<std::string> last_page_key_;  // the last key of the pages read so far; absent once all are read
};

}  // namespace flintdale::recovery
