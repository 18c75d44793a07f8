// What the platform (TOML) and the operators (INI) set.
#pragma once
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "model/clock.hpp"

namespace flintdale::config {

using model::Seconds;

struct ConfigError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct Address {
    std::string host;
    std::uint16_t port = 0;
};

Address parse_address(const std::string& text, const std::string& field);

struct Peer {
    std::string member, zone;
    Address addr;
};

// 0 means none, for guarantees and limits alike.
struct Team {
    std::string name;
    double cpus = 0, cpus_limit = 0, gpus = 0, gpus_limit = 0;
};

struct Objective {
    std::string kind, job_class;
    Seconds within{0};
    double share = 0;
};

// What the state service takes: requests and changes a second, bytes a value, changes a transaction.
struct StoreLimits {
    double rps = 50, write_rps = 20;
    std::size_t value_bytes = 16 * 1024, txn_ops = 12;
};

struct Settings {
    std::string member, zone;
    Address listen, peer_listen;
    std::vector<Peer> peers;
    Address cloud, state;
    std::size_t controllers = 1;
    std::vector<std::string> zones;
    std::vector<Team> teams;
    std::vector<Objective> objectives;
    Seconds heartbeat_interval{3}, worker_lease{30}, gang_barrier_timeout{30}, gang_failure_detection{4},
        cancel_deadline{60};
    StoreLimits store_limits;
    std::optional<StoreLimits> next_store_limits;  // that come some time after an upgrade, without notice
    double cloud_requests_per_s = 4;
    Seconds machine_list_lag{5};
    std::size_t max_sockets = 1000;
    double cpu_share = 0;  // of a core, that this process has; 0: not told

    const Team* team(const std::string& name) const;
};

Settings load_settings(const std::string& path);
Settings parse_settings(const std::string& text, const std::string& name);

// The open values of the design and of its exceptions. Every default is documented in docs/operations.md.
struct OperatorSettings {
    Seconds batching_window{5};        // jobs are gathered this long, then sorted
    double memory_margin = 0.1;        // free memory wanted above the need, as a share of it
    double aging_rate = 1.0;           // seconds of length a job loses per second waited
    Seconds silent_timeout{9};         // a machine with work that has not reported for so long is given up
    double boot_timeout_factor = 2.5;  // times boot_s until a machine that is not up is given up
    double idle_timeout_factor = 1.6;  // times what having its like again takes that a machine without work is kept
    double array_horizon = 0.2;        // share of an array's objective within which its tasks may follow one another
    double array_price_limit = 3.0;    // times the cheapest price a slot may cost that an array rents at once
    double service_price_limit =
        2.5;  // times the cheapest price a service's slot may cost before services are moved together
    double spare_capacity_share =
        0.1;  // share of the fleet's price that may be spare, beyond two in the root of its machines
    double spare_timeout_factor = 1.0;  // times what having its like again takes that a spare machine is kept
    double job_cache_size = 20'000;     // jobs of which is kept what was read of them, for the questions of users
    bool relay_heartbeats = true;       // reports are passed on to a leader that has no room for all workers
    double direct_share = 1.0;          // of the workers that the limits allow a leader, that report to it directly
    Seconds election_lease{2.5};        // how long the leader's claim outlives its last renewal
    std::string snapshot_directory;     // directory that snapshots of the records are kept in; empty: none are
    std::map<std::string, std::vector<std::string>> machine_type_groups;  // job class -> machine types it may use
};

OperatorSettings load_operator_settings(const std::string& path);
OperatorSettings parse_operator_settings(const std::string& text, const std::string& name);

}  // namespace flintdale::config
