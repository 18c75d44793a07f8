// Compares each heartbeat with the known placements and returns the commands for its answer. A reported task is
// confirmed, ended, adopted (missing from the records after a loss) or orphaned (of no open job); a placed task that is
// not reported is missing.
#pragma once
#include <optional>
#include <utility>
#include <vector>

#include "scheduler/failure_tracker.hpp"
#include "scheduler/fleet_view.hpp"
#include "scheduler/gang_barrier.hpp"
#include "scheduler/run_commands.hpp"

namespace flintdale::scheduler {

class HeartbeatReconciler {
  public:
    HeartbeatReconciler(SchedulerState& state, TaskTransitions& tasks, FleetView& fleet, GangBarrier& gangs,
                        FailureTracker& failures, RunCommands& runs)
        : state_(state), tasks_(tasks), fleet_(fleet), gangs_(gangs), failures_(failures), runs_(runs) {}

    // The commands for the answer to the heartbeat; nothing if the heartbeat is not newer than the last one, or its
    // machine was released.
    std::optional<std::vector<model::Command>> handle(const model::Heartbeat& heartbeat, TimePoint now);
    // Whether a worker has reported, since the last call, a task attempt that can exist only if records were lost.
    bool take_loss_evidence() { return std::exchange(loss_evidence_, false); }

  private:
    using Commands = std::vector<model::Command>;

    void update_machine(Machine& machine, const model::Heartbeat& heartbeat, TimePoint now);
    // Returns whether the task is orphaned and has not exited.
    bool reconcile(Machine& machine, const model::Heartbeat& heartbeat, const model::TaskReport& report,
                   Commands& commands, TimePoint now);
    // Handles the report of the attempt that is placed on the machine.
    void reconcile_placed(Job& job, Machine& machine, const model::Heartbeat& heartbeat,
                          const model::TaskReport& report, Commands& commands, TimePoint now);
    // The machine holds another attempt of a task that is placed on it.
    void other_attempt_reported(const Job& job, Task& task, const model::TaskReport& report) const;
    void clear_or_kill(const model::TaskReport& report, bool may_clear, Commands& commands);
    void confirmed(Job& job, Machine& machine, const model::TaskReport& report, Commands& commands, TimePoint now);
    void mark_started(Job& job, std::uint32_t task, const Machine& machine, TimePoint now);
    void exited(Job& job, Machine& machine, const model::TaskReport& report, TimePoint now);
    void completed(Job& job, Machine& machine, std::uint32_t task, TimePoint now);
    // The attempt that is placed on the machine is not reported.
    void missing(Job& job, std::uint32_t task, Machine& machine, Commands& commands, TimePoint now);
    bool adopt(Job& job, Machine& machine, const model::TaskReport& report, TimePoint now);
    void drain_before_termination(const Machine& machine, TimePoint now);
    // The tasks placed on the machine whose current attempt the current heartbeat does not report.
    std::vector<TaskKey> unreported_tasks(const Machine& machine) const;

    SchedulerState& state_;
    TaskTransitions& tasks_;
    FleetView& fleet_;
    GangBarrier& gangs_;
    FailureTracker& failures_;
    RunCommands& runs_;
    std::uint64_t heartbeats_ = 0;  // handled so far
    bool loss_evidence_ = false;
};

}  // namespace flintdale::scheduler
