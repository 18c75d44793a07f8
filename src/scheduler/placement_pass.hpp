// One pass over the queue of waiting jobs: places tasks that fit, reserves room for gangs, and requests preemption for
// jobs that find no room.
#pragma once
#include <vector>

#include "scheduler/placement_queue.hpp"
#include "scheduler/preemption.hpp"
#include "scheduler/relocation.hpp"
#include "scheduler/spare_capacity.hpp"

namespace flintdale::scheduler {

class PlacementPass {
  public:
    PlacementPass(SchedulerState& state, TaskTransitions& tasks, JobDemand& demand, FleetView& fleet,
                  PlacementQueue& queue, Preemption& preemption, Relocation& relocation, SpareCapacity& spare)
        : state_(state),
          tasks_(tasks),
          demand_(demand),
          fleet_(fleet),
          queue_(queue),
          preemption_(preemption),
          relocation_(relocation),
          spare_(spare) {}

    // Runs one pass; true if any task was placed.
    bool run(TimePoint now);
    // The number of passes in this term.
    std::uint64_t passes() const { return passes_; }
    // Whether a job found no room in the last pass.
    bool any_waiting() const { return any_waiting_; }

  private:
    void finish_reconciliation(TimePoint now);
    // During reconciliation: the jobs that cannot run on any machine whose tasks are unknown.
    std::vector<Job*> without_uncertain(std::vector<Job*> jobs) const;
    void place_job(Job& job, placement::Planner& plan, TimePoint now);
    void place_gang(Job& job, placement::Planner& plan, TimePoint now);
    void replace_gang_members(Job& job, placement::Planner& plan, TimePoint now);
    void place_each(Job& job, placement::Planner& plan, TimePoint now);
    void place_task(Job& job, placement::Id slot, TimePoint now);
    // Places up to `most` tasks on machines that hold their image.
    void place_with_image(Job& job, placement::JobHosts& hosts, std::uint32_t most, placement::Planner& plan,
                          TimePoint now);
    bool leaves_on_demand_machines(const Job& job, TimePoint now) const;
    placement::Requirements spot_only(const placement::Requirements& ask) const;
    // The next waiting task of the job; tasks that were placed before come first.
    static std::uint32_t take_waiting(Job& job);

    SchedulerState& state_;
    TaskTransitions& tasks_;
    JobDemand& demand_;
    FleetView& fleet_;
    PlacementQueue& queue_;
    Preemption& preemption_;
    Relocation& relocation_;
    SpareCapacity& spare_;
    std::uint64_t passes_ = 0;
    unsigned reservations_ = 0;  // made for gangs in this pass
    bool any_placed_ = false;    // in this pass
    bool any_waiting_ = false;
    bool on_demand_gangs_wait_ = false;  // gangs that may not use spot machines found no room in the last pass
};

}  // namespace flintdale::scheduler
