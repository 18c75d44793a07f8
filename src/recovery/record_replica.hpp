// A controller's replica of the records of jobs, kept by following their changes: a source for rebuilding as good as a
// snapshot, and as fresh as its last read. Outcomes, whose number only grows, are kept in compact form. It does no I/O;
// RecordFollower feeds it.
#pragma once
#include <boost/unordered/unordered_flat_map.hpp>
#include <optional>
#include <set>

#include "model/job.hpp"
#include "recovery/merge.hpp"
#include "state/store.hpp"

namespace flintdale::recovery {

// The mod revision of deferred outcomes, which have no key of their own yet: older than any record that has one.
inline constexpr std::uint64_t deferred_mod_revision = 1;

class RecordReplica {
  public:
    // Starts anew with a history, whose changes after that revision will follow. What was on record before comes in
    // pages.
    void begin(std::uint64_t generation, std::string id, std::uint64_t revision);
    // Takes over what a snapshot held, of a history that may be lost. The replica is not whole then.
    void load_snapshot(const ReplicaContents& snapshot);

    // Part of what is on record, read after begin().
    void add_page(const std::vector<state::KeyValue>& items);
    // All pages were added: from now on the replica is whole.
    void pages_complete();
    // The changes up to that revision, in their order. Returns the keys of removals that cannot have happened unless
    // data were lost: of an outcome, or of work of a job without one. Those are not applied.
    std::vector<std::string> apply_changes(const state::WatchResult& changes);
    // A change of this controller that was acknowledged. The changes may show it later once more.
    void apply_own_write(const state::Change& change, std::uint64_t revision);

    // Whether any record of the job is held.
    bool knows_job(const std::string& uid) const;
    // Whether the job is over, as far as the replica holds it.
    bool is_over(const std::string& uid) const { return outcomes_.contains(uid); }
    // Since when, in milliseconds since the epoch; nothing if that is not known.
    std::optional<std::int64_t> over_since_ms(const std::string& uid) const {
        const auto it = outcomes_.find(uid);
        return it == outcomes_.end() || !it->second.since_ms ? std::nullopt : std::optional(it->second.since_ms);
    }
    // How a job ended, and its size.
    struct Outcome {
        model::JobState state = model::JobState::open;
        model::JobSize size;
    };
    // Nothing if no record of the job is held; state `open` if it has no outcome.
    std::optional<Outcome> outcome_of(const std::string& uid) const;
    // The record of a key, as JSON; nothing if it is not held.
    std::optional<Record> record(const std::string& key) const;
    // Machines that tasks of the job are placed on, by its records.
    std::set<std::string> machines_of(const std::string& uid) const;
    // Of the outcomes that were on record at that revision: how many, and a sum over their names.
    struct Digest {
        std::uint64_t outcomes = 0, sum = 0;
        bool operator==(const Digest&) const = default;
    };
    Digest digest(std::uint64_t revision) const;
    // All jobs, open or over.
    std::size_t jobs() const;
    // At least how many of them were on record at that revision: what was written since may be held already.
    std::size_t jobs_at(std::uint64_t revision) const;
    // Jobs without an outcome, in the order of their keys.
    std::vector<std::string> open_jobs() const;
    // What the replica holds now, for comparing it with the answer to a request that is sent now or later: nothing that
    // becomes known while the request is under way may be compared with it. Void once another history has begun.
    struct Mark {
        std::uint64_t history = 0, revision = 0;
    };
    Mark mark() const { return {history_, complete_ ? revision_ : 0}; }
    bool holds(const Mark& mark) const { return mark.history == history_; }
    // Keys after `from` and up to `to` (empty: the last) that were held at the mark, are unchanged since, and are not
    // among the items read there, or are there with an older or unreadable value. Deferred outcomes are left out. The
    // keys may have been removed in good order since: ConsistencyCheck::recheck() reads each again.
    std::vector<std::string> missing_from(const Mark& mark, const std::string& from, const std::string& to,
                                          const std::vector<state::KeyValue>& items) const;
    // The mod revision under which the key must be on record, as far as is known. 0 if it need not be there: it is not
    // held, or its job is over and it may be removed, or it is deferred.
    std::uint64_t expected_mod_revision(const std::string& key) const;
    // Whether the held value is an intact record: a value that was read damaged is kept as it is.
    bool readable(const std::string& key) const;
    // Holds everything that was on record at revision().
    bool is_complete() const { return complete_; }
    std::uint64_t generation() const { return generation_; }
    const std::string& id() const { return id_; }
    std::uint64_t revision() const { return revision_; }
    std::size_t size() const { return records_.size() + outcomes_.size(); }

    // All that the replica holds, or what changed after that revision.
    ReplicaContents source(std::string from, std::uint64_t after = 0) const;

  private:
    // An outcome in compact form.
    struct CompactOutcome {
        std::uint64_t mod_revision = 0;
        std::int64_t since_ms = 0;  // 0 if not known
        std::uint32_t tasks = 0;
        model::JobKind kind = model::JobKind::array;
        model::JobState state = model::JobState::open;
    };
    void store(const std::string& key, const boost::json::value& value, std::uint64_t mod_revision);
    void erase(const std::string& key, std::uint64_t mod_revision);
    std::uint64_t mod_revision_of(const std::string& key) const;
    // The record in JSON that says the same.
    static std::string text_of(const CompactOutcome& outcome);

    std::uint64_t generation_ = 0, revision_ = 0;
    std::uint64_t history_ = 0;  // counts calls of begin(), for marks
    std::string id_;
    bool complete_ = false;
    std::map<std::string, Record> records_;  // by key: work, and outcomes that have no compact form
    boost::unordered_flat_map<std::string, CompactOutcome> outcomes_;  // by uid
    std::map<std::string, std::uint64_t> removed_;  // while pages are still read: key -> mod revision of its removal
};

}  // namespace flintdale::recovery
