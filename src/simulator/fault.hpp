// A fault that is injected into a simulated run: its kind, time, extent and target. What each kind does stands in
// fault_injector.cpp; the names in scenario files are mapped here, and docs/simulator.md lists them.
#pragma once
#include <optional>
#include <string>
#include <string_view>

#include "model/clock.hpp"

namespace flintdale::simulator {

using model::Seconds;

enum class FaultKind {
    // The store loses data.
    store_erased,
    store_rolled_back,
    keys_erased,
    keys_reverted,
    keys_corrupted,
    // The store's service.
    store_outage,
    store_refuses,      // some controllers
    store_partitioned,  // from some controllers
    late_commits,
    leases_expire,
    // Controllers and networks.
    controller_crash,
    controller_freeze,
    controller_isolated,  // from the store and the other controllers, not from workers and users
    workers_cut,
    peers_cut,
    zone_cut,
    delayed_messages,
    cloud_outage,
    // Machines and their workers.
    machines_die,
    machines_hang,
    machines_cut,
    answers_lost,     // heartbeats arrive; answers and direct questions do not
    heartbeats_lost,  // heartbeats reach no controller; direct questions arrive
    repeated_heartbeats,
    // Users.
    arrival_burst,
    cancel_running,
    cancel_at_completion,
    odd_requests,
};

// What a fault waits for before its time counts.
enum class FaultTrigger { none, previous_fault_began, leader_elected, running_job_cancelled };

// The names in scenario files and result lines.
std::string_view to_string(FaultKind kind);
std::optional<FaultKind> fault_kind_from(std::string_view name);
std::optional<FaultTrigger> fault_trigger_from(std::string_view name);

// Which of the fields count depends on the kind.
struct Fault {
    FaultKind kind = FaultKind::controller_crash;
    Seconds at{0}, duration{0};
    double share = 1;  // of the machines or messages concerned; cancel_running: a number of jobs
    std::string node;  // a member's name, "leader", "follower", "followers" or "all"
    std::string zone, prefix;
    // store_rolled_back: how far; cancel_running: how long machines of such jobs hang; delayed_messages: the longest
    // delay.
    Seconds amount{0};
    // controller_crash: how often, each so long after the one before.
    double times = 1;
    Seconds interval{1};
    // The seed draws between `at` and `at_to`, `duration` and `duration_to`, and whether the fault happens at all.
    Seconds at_to{0}, duration_to{0};
    double chance = 1;
    // A step that has to be seen first, after the previous fault in the list has begun; `at` counts from then.
    FaultTrigger trigger = FaultTrigger::none;
};

}  // namespace flintdale::simulator
