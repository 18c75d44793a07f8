// What heartbeats and the cloud's list say of the fleet: which machines may take work, how many have reported, which
// zones are silent, and whether every machine that may run an unrecorded task has shown what it runs.
#pragma once
#include <set>
#include <string>
#include <vector>

#include "scheduler/scheduler_state.hpp"

namespace flintdale::scheduler {

// How many of the machines that should report have lately done so.
struct HeartbeatCoverage {
    std::size_t expected = 0, reporting = 0;
    // Machines do not fail nearly all at once: if so few report, this controller is cut off from them.
    bool cut_off_from_workers() const { return expected > 2 && reporting * 4 < expected; }
};

class FleetView {
  public:
    explicit FleetView(SchedulerState& state) : state_(state) {}

    // Whether the machine may take new tasks.
    bool usable(const Machine& machine, TimePoint now) const;
    std::size_t usable_machines(TimePoint now) const;
    // How long after the last heartbeat the next one is overdue.
    Seconds heartbeat_overdue() const;
    HeartbeatCoverage heartbeat_coverage(TimePoint now) const;
    // By zone number: whether hardly a machine has reported in the last moments, though many should have.
    std::vector<bool> quiet_zones(TimePoint now) const;
    // A planner over the usable machines; during reconciliation, over those that are reconciled.
    placement::Planner make_planner(TimePoint now) const;

    // Whether the load of the fleet is known: a new leader waits for one round of heartbeats before it plans.
    bool first_round_complete(TimePoint now) const;
    // Takes in the cloud's list of machines, which lags.
    void machines_listed(const std::vector<model::ListedMachine>& machines, TimePoint now);

    // --- reconciliation, for a term whose records may lack the last placements ---

    // Whether all that may run on the machine is known.
    bool reconciled(const Machine& machine) const;
    bool all_reconciled() const;
    // Whether the machine's last heartbeat showed tasks that no job on record explains.
    void set_unknown_tasks(const Machine& machine, bool any);

  private:
    bool all_listed() const;
    // How long after the beginning of the term a list shows every machine that existed then.
    model::Clock::duration list_age() const;

    SchedulerState& state_;
    TimePoint listed_at_{};                     // when the cloud's list last came
    std::set<std::string> with_unknown_tasks_;  // machines
};

}  // namespace flintdale::scheduler
