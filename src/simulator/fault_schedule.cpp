#include "simulator/fault_schedule.hpp"

#include <algorithm>

namespace flintdale::simulator {

void FaultSchedule::start() {
    for (std::size_t index = 0; index < scenario_.faults.size(); ++index)
        if (scenario_.faults[index].trigger == FaultTrigger::none) plan_scenario_fault(index);
    plan_random_faults();
    plan_random_pairs();
}

void FaultSchedule::extend_faults_over(Seconds from_now) {
    faults_over_ = std::max(faults_over_, events_.now() + model::to_clock(from_now));
}

void FaultSchedule::plan_scenario_fault(std::size_t index) {
    auto fault = scenario_.faults[index];
    if (fault.at_to > fault.at) fault.at = Seconds(events_.uniform(fault.at.count(), fault.at_to.count()));
    if (fault.duration_to > fault.duration)
        fault.duration = Seconds(events_.uniform(fault.duration.count(), fault.duration_to.count()));
    const bool happens = fault.chance >= 1 || events_.chance(fault.chance);
    if (happens) extend_faults_over(fault.at + fault.duration + (fault.times - 1) * fault.interval);
    events_.after(fault.at, [this, index, fault, happens] {
        if (happens) injector_.inject(fault);
        plan_next_scenario_fault(index + 1);
    });
}

void FaultSchedule::plan_next_scenario_fault(std::size_t index) {
    if (index >= scenario_.faults.size()) return;
    const auto trigger = scenario_.faults[index].trigger;
    if (trigger == FaultTrigger::none) return;
    if (trigger == FaultTrigger::previous_fault_began)
        plan_scenario_fault(index);
    else
        waiting_.emplace_back(trigger, [this, index] { plan_scenario_fault(index); });
}

void FaultSchedule::step_seen(FaultTrigger step) {
    // What runs now may itself wait for the same step: it then waits for the next one.
    auto waiting = std::exchange(waiting_, {});
    for (auto& [trigger, action] : waiting)
        if (trigger == step)
            action();
        else
            waiting_.emplace_back(trigger, std::move(action));
}

void FaultSchedule::plan_random_faults() {
    for (const auto& fault : random_.draw_cluster()) {
        extend_faults_over(fault.at + fault.duration);
        events_.after(fault.at, [this, fault] { injector_.inject(fault); });
    }
}

void FaultSchedule::plan_random_pairs() {
    for (const auto& pair : random_.draw_pairs()) {
        extend_faults_over(pair.at);
        events_.after(pair.at, [this, pair] { begin_pair(pair); });
    }
}

void FaultSchedule::begin_pair(const FaultPair& pair) {
    begin_now(pair.first);
    const auto plan_second = [this, second = pair.second, delay = pair.delay] {
        extend_faults_over(delay);
        events_.after(delay, [this, second] { begin_now(second); });
    };
    if (pair.trigger == FaultTrigger::none)
        plan_second();
    else
        waiting_.emplace_back(pair.trigger, plan_second);
}

void FaultSchedule::begin_now(Fault fault) {
    fault.at = events_.since_start();
    extend_faults_over(fault.duration);
    injector_.inject(fault);
}

}  // namespace flintdale::simulator
