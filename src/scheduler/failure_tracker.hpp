// Tasks that exit with an error: tells machines at fault from jobs that fail everywhere.
#pragma once
#include "scheduler/scheduler_state.hpp"

namespace flintdale::scheduler {

class FailureTracker {
  public:
    explicit FailureTracker(SchedulerState& state) : state_(state) {}

    // A task of the job failed on the machine. A machine on which several jobs failed that succeed elsewhere is
    // quarantined; a job that fails on different machines is tried again after growing pauses.
    void record_failure(Job& job, Machine& machine, TimePoint now);

  private:
    void clear_machines(const Job& job);
    void back_off(Job& job, TimePoint now);

    SchedulerState& state_;
};

}  // namespace flintdale::scheduler
