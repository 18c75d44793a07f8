// The state of one simulated machine and its worker.
#pragma once
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "model/machine.hpp"
#include "model/task.hpp"
#include "placement/planner.hpp"
#include "simulator/checker.hpp"

namespace flintdale::simulator {

// A task on a machine, from the command to run it until its record is cleared.
struct MachineTask {
    std::uint64_t attempt = 0;
    model::TaskStatus status = model::TaskStatus::fetching;
    model::ExitReason exit_reason = model::ExitReason::none;
    std::uint64_t run_id = 0;  // tells events of another run of it apart

    bool exited() const { return status == model::TaskStatus::exited; }
};

struct Machine {
    std::string name, address;
    const model::MachineType* type = nullptr;
    std::string zone;
    bool spot = false, up = false, dead = false;
    // Faults, each until that time.
    TimePoint hangs_until{}, cut_until{}, answers_lost_until{}, heartbeats_lost_until{};
    // The worker's heartbeats.
    bool heartbeat_in_flight = false;
    bool changed = false;  // there is something that no heartbeat has told yet
    TimePoint lease_from{}, last_sent{};
    std::uint64_t incarnation = 1, sequence = 0, fencing_token = 0;
    std::uint64_t timer = 0;  // of the next heartbeat; an older one has no effect
    std::size_t node = 0;     // the controller that it reports to
    std::map<TaskName, MachineTask> tasks;
    std::set<std::string> images;
    placement::Resources used;

    bool alive() const { return up && !dead; }
    bool hangs(TimePoint now) const { return now < hangs_until; }
    bool cut(TimePoint now) const { return now < cut_until; }
    // Whether a direct question reaches the worker.
    bool reachable(TimePoint now) const { return alive() && !hangs(now) && !cut(now) && now >= answers_lost_until; }
    // Resources that no task uses.
    placement::Resources free() const {
        auto out = type->capacity;
        placement::subtract_resources(out, used);
        return out;
    }
};
using MachinePtr = std::shared_ptr<Machine>;
using Machines = std::map<std::string, MachinePtr>;  // by name

}  // namespace flintdale::simulator
