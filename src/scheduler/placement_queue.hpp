// The order in which waiting jobs are planned.
#pragma once
#include <vector>

#include "scheduler/job_demand.hpp"

namespace flintdale::scheduler {

class PlacementQueue {
  public:
    PlacementQueue(SchedulerState& state, JobDemand& demand) : state_(state), demand_(demand) {}

    // The runnable jobs with waiting tasks, in planning order. `eligible_only`: leaves out jobs whose batching window
    // is open, and jobs that pause after a failure.
    std::vector<Job*> ordered(TimePoint now, bool eligible_only);

  private:
    SchedulerState& state_;
    JobDemand& demand_;
};

}  // namespace flintdale::scheduler
