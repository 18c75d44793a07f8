// One run of a scenario: three whole controllers with a store, cloud, workers and users simulated in memory, under
// virtual time, from one seed, with faults, and a checker that watches the rules from outside. Owns and wires the
// parts; each part's header says what it does.
#pragma once
#include <cstdint>
#include <vector>

#include "simulator/run_observer.hpp"

namespace flintdale::simulator {

class Simulation {
  public:
    // Throws config::ConfigError where the scenario's cluster settings are invalid.
    Simulation(const Scenario& scenario, std::uint64_t seed);
    ~Simulation();

    // Runs the scenario to its end; once for each object.
    RunResult run();

  private:
    const Scenario& scenario_;
    Events events_;
    std::vector<config::Settings> settings_;
    RunResult result_;
    KeyValueStore store_;
    Checker checker_;
    Fleet fleet_;
    Controllers controllers_;
    Users users_;
    OddRequests odd_requests_;
    FaultInjector fault_injector_;
    FaultSchedule fault_schedule_;
    RunObserver observer_;
};

}  // namespace flintdale::simulator
