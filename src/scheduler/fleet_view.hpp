// The state of the fleet according to heartbeats and the cloud's list: the machines that may take work, the number that
// reported, the zones that are silent, and whether all machines that may run unrecorded tasks are reconciled.
#pragma once
#include <set>
#include <string>
#include <vector>

#include "scheduler/scheduler_state.hpp"

namespace flintdale::scheduler {

// The number of machines that should report, and of those that reported recently.
struct HeartbeatCoverage {
    std::size_t expected = 0, reporting = 0;
    // Nearly all machines do not fail at once. If so few report, this controller is cut off from them.
    bool cut_off_from_workers() const { return expected > 2 && reporting * 4 < expected; }
};

class FleetView {
  public:
    explicit FleetView(SchedulerState& state) : state_(state) {}

    // Whether the machine may take new tasks.
    bool usable(const Machine& machine, TimePoint now) const;
    std::size_t usable_machines(TimePoint now) const;
    // The time after the last heartbeat at which the next one is overdue.
    Seconds heartbeat_overdue() const;
    HeartbeatCoverage heartbeat_coverage(TimePoint now) const;
    // By zone number: whether the zone has many machines of which hardly any reported recently.
    std::vector<bool> quiet_zones(TimePoint now) const;
    // A planner over the usable machines; during reconciliation, only over the reconciled ones.
    placement::Planner make_planner(TimePoint now) const;

    // Whether the load of the fleet is known. A new leader waits for one round of heartbeats before it plans.
    bool first_round_complete(TimePoint now) const;
    // Applies the cloud's list of machines, which lags.
    void machines_listed(const std::vector<model::ListedMachine>& machines, TimePoint now);

    // --- reconciliation, for a term whose records may lack the last placements ---

    // Whether all tasks that may run on the machine are known.
    bool reconciled(const Machine& machine) const;
    bool all_reconciled() const;
    // Sets whether the machine's last heartbeat reported tasks of jobs that are not on record.
    void set_unknown_tasks(const Machine& machine, bool any);

  private:
    bool all_listed() const;
    // The time after the beginning of the term from which on a list contains every machine that existed at its
    // beginning.
    model::Clock::duration list_age() const;

    SchedulerState& state_;
    TimePoint listed_at_{};                     // when the last list of the cloud arrived
    std::set<std::string> with_unknown_tasks_;  // names of machines
};

}  // namespace flintdale::scheduler
