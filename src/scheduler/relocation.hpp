// Moves tasks between machines. The task is drained on its machine, and its room on the destination stays reserved in
// every plan until the task can be placed there.
#pragma once
#include <string>
#include <vector>

#include "scheduler/job_demand.hpp"
#include "scheduler/task_transitions.hpp"

namespace flintdale::scheduler {

class Relocation {
  public:
    Relocation(SchedulerState& state, TaskTransitions& tasks, JobDemand& demand)
        : state_(state), tasks_(tasks), demand_(demand) {}

    // Starts to move the task to the machine with slot `to`.
    void start(const Job& job, std::uint32_t task, placement::Id to, TimePoint now);
    // Places the moved tasks that have left their machines, and reserves room for those that have not. Returns whether
    // any task was placed.
    bool finish(placement::Planner& plan, TimePoint now);
    // Moves tasks that are waiting for their image to machines that hold it now.
    void move_fetching(placement::Planner& plan, TimePoint now);
    bool any() const { return !moves_.empty(); }

  private:
    struct Move {
        std::string uid;
        placement::Id to = 0;  // slot of the destination
        std::uint32_t task = 0;
        TimePoint until{};  // when the move is given up
    };
    enum class Progress : std::uint8_t { pending, placed, given_up };
    Progress advance(const Move& move, placement::Planner& plan, TimePoint now);
    // Moves the task if it is waiting for its image and another machine holds it.
    void move_if_faster(const Job& job, std::uint32_t task, placement::Planner& plan, TimePoint now);

    SchedulerState& state_;
    TaskTransitions& tasks_;
    JobDemand& demand_;
    std::vector<Move> moves_;
};

}  // namespace flintdale::scheduler
