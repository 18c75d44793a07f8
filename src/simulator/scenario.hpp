// A scenario: the cluster's settings (the platform's own form), its size, the jobs that arrive and the faults. Read
// from a TOML file; docs/simulator.md lists the keys.
#pragma once
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "model/clock.hpp"
#include "model/job.hpp"
#include "model/machine.hpp"
#include "simulator/fault.hpp"

namespace flintdale::simulator {

// A kind of jobs that users submit.
struct JobClass {
    model::JobSpec like;  // all fields but the id, the image and the number of tasks
    int initial = 0;      // submitted at the start
    double per_minute = 0;
    std::uint32_t tasks_from = 1, tasks_to = 1;
    double runs_s = 30;    // of a task, give or take a fifth; a service's replicas run until it is cancelled
    double cancelled = 0;  // share that is cancelled, some time after it was accepted
    double cancel_from = 5, cancel_to = 60;
};

// Durations without a type are in seconds.
struct Scenario {
    std::string name, cluster;  // the platform's settings but for what differs between controllers
    std::vector<std::string> members, member_zones;
    Seconds length{300};
    std::vector<model::MachineType> types;
    std::size_t capacity = 0;                 // machines that the cloud has in all; 0: as many as are asked for
    std::size_t warm = 0;                     // machines that are up at the start
    double late = 0;                          // share of transactions that are carried out late
    double slow = 0;                          // share of requests and of answers of the store that take long,
    Seconds slowest{1};                       // up to so long
    double restart_from = 1, restart_to = 8;  // after a crash drawn by the seed
    double drawn = 0;                         // number of faults drawn by the seed, on average
    bool draws_losses = false;                // whether losses of data are drawn as well
    double known_jobs = 20'000;               // the size of each controller's cache of jobs
    double direct_share = 1;                  // the operators' workers.direct_share; 0: all heartbeats are relayed
    std::size_t pairs = 0;  // pairs of faults drawn by the seed, the second while the first is being handled
    std::vector<JobClass> jobs;
    std::vector<Fault> faults;
};

// Both throw config::ConfigError, which names what is wrong and where.
Scenario load_scenario(const std::string& path);
Scenario parse_scenario(const std::string& text, const std::string& name);

}  // namespace flintdale::simulator
