// Moves the services off machines that only a few of them keep, so that those machines can be returned.
#pragma once
#include <vector>

#include "scheduler/fleet_view.hpp"
#include "scheduler/relocation.hpp"

namespace flintdale::scheduler {

class Defragmentation {
  public:
    Defragmentation(SchedulerState& state, JobDemand& demand, FleetView& fleet, Relocation& relocation)
        : state_(state), demand_(demand), fleet_(fleet), relocation_(relocation) {}

    // Starts to empty a few machines, unless tasks are moving or waited lately.
    void run(placement::Planner& plan, TimePoint now);

  private:
    void note_waiting_jobs(TimePoint now);
    // Whether every task of the machine is a service that may be moved now.
    bool movable(const Machine& machine, TimePoint now) const;
    // The lowest price of a slot for any of the machine's tasks, on any type of machine.
    double cheapest_slot(const Machine& machine) const;
    // The machine whose services pay most for their slots and would all find a place, with their image, on others.
    Machine* costliest(placement::Planner& plan, TimePoint now);
    // The slots where all tasks of a machine could go at once, their room taken from the plan; empty if one could not.
    std::vector<placement::Id> destinations(const Machine& machine, placement::Planner& plan) const;

    SchedulerState& state_;
    JobDemand& demand_;
    FleetView& fleet_;
    Relocation& relocation_;
    TimePoint last_waiting_{};  // when a job last waited
};

}  // namespace flintdale::scheduler
