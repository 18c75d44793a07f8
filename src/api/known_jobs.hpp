// An LRU cache of the jobs that this controller has read, so that most checks need only a comparison of keys. A job
// that is not in the cache is read again. An entry may be evicted at any time, so a caller keeps the pointer that a
// call returned instead of relying on a later lookup (docs/incidents/cache-emptied-in-use.md).
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
    std::vector<std::string> dependencies;  // only of an open job
    bool ended() const { return state != model::JobState::open; }
};
// An immutable snapshot of an accepted job; null if the job is not known.
using KnownJobPtr = std::shared_ptr<const KnownJob>;

// The job that a record describes; nullopt, with a line in the log, if it cannot be read.
std::optional<KnownJob> job_from_record(const state::KeyValue& record);

class KnownJobs {
  public:
    // `capacity`: the largest number of jobs in the cache.
    explicit KnownJobs(std::size_t capacity) : capacity_(capacity) {}

    // Null if the job is not in the cache.
    KnownJobPtr find(const std::string& uid);
    // Stores the job and returns it. If the job is cached as ended, returns that and stores nothing: responses may
    // arrive out of order, and an ended job stays ended.
    KnownJobPtr learn(const std::string& uid, KnownJob job);
    // Drops open jobs. Called after the records were rebuilt, so that they are read again.
    void invalidate_open_jobs();
    std::size_t size() const { return entries_.size(); }

  private:
    struct Entry {
        std::string uid;
        KnownJobPtr job;
    };
    // Most recently used first.
    boost::multi_index_container<
        Entry, boost::multi_index::indexed_by<
                   boost::multi_index::sequenced<>,
                   boost::multi_index::hashed_unique<boost::multi_index::member<Entry, std::string, &Entry::uid>>>>
        entries_;
    std::size_t capacity_;
};

}  // namespace flintdale::api
