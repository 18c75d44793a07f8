// One line on the state of the scheduler, for the debug log.
#pragma once
#include <string>

#include "scheduler/fleet_view.hpp"

namespace flintdale::scheduler {

// The tasks that wait, by job class, and the machines of each pool with what they run.
std::string summarize(const SchedulerState& state, const FleetView& fleet, TimePoint now);

}  // namespace flintdale::scheduler
