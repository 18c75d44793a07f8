// The settings that operators may change (INI file). docs/operations.md documents every key and default.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "config/config_error.hpp"
#include "model/clock.hpp"

namespace flintdale::config {

struct OperatorSettings {
    // Placement.
    model::Seconds batching_window{5};  // time for which jobs are collected before they are sorted
    double memory_margin = 0.1;         // wanted free memory beyond a task's need, as a share of the need
    double aging_rate = 1.0;            // seconds by which a job counts as shorter for each second it has waited

    // Machines.
    model::Seconds silent_timeout{9};   // time without a heartbeat after which a machine with tasks is given up
    double boot_timeout_factor = 2.5;   // multiple of the boot time after which a machine that is not up is given up
    double idle_timeout_factor = 1.6;   // multiple of its replacement time for which a machine without tasks is kept
    double array_horizon = 0.2;         // share of an array's objective in which its tasks may run one after another
    double array_price_limit = 3.0;     // multiple of the cheapest price that a slot for an array may cost to scale out
    double service_price_limit = 2.5;   // multiple of the cheapest slot price from which services are relocated
    double spare_capacity_share = 0.1;  // share of the fleet's price kept spare, beyond 2*sqrt(machines) machines
    double spare_timeout_factor = 1.0;  // multiple of its replacement time for which a spare machine is kept

    // Controllers.
    double job_cache_size = 20'000;  // number of jobs cached for replies to users
    bool relay_heartbeats = true;    // followers relay heartbeats to a leader that cannot take all workers
    double direct_share = 1.0;       // share of the workers allowed by the leader's limits that report to it directly
    model::Seconds election_lease{2.5};  // duration of the leader's lease after a renewal
    std::string snapshot_directory;      // absolute path for snapshots of the records; empty: no snapshots

    // Maps a job class to the machine types that it may use.
    std::map<std::string, std::vector<std::string>> machine_type_groups;
};

// Both throw ConfigError. `name`: the file name in error messages.
OperatorSettings load_operator_settings(const std::string& path);
OperatorSettings parse_operator_settings(const std::string& text, const std::string& name);

}  // namespace flintdale::config
