// A cache of what this controller has lately read of jobs, so that most checks need no more than a comparison of keys.
// It evicts the job that was not asked for the longest; what is missing is read again. An entry may be evicted at any
// time: whoever asks keeps the evidence that the call returned (docs/incidents/cache-emptied-in-use.md).
#pragma once
#include <boost/multi_index/hashed_index.hpp>
#include <boost/multi_index/member.hpp>
#include <boost/multi_index/sequenced_index.hpp>
#include <boost/multi_index_container.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "model/job.hpp"
#include "state/store.hpp"

namespace flintdale::api {

struct KnownJob {
    model::JobState state = model::JobState::open;
    model::JobSize size;
    std::vector<std::string> dependencies;  // of an open job
    bool over() const { return state != model::JobState::open; }
};
// That a job was accepted, and what was known of it then. It does not change.
using JobEvidence = std::shared_ptr<const KnownJob>;

// What a record says of its job; nothing, with a line in the log, if it cannot be read.
std::optional<KnownJob> job_from_record(const state::KeyValue& record);

class KnownJobs {
  public:
    // `capacity`: the number of jobs that are kept.
    explicit KnownJobs(std::size_t capacity) : capacity_(capacity) {}

    // Null if the job is not in the cache.
    JobEvidence find(const std::string& uid);
    // Keeps and returns the newer of this and what is known: answers overtake one another on their way here, and a job
    // only ever moves forward.
    JobEvidence learn(const std::string& uid, KnownJob job);
    // The records were rebuilt: what they say of jobs that are not over has to be read again.
    void invalidate_open_jobs();
    std::size_t size() const { return entries_.size(); }

  private:
    struct Entry {
        std::string uid;
        JobEvidence job;
    };
    // The job that was asked for last comes first.
    boost::multi_index_container<
        Entry, boost::multi_index::indexed_by<
                   boost::multi_index::sequenced<>,
                   boost::multi_index::hashed_unique<boost::multi_index::member<Entry, std::string, &Entry::uid>>>>
        entries_;
    std::size_t capacity_;
};

}  // namespace flintdale::api
