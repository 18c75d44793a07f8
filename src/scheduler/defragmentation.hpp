// Moves services off machines that run only a few of them, so that the machines can be released.
#pragma once
#include <vector>

#include "scheduler/fleet_view.hpp"
#include "scheduler/relocation.hpp"

namespace flintdale::scheduler {

class Defragmentation {
  public:
    Defragmentation(SchedulerState& state, JobDemand& demand, FleetView& fleet, Relocation& relocation)
        : state_(state), demand_(demand), fleet_(fleet), relocation_(relocation) {}

    // Starts to empty a few machines, unless tasks are being moved or a job waited recently.
    void run(placement::Planner& plan, TimePoint now);

  private:
    void note_waiting_jobs(TimePoint now);
    // Whether all tasks of the machine are services that may be moved now.
    bool movable(const Machine& machine, TimePoint now) const;
    // The lowest slot price over the machine's tasks and all machine types.
    double cheapest_slot(const Machine& machine) const;
    // The machine with the highest price per task whose services would all fit on other machines that hold their
    // images, or null.
    Machine* costliest(placement::Planner& plan, TimePoint now);
    // The slots for all tasks of the machine, with their room reserved in the plan; empty if one task finds no room.
    std::vector<placement::Id> destinations(const Machine& machine, placement::Planner& plan) const;

    SchedulerState& state_;
    JobDemand& demand_;
    FleetView& fleet_;
    Relocation& relocation_;
    TimePoint last_waiting_{};  // when a job last waited
};

}  // namespace flintdale::scheduler
