// The open jobs of the term by id, and the jobs whose counts of done and running tasks changed since the last query.
// Owns the jobs, but does not change them.
#pragma once
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "scheduler/job.hpp"

namespace flintdale::scheduler {

// The numbers of a job's tasks that are done and that are running.
struct JobCount {
    std::uint32_t done = 0, running = 0;
};

class JobTable {
  public:
    using Jobs = std::map<std::string, std::unique_ptr<Job>>;

    // The job with that id, or null. Pointers stay valid until the job is erased.
    Job* find(const std::string& uid) const;
    bool contains(const std::string& uid) const { return jobs_.contains(uid); }
    // All jobs, ordered by id. Passes depend on that order.
    const Jobs& all() const { return jobs_; }

    Job& add(std::unique_ptr<Job> job);
    void erase(const std::string& uid) { jobs_.erase(uid); }

    // The ids of jobs that are neither cancelled nor finished.
    std::vector<std::string> open_jobs() const;
    std::optional<JobCount> count(const std::string& uid) const;
    void mark_count_changed(const std::string& uid) { counts_changed_.insert(uid); }
    // The counts of the jobs that were marked since the last call.
    std::vector<std::pair<std::string, JobCount>> take_changed_counts();

  private:
    Jobs jobs_;
    std::set<std::string> counts_changed_;
};

}  // namespace flintdale::scheduler
