// Counts tasks that exit with an error, and distinguishes faulty machines from jobs that fail on every machine.
#pragma once
#include "scheduler/scheduler_state.hpp"

namespace flintdale::scheduler {

class FailureTracker {
  public:
    explicit FailureTracker(SchedulerState& state) : state_(state) {}

    // Records that a task of the job failed on the machine. A machine is quarantined if several jobs failed on it that
    // do not fail everywhere. A job that fails on several machines is retried after increasing pauses.
    void record_failure(Job& job, Machine& machine, TimePoint now);

  private:
    void clear_machines(const Job& job);
    void back_off(Job& job, TimePoint now);

    SchedulerState& state_;
};

}  // namespace flintdale::scheduler
