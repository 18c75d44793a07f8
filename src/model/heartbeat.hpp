// What a worker reports periodically.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "model/clock.hpp"
#include "model/task.hpp"

namespace flintdale::model {

// Of two heartbeats of a machine the one with the higher (incarnation, sequence) is the newer.
struct Heartbeat {
    std::string machine, addr, type, zone;
    bool spot = false;
    std::uint64_t incarnation = 0;              // rises each time that the worker's lease expires or it restarts
    std::uint64_t sequence = 0;                 // rises with each heartbeat of an incarnation
    std::uint64_t fencing_token = 0;            // the highest leader term that the worker has accepted
    std::optional<Seconds> termination_notice;  // a spot instance: time until the cloud takes it back
    std::vector<TaskReport> tasks;              // all that the worker holds, exited ones included
    bool operator==(const Heartbeat&) const = default;
};

}  // namespace flintdale::model
