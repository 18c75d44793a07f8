// State changes of a whole job: created, ready, cancelled and finished, including the consequences of dependencies.
#pragma once
#include "scheduler/task_transitions.hpp"

namespace flintdale::scheduler {

class JobLifecycle {
  public:
    JobLifecycle(SchedulerState& state, TaskTransitions& tasks) : state_(state), tasks_(tasks) {}

    // Adds a job to the table. `known_before`: an earlier leader had it, so its batching window has closed.
    Job& create(JobSpec spec, TimePoint now, bool known_before);
    // Cancels the job as of `at`. Tasks that cannot be on their machine are removed at once; the remaining ones once
    // their workers report that they are gone. If called again, the earliest time counts.
    void cancel(Job& job, TimePoint at);
    // The outcome "done" is recorded.
    void finish(Job& job);
    // Adds a new job and its dependencies to the dependency graph.
    void set_dependencies(Job& job, const std::vector<std::string>& dependencies, TimePoint now);
    // Applies changes from the dependency graph. Returns whether a job became ready or must be cancelled.
    bool apply(const DependencyGraph::Changes& changes, TimePoint now);

  private:
    // The number of the batching window that contains the given time of day in milliseconds.
    std::int64_t window_at(std::int64_t ms) const;
    void make_ready(Job& job, TimePoint now);

    SchedulerState& state_;
    TaskTransitions& tasks_;
};

}  // namespace flintdale::scheduler
