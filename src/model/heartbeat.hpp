// The periodic report of a worker.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "model/clock.hpp"
#include "model/task.hpp"

namespace flintdale::model {

// The newer of two heartbeats of a machine has the higher (incarnation, sequence).
struct Heartbeat {
    std::string machine, addr, type, zone;
    bool spot = false;
    std::uint64_t incarnation = 0;              // rises each time the worker restarts or its lease expires
    std::uint64_t sequence = 0;                 // rises with each heartbeat of the incarnation
    std::uint64_t fencing_token = 0;            // the highest leader term that the worker has accepted
    std::optional<Seconds> termination_notice;  // spot only: time until the cloud terminates the machine
    std::vector<TaskReport> tasks;              // all tasks on the worker, including exited ones
    bool operator==(const Heartbeat&) const = default;
};

}  // namespace flintdale::model
