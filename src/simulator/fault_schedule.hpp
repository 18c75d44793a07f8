// When which fault comes: those of the scenario, at their times or after a step that was seen, and those drawn by the
// seed. What a fault does is the injector's matter.
#pragma once
#include <functional>
#include <utility>
#include <vector>

#include "simulator/fault_injector.hpp"
#include "simulator/random_faults.hpp"

namespace flintdale::simulator {

class FaultSchedule {
  public:
    FaultSchedule(Events& events, const Scenario& scenario, const config::Settings& settings, FaultInjector& injector)
        : events_(events), scenario_(scenario), injector_(injector), random_(events, scenario, settings) {}

    // Plans all faults; called once, at the start of the run.
    void start();
    // Plans the faults that wait for that step.
    void step_seen(FaultTrigger step);
    bool waits_for_step() const { return !waiting_.empty(); }
    // When the last fault that is planned so far will have ended.
    TimePoint faults_over() const { return faults_over_; }

  private:
    // Plans a fault of the scenario, its time counted from now, and after it those that depend on it.
    void plan_scenario_fault(std::size_t index);
    void plan_next_scenario_fault(std::size_t index);
    void plan_random_faults();
    void plan_random_pairs();
    void begin_pair(const FaultPair& pair);
    void begin_now(Fault fault);
    void extend_faults_over(Seconds from_now);

    Events& events_;
    const Scenario& scenario_;
    FaultInjector& injector_;
    RandomFaults random_;
    std::vector<std::pair<FaultTrigger, std::function<void()>>> waiting_;
    TimePoint faults_over_{};
};

}  // namespace flintdale::simulator
