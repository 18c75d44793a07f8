// Compares the store with the replica, checks records that seem to be missing, and restores single lost records. Data
// can be lost without any visible sign, so controllers that do not lead read all records again, one page per interval.
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

    // Compares the next page, if one is due. Does nothing on the leader.
    awaitable<void> scrub_if_due();

    bool recheck_due() const { return !context_.missing_keys.empty() && model::Clock::now() >= next_recheck_; }
    model::TimePoint next_recheck() const { return next_recheck_; }
    // Reads the keys again that seemed to be missing, and compares the results with a replica that has caught up to
    // those reads. A few lost records are restored from the replica. The guard stays open and the term continues
    // meanwhile, because GuardedStore withholds every answer that depends on the absence of those records. If more
    // records are lost, the extent of the loss is unknown, and a loss is suspected.
    awaitable<void> recheck_missing(state::GenerationMarker marker);

  private:
    using Findings = std::vector<ConsistencyCheck::Finding>;
    awaitable<void> scrub_page();
    // Rechecks missing_keys and adds the records that are certainly lost to `lost`. False if the replica can no longer
    // be used for that.
    awaitable<bool> recheck_keys(Findings& lost);
    // The same; if any record is lost, also compares all pages. False if that was not possible, or if no record is
    // lost.
    awaitable<bool> find_lost(Findings& lost);
    // Compares all pages and adds the keys that seem to be missing to missing_keys. False if that was not possible.
    awaitable<bool> compare_all_pages();
    // Brings the replica up to the revisions of the findings. False if that was not possible.
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
