// What is known of a job without asking the state service: from the cache of what was read, and from the controller's
// memory. A job only moves forward, so the latest known state counts.
#pragma once
#include <string>

#include "api/job_memory.hpp"
#include "api/known_jobs.hpp"

namespace flintdale::api {

// The result of checking a job. Certain and null: there is no such job.
struct JobCheck {
    bool certain = false;
    JobEvidence job;
};

class JobKnowledge {
  public:
    // `capacity`: jobs of which is kept what was read of them.
    JobKnowledge(const JobMemory& memory, std::size_t capacity) : memory_(memory), cache_(capacity) {}

    // What a record says of its job; null if the record is absent, or cannot be read.
    JobEvidence learn(const std::string& uid, const state::KeyValue& record);
    JobEvidence learn_cancelled(const std::string& uid, const model::JobSize& size);

    // That the job was accepted, and whether it is known to be over; null if neither is known.
    JobEvidence find(const std::string& uid);
    // What became known while the job was checked, or else the result of that check.
    JobEvidence newest(const std::string& uid, JobEvidence checked);
    // The result for a job of which neither key is on record.
    JobCheck not_on_record(const std::string& uid);

    bool knows_all_jobs() const { return memory_.knows_all_jobs(); }
    // The records were rebuilt: what they say of jobs that are not over has to be read again.
    void invalidate_open_jobs() { cache_.invalidate_open_jobs(); }

  private:
    JobEvidence remembered_as_over(const std::string& uid);

    const JobMemory& memory_;
    KnownJobs cache_;
};

}  // namespace flintdale::api
