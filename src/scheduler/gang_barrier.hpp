// Gang members that wait at the barrier. A worker gives up a member whose gang does not start in time. Its room and
// image are kept until the whole gang can start, or until the barrier's timeout.
#pragma once
#include <set>
#include <string>

#include "scheduler/task_transitions.hpp"

namespace flintdale::scheduler {

class GangBarrier {
  public:
    GangBarrier(SchedulerState& state, TaskTransitions& tasks) : state_(state), tasks_(tasks) {}

    // The worker gave up the member; its room stays reserved.
    void hold_member(Job& job, std::uint32_t task, TimePoint now);
    // Starts the gang on its current machines under the next attempt, once all members have their image.
    void restart_if_ready(Job& job, TimePoint now);
    // Releases the room of waiting members if other members found no machine within the barrier's timeout.
    void release_expired(TimePoint now);

  private:
    SchedulerState& state_;
    TaskTransitions& tasks_;
    std::set<std::string> waiting_;  // gangs with members at the barrier
};

}  // namespace flintdale::scheduler
