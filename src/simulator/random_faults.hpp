// Faults drawn by a run's seed. Draws only: what is drawn is planned in fault_schedule.cpp. The order of the draws is
// part of what a seed means and must not change.
#pragma once
#include <vector>

#include "config/settings.hpp"
#include "simulator/events.hpp"
#include "simulator/fault.hpp"
#include "simulator/scenario.hpp"

namespace flintdale::simulator {

// Two faults of which the second begins while the first is being handled.
struct FaultPair {
    Fault first, second;
    FaultTrigger trigger = FaultTrigger::none;  // a step to be seen after the first began
    Seconds at{0};                              // of the first
    Seconds delay{0};                           // from the trigger, or the first fault, to the second
};

class RandomFaults {
  public:
    RandomFaults(Events& events, const Scenario& scenario, const config::Settings& settings)
        : events_(events), scenario_(scenario), settings_(settings) {}

    // Several faults close together, and others at any time.
    std::vector<Fault> draw_cluster();
    std::vector<FaultPair> draw_pairs();

  private:
    void append_losses(std::vector<Fault>& faults, double center);
    Fault draw_for_cluster(const std::vector<FaultKind>& kinds, double center);
    Fault draw_for_pair();
    Seconds draw_restart_delay();

    Events& events_;
    const Scenario& scenario_;
    const config::Settings& settings_;
};

}  // namespace flintdale::simulator
