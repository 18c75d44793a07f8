// A one-line summary of the scheduler's state, for the debug log.
#pragma once
#include <string>

#include "scheduler/fleet_view.hpp"

namespace flintdale::scheduler {

// The waiting tasks by job class, and the machines of each pool with their tasks.
std::string summarize(const SchedulerState& state, const FleetView& fleet, TimePoint now);

}  // namespace flintdale::scheduler
