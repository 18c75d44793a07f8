// Keeps the replica up to date with the records in the store: loads all records page by page while it follows their
// changes.
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

    // Starts again from the beginning, for a replica of a new history.
    void restart();
    // Whether the changes are being followed. If not, the next read_changes() starts following them from the store's
    // current revision.
    bool following() const { return following_; }

    // Makes one attempt to load all records and to compare them with the digest. True once that has succeeded; until
    // then the caller retries. May report a suspected loss.
    awaitable<bool> load_and_verify();
    // Applies the changes since the last read to the replica, and reports new outcomes to the callback.
    awaitable<void> read_changes();
    // Reads the records that were stored before following began. A controller without a verified replica reads all
    // pages in one call: it must not answer users before it has verified that the records are complete. A controller
    // that had a verified replica before reads one page per call.
    awaitable<void> read_next_page();

  private:
    awaitable<void> start_following();
    void apply_changes(state::WatchResult seen, model::TimePoint began);
    awaitable<bool> verify();
    // Whether the replica holds what the digest counted; suspects a loss if not.
    bool matches(const StoredDigest& stored);

    RecoveryContext& context_;
    const ConsistencyCheck& check_;
    OutcomeDigest& digest_;
    bool following_ = false;
    std::optional<std::string> last_page_key_;  // the last key of the pages read so far; nullopt once all are read
};

}  // namespace flintdale::recovery
