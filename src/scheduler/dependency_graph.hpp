// The dependencies between jobs: which jobs may start, which are cancelled because a dependency was cancelled, and
// which priority a job inherits from its dependents. No I/O, no clock. A change costs time only for the jobs that it
// affects. There are no cycles, because a submission can name only jobs that were accepted before it.
#pragma once
#include <cstdint>
#include <deque>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "model/job.hpp"

namespace flintdale::scheduler {

class DependencyGraph {
  public:
    // unknown: the job was accepted, but its state is not known here, so its outcome must be read.
    enum class Status : std::uint8_t { unknown, open, done, cancelled };

    // The consequences of a change, as job ids.
    struct Changes {
        std::vector<std::string> ready;              // all dependencies are done
        std::vector<std::string> dependency_failed;  // a dependency was cancelled; nearest dependents first
        std::vector<std::string> priority_changed;   // the inherited priority has changed
        bool empty() const { return ready.empty() && dependency_failed.empty() && priority_changed.empty(); }
    };

    // Adds an open job with its dependencies. Repeated calls change nothing.
    Changes opened(const std::string& uid, model::Priority priority, const std::vector<std::string>& needs);
    // The job has an outcome. `at`: its time of day in milliseconds, or 0 if unknown.
    Changes closed(const std::string& uid, bool done, std::int64_t at);
    // The job has an outcome that has not been read.
    void closed_unread(const std::string& uid);

    Status status(const std::string& uid) const;
    bool waits(const std::string& uid) const;
    bool has_dependents(const std::string& uid) const;
    model::Priority priority(const std::string& uid) const;
    // When the last dependency was done, as time of day in milliseconds; 0 if unknown.
    std::int64_t ready_at(const std::string& uid) const;
    // Dependencies of open jobs whose outcomes must be read, because they may be over.
    const std::set<std::string>& unknown() const { return unknown_; }

  private:
    struct Node {
        Status status = Status::unknown;
        bool dependency_failed = false;
        model::Priority own = model::Priority::idle, priority = model::Priority::idle;
        std::uint32_t open_dependencies = 0;  // dependencies that are not known to be done
        std::int64_t at = 0;                  // done: when; open: when its last finished dependency was done
        std::vector<std::string> needs;
        std::set<std::string> needed_by;  // open jobs only
    };
    Node* find(const std::string& uid);
    const Node* find(const std::string& uid) const;
    void raise_priorities(const std::vector<std::string>& from, model::Priority priority, Changes& changes);
    void lower_priorities(std::vector<std::string> from, Changes& changes);
    void fail_dependents(const std::set<std::string>& first, Changes& changes);
    void remember_closed(const std::string& uid);

    std::unordered_map<std::string, Node> nodes_;
    std::set<std::string> unknown_;
    std::deque<std::string> closed_;  // jobs with an outcome, oldest first; a forgotten outcome is read again if needed
};

}  // namespace flintdale::scheduler
