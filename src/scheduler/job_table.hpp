// The open jobs of the term by id, and whose counts of done and running tasks have changed since they were last asked
// for. Owns the jobs; what happens to them is decided elsewhere.
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

// Tasks of a job that are done, and that run now.
struct JobCount {
    std::uint32_t done = 0, running = 0;
};

class JobTable {
  public:
    using Jobs = std::map<std::string, std::unique_ptr<Job>>;

    // The job of that id, or null. Pointers stay valid until the job is erased.
    Job* find(const std::string& uid) const;
    bool contains(const std::string& uid) const { return jobs_.contains(uid); }
    // All jobs in the order of their ids; passes depend on that order.
    const Jobs& all() const { return jobs_; }

    Job& add(std::unique_ptr<Job> job);
    void erase(const std::string& uid) { jobs_.erase(uid); }

    // Ids of the jobs that are neither cancelled nor finished.
    std::vector<std::string> open_jobs() const;
    std::optional<JobCount> count(const std::string& uid) const;
    void mark_count_changed(const std::string& uid) { counts_changed_.insert(uid); }
    // The counts of the jobs marked since the last call.
    std::vector<std::pair<std::string, JobCount>> take_changed_counts();

  private:
    Jobs jobs_;
    std::set<std::string> counts_changed_;
};

}  // namespace flintdale::scheduler
