// The dependencies between jobs: which jobs may start, which are cancelled with one that they need, and which priority
// a job inherits from those that need it. No I/O, no clock. Work is done for the jobs that a change concerns, never for
// all. There are no cycles, for a submission can only name jobs that were accepted before it.
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
    // unknown: the job was accepted, and its end is not known here; its outcome must be read.
    enum class Status : std::uint8_t { unknown, open, done, cancelled };

    // What follows from a change, by job id.
    struct Changes {
        std::vector<std::string> ready;              // all that they need is done
        std::vector<std::string> dependency_failed;  // a job that they need was cancelled; nearest first
        std::vector<std::string> priority_changed;   // what they inherit is another priority now
        bool empty() const { return ready.empty() && dependency_failed.empty() && priority_changed.empty(); }
    };

    // A job is open. Repeated calls change nothing.
    Changes opened(const std::string& uid, model::Priority priority, const std::vector<std::string>& needs);
    // The job is over, by its outcome on record; `at` is when, in milliseconds of the time of day, or 0.
    Changes closed(const std::string& uid, bool done, std::int64_t at);
    // The job is over, and its outcome was not read.
    void closed_unread(const std::string& uid);

    Status status(const std::string& uid) const;
    bool waits(const std::string& uid) const;
    bool has_dependents(const std::string& uid) const;
    model::Priority priority(const std::string& uid) const;
    // When the last job that it needs was done, in milliseconds of the time of day; 0 if not known.
    std::int64_t ready_at(const std::string& uid) const;
    // Jobs that others need and whose outcomes must be read, for they may be over.
    const std::set<std::string>& unknown() const { return unknown_; }

  private:
    struct Node {
        Status status = Status::unknown;
        bool dependency_failed = false;
        model::Priority own = model::Priority::idle, priority = model::Priority::idle;
        std::uint32_t open_dependencies = 0;  // jobs that it needs and that are not done
        std::int64_t at = 0;                  // when it was done; while it is open: when the last that it needs was
        std::vector<std::string> needs;
        std::set<std::string> needed_by;  // open ones only
    };
    Node* find(const std::string& uid);
    const Node* find(const std::string& uid) const;
    void raise_priorities(const std::vector<std::string>& from, model::Priority priority, Changes& changes);
    void lower_priorities(std::vector<std::string> from, Changes& changes);
    void fail_dependents(const std::set<std::string>& first, Changes& changes);
    void remember_closed(const std::string& uid);

    std::unordered_map<std::string, Node> nodes_;
    std::set<std::string> unknown_;
    std::deque<std::string> closed_;  // jobs that are over, oldest first; a forgotten one is read again
};

}  // namespace flintdale::scheduler
