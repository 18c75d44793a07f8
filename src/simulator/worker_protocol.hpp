// The worker's end of the protocol with controllers: what its heartbeats say and what commands look like.
#pragma once
#include <boost/json.hpp>
#include <cstdint>
#include <string>

#include "simulator/machine.hpp"

namespace flintdale::simulator {

enum class CommandVerb { run, stop, clear, unknown };

struct WorkerCommand {
    CommandVerb verb = CommandVerb::unknown;
    TaskName task;
    std::uint64_t attempt = 0;
};

// The body of the machine's next heartbeat; takes a sequence number.
std::string heartbeat_body(Machine& machine);
// Throws where a field is missing or of the wrong type.
WorkerCommand parse_command(const boost::json::value& command);
// Whether any of the commands is to run a task.
bool has_run_command(const boost::json::array& commands);

}  // namespace flintdale::simulator
