// JSON codec for the workers' API: heartbeats, responses and commands. Pure: no I/O.
#pragma once
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "model/command.hpp"
#include "model/heartbeat.hpp"

namespace flintdale::wire {

// Parses a worker's heartbeat, or its response to a status query, which has the same format. Throws DecodeError, which
// names the field and the reason. An unknown cause of a task's exit is no error: it counts as a failure of the task.
model::Heartbeat parse_heartbeat(std::string_view body);

// The leader's response to a heartbeat.
std::string heartbeat_response(std::uint64_t fencing_token, const std::vector<model::Command>& commands);

// Commands that are sent outside a heartbeat response. Valid for this incarnation of the worker only.
std::string direct_commands(std::uint64_t fencing_token, std::uint64_t incarnation,
                            const std::vector<model::Command>& commands);

// The response that redirects a worker to the leader. `leader`: its address; empty: not known.
std::string redirect_body(std::string_view leader);

}  // namespace flintdale::wire
