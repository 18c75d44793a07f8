// The settings that the platform gives a controller (TOML file): its identity, the cluster, and service limits. They do
// not change while a controller runs. The operators' settings are in operator_settings.hpp.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "config/config_error.hpp"
#include "config/operator_settings.hpp"
#include "model/clock.hpp"

namespace flintdale::config {

using model::Seconds;

struct Address {
    std::string host;  // an IP address
    std::uint16_t port = 0;
};

// Parses ADDRESS:PORT. Throws ConfigError with `field` in its message.
Address parse_address(const std::string& text, const std::string& field);

// Another controller of the cluster.
struct Peer {
    std::string member, zone;
    Address addr;  // for peer messages
};

// A team's guarantees and limits, in CPUs and accelerators. 0: no guarantee, or no limit.
struct Team {
    std::string name;
    double cpus = 0, cpus_limit = 0, gpus = 0, gpus_limit = 0;
};

// A service-level objective of a job class.
struct Objective {
    std::string kind, job_class;
    Seconds within{0};
    double share = 0;  // of the class's jobs, from 0 to 1
};

// The limits of the store.
struct StoreLimits {
    double rps = 50;                      // requests per second
    double write_rps = 20;                // changes per second
    std::size_t value_bytes = 16 * 1024;  // bytes per value
    std::size_t txn_ops = 12;             // changes per transaction
};

struct Settings {
    // This controller.
    std::string member;  // its name
    std::string zone;
    Address listen;       // for users and workers
    Address peer_listen;  // for peers
    std::vector<Peer> peers;
    Address cloud, state;  // the cloud and the state service

    // The cluster.
    std::size_t controllers = 1;  // including this one
    std::vector<std::string> zones;
    std::vector<Team> teams;
    std::vector<Objective> objectives;

    // Workers.
    Seconds heartbeat_interval{3};
    Seconds worker_lease{30};  // from the sending of a worker's last answered heartbeat until it kills its tasks
    Seconds gang_barrier_timeout{30};   // time after which a gang member stops if the gang is not complete
    Seconds gang_failure_detection{4};  // time within which a gang member notices the loss of another one
    Seconds cancel_deadline{60};  // time after an acknowledged cancellation by which all tasks of the job have ended

    // Limits of the services and of this process.
    StoreLimits store_limits;
    std::optional<StoreLimits> next_store_limits;  // take effect some time after an upgrade, without notice
    double cloud_requests_per_s = 4;
    Seconds machine_list_lag{5};  // how far the cloud's list of machines lags behind
    std::size_t max_sockets = 1000;
    double cpu_share = 0;  // share of a core that this process may use; 0: not known

    // Null if there is no such team.
    const Team* team(const std::string& name) const;
};

// Both throw ConfigError. `name`: the file name in error messages.
Settings load_settings(const std::string& path);
Settings parse_settings(const std::string& text, const std::string& name);

}  // namespace flintdale::config
