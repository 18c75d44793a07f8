// The settings that operators may change (INI). Every key and default is documented in docs/operations.md.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "config/config_error.hpp"
#include "model/clock.hpp"

namespace flintdale::config {

struct OperatorSettings {
    // Placement.
    model::Seconds batching_window{5};  // jobs are collected this long and then sorted
    double memory_margin = 0.1;         // free memory wanted beyond a task's need, as a share of the need
    double aging_rate = 1.0;            // a job counts as this many seconds shorter for each second it has waited

    // Machines.
    model::Seconds silent_timeout{9};   // a machine with tasks is given up after this time without a heartbeat
    double boot_timeout_factor = 2.5;   // times the nominal boot time until a machine that is not up is given up
    double idle_timeout_factor = 1.6;   // times what replacing it takes that a machine without tasks is kept
    double array_horizon = 0.2;         // share of an array's objective in which its tasks may run one after another
    double array_price_limit = 3.0;     // times the cheapest price that a slot for an array may cost to scale out
    double service_price_limit = 2.5;   // times the cheapest price of a service's slot before services are relocated
    double spare_capacity_share = 0.1;  // of the fleet's price, beyond two square roots of its machines
    double spare_timeout_factor = 1.0;  // times what replacing it takes that a spare machine is kept

    // Controllers.
    double job_cache_size = 20'000;      // jobs that are cached to answer users
    bool relay_heartbeats = true;        // followers relay heartbeats to a leader that has no room for all workers
    double direct_share = 1.0;           // of the workers that the limits allow a leader, those that report directly
    model::Seconds election_lease{2.5};  // how long the leader's lease lasts after its last renewal
    std::string snapshot_directory;      // absolute path for snapshots of the records; empty: none are made

    // Job class -> machine types that it may use.
    std::map<std::string, std::vector<std::string>> machine_type_groups;
};

// Both throw ConfigError. `name`: of the file, for errors.
OperatorSettings load_operator_settings(const std::string& path);
OperatorSettings parse_operator_settings(const std::string& text, const std::string& name);

}  // namespace flintdale::config
