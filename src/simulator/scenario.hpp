// What is played: the cluster's settings (the platform's own form), how much of everything there is, which jobs come
// and what goes wrong when.
#pragma once
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "model/clock.hpp"
#include "model/job.hpp"
#include "model/machine.hpp"
#include "simulator/fault.hpp"

namespace flintdale::simulator {

struct JobClass {
    model::JobSpec like;  // everything but the name
    int initial = 0;      // that come at the start
    double per_minute = 0;
    std::uint32_t tasks_from = 1, tasks_to = 1;
    double runs_s = 30;    // of a task, give or take a fifth; a service's replicas run until it is cancelled
    double cancelled = 0;  // share that is cancelled, some time after it was accepted
    double cancel_from = 5, cancel_to = 60;
};

struct Scenario {
    std::string name, cluster;  // the platform's settings but for what differs between controllers
    std::vector<std::string> members, member_zones;
    Seconds length{300};
    std::vector<model::MachineType> types;
    std::size_t capacity = 0;                 // machines that the cloud has in all; 0: as many as are asked for
    std::size_t warm = 0;                     // machines that are up at the start
    double late = 0;                          // share of transactions that are late
    double slow = 0;                          // share of requests and of answers of the state service that take long,
    Seconds slowest{1};                       // up to so long
    double restart_from = 1, restart_to = 8;  // seconds after which a controller that ended by a drawn trouble is back
    double drawn = 0;                         // troubles drawn by the seed, so many on average
    bool draws_losses = false;                // and a loss of data among them
    double known_jobs = 20'000;               // of which each controller keeps what it has read
    double direct_share = 1;                  // the operators' workers.direct_share; 0: all reports are relayed
    std::size_t pairs = 0;  // pairs of troubles drawn by the seed, the second after a step of the first
    std::vector<JobClass> jobs;
    std::vector<Fault> faults;
};

// Throws config::ConfigError, naming what is wrong where.
Scenario load_scenario(const std::string& path);
Scenario parse_scenario(const std::string& text, const std::string& name);

}  // namespace flintdale::simulator
