// Compares the store with the replica, reads again what seems to be missing, and restores single records. Data can be
// lost without any sign, so a controller that does not lead reads the records again, a page now and then.
#pragma once
#include <string>
#include <vector>

#include "recovery/consistency_check.hpp"
#include "recovery/outcome_digest.hpp"
#include "recovery/record_follower.hpp"

namespace flintdale::recovery {

class RecordScrubber {
  public:
    RecordScrubber(RecoveryContext& context, const ConsistencyCheck& check, RecordFollower& follower,
                   OutcomeDigest& digest)
        : context_(context), check_(check), follower_(follower), digest_(digest) {}

    // Compares the next page, if one is due. Not for the leader.
    awaitable<void> scrub_if_due();

    bool recheck_due() const { return !context_.missing_keys.empty() && model::Clock::now() >= next_recheck_; }
    model::TimePoint next_recheck() const { return next_recheck_; }
    // Reads the keys again that seemed to be missing, and judges them by a replica that holds everything up to that
    // second read. If single records are lost that the replica holds, they are restored. Nothing is closed for that,
    // and no term ends: while they are missing, GuardedStore passes on no answer that rests on their absence. If more
    // are lost, a loss is suspected, for nobody knows how much it is.
    awaitable<void> recheck_missing(state::GenerationMarker marker);

  private:
    using Findings = std::vector<ConsistencyCheck::Finding>;
    awaitable<void> scrub_page();
    // Adds the records that are missing for certain to `lost`. False if the replica is no longer valid for that.
    awaitable<bool> recheck_keys(Findings& lost);
    // The same, and where one is lost, for all pages. False if that was not possible now, or nothing is lost.
    awaitable<bool> find_lost(Findings& lost);
    // Adds what seems to be missing on all pages to the keys to read again. False if that was not possible now.
    awaitable<bool> compare_all_pages();
    // Whether the replica now holds everything up to the findings.
    awaitable<bool> catch_up(const Findings& lost);
    void drop_explained(Findings& lost) const;
    awaitable<void> restore_records(state::GenerationMarker marker, Findings lost);
    state::Txn restoring_txn(const state::GenerationMarker& marker, const ConsistencyCheck::Finding& finding,
                             const Record& record) const;

    RecoveryContext& context_;
    const ConsistencyCheck& check_;
    RecordFollower& follower_;
    OutcomeDigest& digest_;
    model::TimePoint next_scrub_{}, next_recheck_{};
    std::string last_scrubbed_key_;
};

}  // namespace flintdale::recovery
