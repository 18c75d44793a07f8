// The changes of a task's state: placed, lost, done. Each keeps the job's counts, the inventory, the quota accounting
// and the record queue in step.
#pragma once
#include "scheduler/scheduler_state.hpp"

namespace flintdale::scheduler {

// When the record of a change must be written.
enum class RecordUrgency : std::uint8_t {
    immediate,
    deferred,  // some seconds later, together with other changes of the job: only a later leader would do without it
};

class TaskTransitions {
  public:
    explicit TaskTransitions(SchedulerState& state) : state_(state) {}

    // The task's record must be written again.
    void record_change(Job& job, std::uint32_t task, RecordUrgency urgency, TimePoint now);
    // Assigns a waiting task to the machine under that attempt. The caller records the change.
    void place(Job& job, std::uint32_t task, Machine& machine, std::uint64_t attempt, TimePoint now);
    // Takes the task off its machine, if it has one, and records its next state: waiting or done.
    void leave(Job& job, std::uint32_t task, Task::State next, TimePoint now);
    // There is evidence that the task is gone from its machine without having completed.
    void lose(Job& job, std::uint32_t task, TimePoint now);
    // All tasks of the machine are gone; `only_sent`: those that a run command may have left for.
    void lose_all(Machine& machine, bool only_sent, TimePoint now);
    // The task completed; again is allowed.
    void complete(Job& job, std::uint32_t task, TimePoint now);

  private:
    SchedulerState& state_;
};

}  // namespace flintdale::scheduler
