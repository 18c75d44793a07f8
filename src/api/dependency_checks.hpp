// What follows for a job from the jobs that it depends on: whether it may be accepted with them, and whether one of
// them was cancelled, which cancels it too.
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
        bool known = true;                     // false: the state service did not answer
        std::optional<std::string> complaint;  // why a job cannot have these dependencies
    };
    // Whether a new job may depend on these jobs.
    awaitable<Acceptability> check_new(std::vector<std::string> dependencies, TimePoint deadline);

    // The job as it is now. If a job that it depends on, directly or through others, was cancelled, it is cancelled on
    // record before this returns, so that no controller, and no later process of this one, says otherwise.
    awaitable<JobCheck> current(std::string uid, TimePoint deadline);

  private:
    using CheckedJobs = std::map<std::string, JobEvidence>;
    // An open job and all open jobs that it depends on.
    struct OpenJobs {
        std::vector<std::string> unchecked;
        bool dependency_cancelled = false;
    };
    OpenJobs open_jobs_of(const std::string& uid, const CheckedJobs& checked);
    // Moves those that are known to be over to `checked`: they need no check.
    void take_jobs_known_to_be_over(std::vector<std::string>& unchecked, CheckedJobs& checked);

    JobKnowledge& knowledge_;
    JobChecks& checks_;
    JobRecords& records_;
};

}  // namespace flintdale::api
