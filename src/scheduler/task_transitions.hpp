// State changes of a task: placed, lost, done. Each keeps the job's counts, the inventory, the quota accounting and the
// record queue consistent.
#pragma once
#include "scheduler/scheduler_state.hpp"

namespace flintdale::scheduler {

// When the record of a change must be written.
enum class RecordUrgency : std::uint8_t {
    immediate,
    deferred,  // after some seconds, together with other changes of the job; only a later leader depends on it
};

class TaskTransitions {
  public:
    explicit TaskTransitions(SchedulerState& state) : state_(state) {}

    // Marks the task's record as changed.
    void record_change(Job& job, std::uint32_t task, RecordUrgency urgency, TimePoint now);
    // Assigns a waiting task to the machine under that attempt. The caller records the change.
    void place(Job& job, std::uint32_t task, Machine& machine, std::uint64_t attempt, TimePoint now);
    // Removes the task from its machine, if it has one, and sets its next state: waiting or done.
    void leave(Job& job, std::uint32_t task, Task::State next, TimePoint now);
    // There is evidence that the task is gone from its machine and did not complete.
    void lose(Job& job, std::uint32_t task, TimePoint now);
    // All tasks of the machine are gone. `only_sent`: only those for which a run command may have been sent.
    void lose_all(Machine& machine, bool only_sent, TimePoint now);
    // The task completed. Repeated calls change nothing.
    void complete(Job& job, std::uint32_t task, TimePoint now);

  private:
    SchedulerState& state_;
};

}  // namespace flintdale::scheduler
