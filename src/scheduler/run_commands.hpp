// The run commands for tasks whose placement is on record.
#pragma once
#include <vector>

#include "model/command.hpp"
#include "model/heartbeat.hpp"
#include "scheduler/scheduler_state.hpp"

namespace flintdale::scheduler {

// Commands in one answer, of some 100 bytes each: well within the limit of a line.
inline constexpr std::size_t max_commands = 300;

class RunCommands {
  public:
    explicit RunCommands(SchedulerState& state) : state_(state) {}

    // Adds the run command of a placed task, unless its placement is not on record yet, its machine is being released
    // or the answer is full.
    void add(Job& job, std::uint32_t task, const Machine& machine, std::vector<model::Command>& commands);
    // Runs of tasks placed since that heartbeat, for its delayed answer; none if a newer heartbeat has come.
    std::vector<model::Command> pending(const model::Heartbeat& heartbeat);
    // Whether that is the last heartbeat of a machine that knows this term.
    static bool is_latest(const Machine& machine, const model::Heartbeat& heartbeat);
    // Whether a task placed on the machine still waits for its run command.
    bool any_pending(const Machine& machine) const;

  private:
    SchedulerState& state_;
};

}  // namespace flintdale::scheduler
