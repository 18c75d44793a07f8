// Looks jobs up without a request to the state service: in the cache of jobs that were read, and in the controller's
// memory. A job never returns from an ended state to an open one, so an ended state takes precedence.
#pragma once
#include <string>

#include "api/job_memory.hpp"
#include "api/known_jobs.hpp"

namespace flintdale::api {

// The result of checking a job. If `certain` and `job` is null, the job does not exist.
struct JobCheck {
    bool certain = false;
    KnownJobPtr job;
};

class JobKnowledge {
  public:
    // `capacity`: the number of jobs in the cache.
    JobKnowledge(const JobMemory& memory, std::size_t capacity) : memory_(memory), cache_(capacity) {}

    // Caches the job that a record describes and returns it; null if the record is absent or cannot be read.
    KnownJobPtr learn(const std::string& uid, const state::KeyValue& record);
    KnownJobPtr learn_cancelled(const std::string& uid, const model::JobSize& size);

    // The job as far as it is known; null if it is not known to have been accepted.
    KnownJobPtr find(const std::string& uid);
    // `checked`, or the job's ended state if that became known during the check.
    KnownJobPtr newest(const std::string& uid, KnownJobPtr checked);
    // The result for a job if neither of its keys exists in the state service.
    JobCheck result_if_absent(const std::string& uid);

    bool knows_all_jobs() const { return memory_.knows_all_jobs(); }
    // Drops open jobs from the cache, so that their records are read again.
    void invalidate_open_jobs() { cache_.invalidate_open_jobs(); }

  private:
    // Null if the controller's memory does not have the job as ended.
    KnownJobPtr find_ended_in_memory(const std::string& uid);

    const JobMemory& memory_;
    KnownJobs cache_;
};

}  // namespace flintdale::api
