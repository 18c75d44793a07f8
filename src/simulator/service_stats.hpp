// Judges at the end of a run how well each job class and team was served.
#pragma once
#include <vector>

#include "simulator/checker.hpp"
#include "simulator/result.hpp"
#include "simulator/scenario.hpp"
#include "simulator/users.hpp"

namespace flintdale::simulator {

// Completes the statistics of classes and teams in the result, and names those that were starved.
void summarize_service(const Scenario& scenario, const Checker& checker, const std::vector<UserJobPtr>& jobs,
                       TimePoint now, RunResult& result);

}  // namespace flintdale::simulator
