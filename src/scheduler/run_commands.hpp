// Run commands for tasks whose placement is recorded.
#pragma once
#include <vector>

#include "model/command.hpp"
#include "model/heartbeat.hpp"
#include "scheduler/scheduler_state.hpp"

namespace flintdale::scheduler {

// Commands in one answer. At about 100 bytes each they stay well within the limit on lines.
inline constexpr std::size_t max_commands = 300;

class RunCommands {
  public:
    explicit RunCommands(SchedulerState& state) : state_(state) {}

    // Whether a task that is placed may be run there: its job is open, its team within its limit, and nothing stops it.
    bool may_run(const Job& job, const Task& task) const;
    // Adds the run command of a placed task, unless its placement is not recorded yet, its machine is being released,
    // or the answer is full.
    void add(Job& job, std::uint32_t task, const Machine& machine, std::vector<model::Command>& commands);
    // The run commands for tasks placed since that heartbeat, for its delayed answer; none if a newer heartbeat has
    // arrived.
    std::vector<model::Command> pending(const model::Heartbeat& heartbeat);
    // Whether the heartbeat is the last one of the machine, and the machine has seen this term.
    static bool is_latest(const Machine& machine, const model::Heartbeat& heartbeat);
    // Whether a task placed on the machine waits for its run command.
    bool any_pending(const Machine& machine) const;

  private:
    SchedulerState& state_;
};

}  // namespace flintdale::scheduler
