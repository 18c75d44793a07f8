// Runs of a simulated cluster with combined faults: three whole controllers, two dozen machines, long tasks, users who
// cancel and poll, and a checker of the rules.
#pragma once
#include <gtest/gtest.h>

#include <functional>
#include <initializer_list>
#include <string>

#include "simulator/simulation.hpp"

namespace flintdale::test {

// The scenario's text without faults; faults are appended to it.
extern const char* const base_scenario;
constexpr double cancel_s = 45;  // its cancel_s

// --- faults, as text to append ---
// The store refuses the leader alone, from second 80 on.
extern const char* const leader_refused;
// After the fault before it has begun, the leader is cut off from the other controllers.
extern const char* const leader_cut_from_peers;
// Once another controller has told users of cancellations, the store is out for all and for longer than cancel_s.
extern const char* const outage_after_cancellation;
// Many running jobs are cancelled within a fifth of a second, and eight of their machines hang. `when`: the lines that
// give the time.
std::string cancel_running_jobs(const std::string& when);
// As `when`: as soon as the fault before it has begun.
extern const char* const at_once;

using ResultCheck = std::function<void(const simulator::RunResult& result)>;

simulator::RunResult run(const std::string& faults, std::uint64_t seed);
// Runs the faults under each seed and checks each result.
void run_seeds(const std::string& faults, std::initializer_list<std::uint64_t> seeds, const ResultCheck& check);
// The same; no rule may be broken, and cancelled tasks must be gone in time.
void expect_no_violation(const std::string& faults, std::initializer_list<std::uint64_t> seeds,
                         const ResultCheck& check);
// Broken rules and starved classes or teams; empty if there are none.
std::string violations(const simulator::RunResult& result);
// An outage began while workers were with a refused leader, and another controller had told users of cancellations.
void expect_isolated_leader_outage(const simulator::RunResult& result);

}  // namespace flintdale::test
