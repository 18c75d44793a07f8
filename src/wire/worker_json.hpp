// JSON to and from workers: heartbeats, and what controllers respond. Pure: no I/O.
#pragma once
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "model/command.hpp"
#include "model/heartbeat.hpp"

namespace flintdale::wire {

// A worker's heartbeat, or its answer to a question about its status. Throws DecodeError, which names the field and the
// reason. An unknown cause of a task's exit does not: it counts as a failure of the task.
model::Heartbeat parse_heartbeat(std::string_view body);

// The leader's response to a heartbeat.
std::string heartbeat_response(std::uint64_t fencing_token, const std::vector<model::Command>& commands);

// Commands outside a response to a heartbeat, for that incarnation of the worker only.
std::string direct_commands(std::uint64_t fencing_token, std::uint64_t incarnation,
                            const std::vector<model::Command>& commands);

// The response that sends a worker to the leader, by its address; empty: it is not known.
std::string redirect_body(std::string_view leader);

}  // namespace flintdale::wire
