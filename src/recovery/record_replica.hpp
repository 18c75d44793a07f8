// A controller's in-memory replica of the job records, used to detect a loss and as a source for rebuilding the
// records. It is as recent as the last read of changes. Outcomes are kept in compact form, because their number only
// grows. No I/O: RecordFollower supplies the records.
#pragma once
#include <boost/unordered/unordered_flat_map.hpp>
#include <optional>
#include <set>

#include "model/job.hpp"
#include "recovery/merge.hpp"
#include "state/store.hpp"

namespace flintdale::recovery {

// The mod revision given to deferred outcomes, which are not stored under their own keys yet: lower than that of any
// record that is.
inline constexpr std::uint64_t deferred_mod_revision = 1;

class RecordReplica {
  public:
    // Clears the replica and starts a history. Changes after `revision` come through apply_changes(), and records that
    // were stored before through add_page().
    void begin(std::uint64_t generation, std::string id, std::uint64_t revision);
    // Clears the replica and loads a snapshot. The replica is not complete then, because the snapshot is outdated and
    // its history may be lost.
    void load_snapshot(const ReplicaContents& snapshot);

    // Adds one page of the stored records, read after begin().
    void add_page(const std::vector<state::KeyValue>& items);
    // All pages were added: the replica is complete from now on.
    void pages_complete();
    // Applies changes in the order of their revisions. Returns the keys of unexpected removals, which are not applied:
    // of outcomes, and of work of jobs that are not over.
    std::vector<std::string> apply_changes(const state::WatchResult& changes);
    // Applies an acknowledged change made by this controller. apply_changes() may receive it again later.
    void apply_own_write(const state::Change& change, std::uint64_t revision);

    // Whether any record of the job is held.
    bool knows_job(const std::string& uid) const;
    // Whether the replica holds a compact outcome of the job.
    bool is_over(const std::string& uid) const { return outcomes_.contains(uid); }
    // The time the job ended, in milliseconds since the epoch; nullopt if it is not known.
    std::optional<std::int64_t> over_since_ms(const std::string& uid) const {
        const auto it = outcomes_.find(uid);
        return it == outcomes_.end() || !it->second.since_ms ? std::nullopt : std::optional(it->second.since_ms);
    }
    // The outcome of a job, and its size.
    struct Outcome {
        model::JobState state = model::JobState::open;
        model::JobSize size;
    };
    // Nullopt if no record of the job is held; state `open` if it has no compact outcome.
    std::optional<Outcome> outcome_of(const std::string& uid) const;
    // The record of a key, as JSON; nullopt if it is not held.
    std::optional<Record> record(const std::string& key) const;
    // The machines on which the job's records place tasks.
    std::set<std::string> machines_of(const std::string& uid) const;
    // A digest of outcomes: their number, and the sum of the CRC-32 checksums of the jobs' uids.
    struct Digest {
        std::uint64_t outcomes = 0, sum = 0;
        bool operator==(const Digest&) const = default;
    };
    // The digest of the outcomes whose mod revision is at most `revision`.
    Digest digest(std::uint64_t revision) const;
    // The number of jobs, open or over.
    std::size_t jobs() const;
    // A lower bound for the number of jobs stored at that revision. Jobs with a later mod revision are not counted.
    std::size_t jobs_at(std::uint64_t revision) const;
    // Jobs without an outcome, in the order of their keys.
    std::vector<std::string> open_jobs() const;
    // A point in the replica's history. Take it before sending a request, and compare the answer only with records up
    // to that point: later ones may have been stored after the answer was produced. Invalid once another history
    // begins.
    struct Position {
        std::uint64_t history = 0, revision = 0;
    };
    Position position() const { return {history_, complete_ ? revision_ : 0}; }
    bool is_valid(const Position& position) const { return position.history == history_; }
    // Compares `items`, the records read after `from` and up to `to` (empty: the last), with those that were held at
    // the position and are unchanged since. Returns the keys that are absent, older or unreadable in `items`. Deferred
    // outcomes are left out. The keys may have been removed properly since, so ConsistencyCheck::recheck() reads each
    // again.
    std::vector<std::string> find_missing(const Position& position, const std::string& from, const std::string& to,
                                          const std::vector<state::KeyValue>& items) const;
    // The lowest mod revision that the key must have in the store. 0 if it may be absent: it is not held, it is work of
    // a job that is over and may have been removed, or it is a deferred outcome.
    std::uint64_t expected_mod_revision(const std::string& key) const;
    // Whether the replica holds an intact record of the key. Values that were read damaged are kept unchanged.
    bool readable(const std::string& key) const;
    // Whether the replica holds every record that was stored at revision().
    bool is_complete() const { return complete_; }
    std::uint64_t generation() const { return generation_; }
    const std::string& id() const { return id_; }
    std::uint64_t revision() const { return revision_; }
    std::size_t size() const { return records_.size() + outcomes_.size(); }

    // All records, or those with a mod revision above `after`. `from` names the source in the log.
    ReplicaContents source(std::string from, std::uint64_t after = 0) const;

  private:
    // An outcome in compact form.
    struct CompactOutcome {
        std::uint64_t mod_revision = 0;
        std::int64_t since_ms = 0;  // end of the job, milliseconds since the epoch; 0 if not known
        std::uint32_t tasks = 0;
        model::JobKind kind = model::JobKind::array;
        model::JobState state = model::JobState::open;
    };
    void store(const std::string& key, const boost::json::value& value, std::uint64_t mod_revision);
    void erase(const std::string& key, std::uint64_t mod_revision);
    std::uint64_t mod_revision_of(const std::string& key) const;
    // The outcome as the JSON of a record.
    static std::string text_of(const CompactOutcome& outcome);

    std::uint64_t generation_ = 0, revision_ = 0;
    std::uint64_t history_ = 0;  // number of begin() calls, for positions
    std::string id_;
    bool complete_ = false;
    std::map<std::string, Record> records_;  // by key: work, and outcomes without a compact form
    boost::unordered_flat_map<std::string, CompactOutcome> outcomes_;  // by uid
    std::map<std::string, std::uint64_t> removed_;  // until all pages are added: key -> mod revision of its removal
};

}  // namespace flintdale::recovery
