#include "simulator/simulation.hpp"

namespace flintdale::simulator {

namespace {
constexpr auto time_step = std::chrono::milliseconds(5);  // of virtual time
}  // namespace

Simulation::Simulation(const Scenario& scenario, std::uint64_t seed)
    : scenario_(scenario),
      events_(seed),
      settings_(Controllers::parse_settings(scenario)),
      store_(events_),
      checker_(events_, settings_[0]),
      fleet_(events_, checker_, settings_[0], scenario,
             [this](std::size_t node, const Origin& from, net::Request request, Seconds timeout, Answered done) {
                 controllers_.send_request(node, from.zone, std::move(request), timeout, std::move(done));
             }),
      controllers_(events_, scenario, settings_, store_, fleet_),
      users_(events_, scenario, controllers_, fleet_, checker_, result_),
      odd_requests_(events_, scenario, controllers_, checker_, users_, result_),
      fault_injector_(events_, scenario, settings_[0], store_, controllers_, fleet_, users_, odd_requests_, result_),
      fault_schedule_(events_, scenario, settings_[0], fault_injector_),
      observer_(events_, scenario, checker_, fleet_, controllers_, store_, users_, fault_schedule_, result_) {
    result_.seed = seed;
    fault_injector_.data_lost = [this] {
        observer_.data_lost();
        users_.measure_next_answer();
    };
    users_.running_job_cancelled = [this](std::size_t node) {
        // Only what an isolated leader cannot read of counts: told by another controller.
        const auto isolated = fault_injector_.isolated_leader();
        if (isolated && *isolated != node) ++result_.met_cancelled;
        fault_schedule_.step_seen(FaultTrigger::running_job_cancelled);
    };
}

Simulation::~Simulation() = default;

RunResult Simulation::run() {
    controllers_.start_all();
    fleet_.warm_up(scenario_.warm);
    users_.start();
    fault_schedule_.start();
    odd_requests_.poll_unknown_jobs();
    observer_.start();
    while (events_.since_start() < scenario_.length) {
        events_.advance(time_step);
        odd_requests_.check_completions();
        controllers_.run_due();
        if (fault_schedule_.waits_for_step()) observer_.check_leaders();
    }
    observer_.finish();
    controllers_.stop_all();
    return result_;
}

}  // namespace flintdale::simulator
