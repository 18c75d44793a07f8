// The members of gangs that wait for the others: a worker gives up a member whose gang does not start in time; its
// room and image are kept here until all can start together, or for the barrier's timeout.
#pragma once
#include <set>
#include <string>

#include "scheduler/task_transitions.hpp"

namespace flintdale::scheduler {

class GangBarrier {
  public:
    GangBarrier(SchedulerState& state, TaskTransitions& tasks) : state_(state), tasks_(tasks) {}

    // The worker gave this member up; its place is kept.
    void wait(Job& job, std::uint32_t task, TimePoint now);
    // Starts the gang under its next attempt where its members are, once the last of them has its image.
    void restart_if_ready(Job& job, TimePoint now);
    // Gives up the places of members whose fellows have found none within the barrier's timeout.
    void release_expired(TimePoint now);

  private:
    SchedulerState& state_;
    TaskTransitions& tasks_;
    std::set<std::string> waiting_;  // gangs with members at the barrier
};

}  // namespace flintdale::scheduler
