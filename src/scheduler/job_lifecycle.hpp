// The changes of a job as a whole: created, ready, cancelled, finished, and what the dependency graph makes of them.
#pragma once
#include "scheduler/task_transitions.hpp"

namespace flintdale::scheduler {

class JobLifecycle {
  public:
    JobLifecycle(SchedulerState& state, TaskTransitions& tasks) : state_(state), tasks_(tasks) {}

    // Adds a job to the table. `known_before`: a former leader had it, so its batching window has closed.
    Job& create(JobSpec spec, TimePoint now, bool known_before);
    // Cancels the job as of that time. Tasks that no run command was sent for leave at once, the others once their
    // workers show that they are gone. Repeated: the earliest time counts.
    void cancel(Job& job, TimePoint at);
    // The outcome "done" is on record.
    void finish(Job& job);
    // Puts a new job into the dependency graph with the jobs that it needs.
    void set_dependencies(Job& job, const std::vector<std::string>& dependencies, TimePoint now);
    // Applies what the dependency graph concludes. True if a job became ready or must be cancelled.
    bool apply(const DependencyGraph::Changes& changes, TimePoint now);

  private:
    // The number of the batching window that holds that time of day, in milliseconds.
    std::int64_t window_at(std::int64_t ms) const;
    void make_ready(Job& job, TimePoint now);

    SchedulerState& state_;
    TaskTransitions& tasks_;
};

}  // namespace flintdale::scheduler
