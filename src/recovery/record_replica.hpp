// What a controller remembers of the records of jobs, by following them: a source for rebuilding as good as a snapshot,
// and as young as its last look. Outcomes, of which there are ever more, are kept in a few words each.
#pragma once
#include <boost/unordered/unordered_flat_map.hpp>
#include <optional>
#include <set>

#include "model/job.hpp"
#include "recovery/merge.hpp"
#include "state/store.hpp"

namespace flintdale::recovery {

// Of outcomes that have no place of their own yet: older than anything that has.
inline constexpr std::uint64_t deferred_mod_revision = 1;

class RecordReplica {
  public:
    // Begins anew with a history, of which everything after that revision will be told. What was on record before comes
    // in pages.
    void begin(std::uint64_t generation, std::string id, std::uint64_t revision);
    // Takes over what a snapshot held, of a history that is no more.
    void load_snapshot(const ReplicaContents& snapshot);

    // Part of what is on record, read after begin(); filled() once all has been.
    void add_page(const std::vector<state::KeyValue>& items);
    void pages_complete();
    // The changes up to that revision, in their order. Of what cannot have happened if nothing was lost the keys are
    // told: an outcome that was removed, or work of a job without one.
    std::vector<std::string> apply_changes(const state::WatchResult& changes);
    // A change that this controller itself has had acknowledged, which it may be told of later.
    void apply_own_write(const state::Change& change, std::uint64_t revision);

    bool knows_job(const std::string& uid) const;
    // Whether it is over, as far as is known.
    bool is_over(const std::string& uid) const { return finals_.contains(uid); }
    // Since when, by the time of day on record; nothing if that is not known.
    std::optional<std::int64_t> over_since_ms(const std::string& uid) const {
        const auto it = finals_.find(uid);
        return it == finals_.end() || !it->second.at ? std::nullopt : std::optional(it->second.at);
    }
    struct Outcome {
        model::JobState state = model::JobState::open;
        model::JobSize size;
    };
    // Of a job that is remembered; `open` if it has none.
    std::optional<Outcome> outcome_of(const std::string& uid) const;
    std::optional<Record> record(const std::string& key) const;
    // Machines that tasks of the job are placed on, by its records.
    std::set<std::string> machines_of(const std::string& uid) const;
    // Of the outcomes that were on record at that revision: how many, and a sum over their names.
    struct Digest {
        std::uint64_t outcomes = 0, sum = 0;
        bool operator==(const Digest&) const = default;
    };
    Digest digest(std::uint64_t revision) const;
    std::size_t jobs() const;  // open or over
    // Of which at least so many were on record at that revision: what was written since may be known already.
    std::size_t jobs_at(std::uint64_t revision) const;
    std::vector<std::string> open_jobs() const;
    // What is remembered now, for comparing it with the answer to a request that is sent now or later: nothing that
    // becomes known while that is under way is held against it. Void once another history has begun.
    struct Mark {
        std::uint64_t history = 0, revision = 0;
    };
    Mark mark() const { return {history_, whole_ ? revision_ : 0}; }
    bool holds(const Mark& mark) const { return mark.history == history_; }
    // Keys after `from` and up to `to` (empty: the last) that were remembered at the mark, are unchanged since, and are
    // not among the items read there, or are there with an older or unreadable value. What is owed has no place yet.
    // They may have been removed in good order since: an ConsistencyCheck looks at each again.
    std::vector<std::string> missing_from(const Mark& mark, const std::string& from, const std::string& to,
                                          const std::vector<state::KeyValue>& items) const;
    // The stamp under which the key must be on record, for all that is known; 0: it need not be there, for it is not
    // remembered, or its job is over and it may be removed, or it is owed.
    std::uint64_t expected(const std::string& key) const;
    // Whether it is remembered as it was: a value that was read damaged is kept as it is.
    bool readable(const std::string& key) const;
    bool whole() const { return whole_; }
    std::uint64_t generation() const { return generation_; }
    const std::string& id() const { return id_; }
    std::uint64_t revision() const { return revision_; }
    std::size_t size() const { return work_.size() + finals_.size(); }

    // All that is remembered, or what changed after that revision.
    ReplicaContents source(std::string from, std::uint64_t after = 0) const;

  private:
    struct Final {
        std::uint64_t mod_revision = 0;
        std::int64_t at = 0;
        std::uint32_t tasks = 0;
        model::JobKind kind = model::JobKind::array;
        model::JobState state = model::JobState::open;
    };
    void store(const std::string& key, const boost::json::value& value, std::uint64_t mod_revision);
    void erase(const std::string& key, std::uint64_t mod_revision);
    std::uint64_t mod_revision_of(const std::string& key) const;
    static std::string text_of(const Final& final);

    std::uint64_t generation_ = 0, revision_ = 0, history_ = 0;
    std::string id_;
    bool whole_ = false;
    std::map<std::string, Record> work_;  // and outcomes that a few words cannot hold
    boost::unordered_flat_map<std::string, Final> finals_;
    std::map<std::string, std::uint64_t> removed_;  // while pages are still read: keys, and when
};

}  // namespace flintdale::recovery
