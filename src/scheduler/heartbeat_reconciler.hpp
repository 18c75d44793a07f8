// Compares each heartbeat with the placements: tasks are confirmed, missing, ended, adopted (shown by a worker, but
// lost from the records) or orphaned (of no open job), and the commands that follow answer it.
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

    // The commands that answer the heartbeat; nothing if it is older than what is known or must not be answered.
    std::optional<std::vector<model::Command>> handle(const model::Heartbeat& heartbeat, TimePoint now);
    // Whether a worker has shown, since the last call, a task that cannot exist unless records were lost.
    bool take_loss_evidence() { return std::exchange(loss_evidence_, false); }

  private:
    using Commands = std::vector<model::Command>;

    void update_machine(Machine& machine, const model::Heartbeat& heartbeat, TimePoint now);
    // Returns whether the task is orphaned and not known to have ended.
    bool reconcile(Machine& machine, const model::TaskReport& report, Commands& commands, TimePoint now);
    void clear_or_kill(const model::TaskReport& report, bool may_clear, Commands& commands);
    void confirmed(Job& job, Machine& machine, const model::TaskReport& report, Commands& commands, TimePoint now);
    void mark_started(Job& job, std::uint32_t task, const Machine& machine, TimePoint now);
    void exited(Job& job, Machine& machine, const model::TaskReport& report, TimePoint now);
    void completed(Job& job, Machine& machine, std::uint32_t task, TimePoint now);
    void missing(Job& job, std::uint32_t task, Machine& machine, Commands& commands, TimePoint now);
    bool adopt(Job& job, Machine& machine, const model::TaskReport& report, TimePoint now);
    void drain_before_termination(const Machine& machine, TimePoint now);
    // Tasks placed on the machine that the heartbeat being handled does not show.
    std::vector<TaskKey> not_shown(const Machine& machine) const;

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
