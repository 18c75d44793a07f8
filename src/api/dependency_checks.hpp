// Checks the dependencies of a job: whether a new job may depend on them, and whether one of them was cancelled, which
// cancels the job too.
#pragma once
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "api/job_checks.hpp"
#include "api/job_knowledge.hpp"
#include "api/job_records.hpp"

namespace flintdale::api {

class DependencyChecks {
  public:
    using TimePoint = model::TimePoint;

    DependencyChecks(JobKnowledge& knowledge, JobChecks& checks, JobRecords& records)
        : knowledge_(knowledge), checks_(checks), records_(records) {}

    struct Acceptability {
        bool known = true;                            // false: the state service gave no usable response
        std::optional<std::string> rejection_reason;  // why a new job cannot have these dependencies; nullopt if it can
    };
    // Whether a new job may depend on these jobs.
    awaitable<Acceptability> check_new(std::vector<std::string> dependencies, TimePoint deadline);

    // The current state of the job. If a direct or indirect dependency was cancelled, the cancellation of the job is
    // written to the state service before this returns. So no controller reports another state later, not even after a
    // restart.
    awaitable<JobCheck> check_current(std::string uid, TimePoint deadline);

  private:
    using CheckedJobs = std::map<std::string, KnownJobPtr>;
    // An open job and all open jobs that it depends on.
    struct OpenJobs {
        std::vector<std::string> unchecked;
        bool dependency_cancelled = false;
    };
    OpenJobs open_jobs_of(const std::string& uid, const CheckedJobs& checked);
    // Moves the jobs that are known to have ended from `unchecked` to `checked`. They need no check.
    void move_ended_jobs(std::vector<std::string>& unchecked, CheckedJobs& checked);

    JobKnowledge& knowledge_;
    JobChecks& checks_;
    JobRecords& records_;
};

}  // namespace flintdale::api
