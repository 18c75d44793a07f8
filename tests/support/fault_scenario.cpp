#include "support/fault_scenario.hpp"

#include <spdlog/spdlog.h>

namespace flintdale::test {

const char* const base_scenario = R"(
[world]
members = ["one", "two", "three"]
member_zones = ["a", "b", "a"]
length_s = 240
warm = 24
[cluster]
nodes = 3
zones = ["a", "b"]
[[cluster.teams]]
name = "red"
[cluster.workers]
report_s = 3.0
lease_s = 20.0
gang_wait_s = 30.0
gang_peer_s = 4.0
cancel_s = 45.0
[cluster.state]
rps = 200.0
write_rps = 40.0
value_kb = 16.0
txn_ops = 24
[cluster.cloud]
rps = 6.0
list_lag_s = 3.0
[[machines]]
type = "large"
cpus = 48
gpus = 8
memory_gb = 192
zones = ["a", "b"]
boot_s = 20
[[jobs]]
class = "lookup"
team = "red"
shape = "service"
rank = "critical"
cpus = 4
gpus = 1
memory_gb = 14
tasks_to = 3
spread = true
initial = 30
per_minute = 10
cancelled = 0.8
cancel_from_s = 40
cancel_to_s = 140
[[jobs]]
class = "rescore"
team = "red"
shape = "array"
cpus = 5
gpus = 1
memory_gb = 18
tasks_to = 6
initial = 10
per_minute = 6
runs_s = 150
cancelled = 0.8
cancel_from_s = 40
cancel_to_s = 110
[[jobs]]
class = "train"
team = "red"
shape = "gang"
cpus = 14
gpus = 2
memory_gb = 70
tasks_from = 2
tasks_to = 3
one_zone = true
initial = 3
per_minute = 3
runs_s = 150
cancelled = 0.8
cancel_from_s = 40
cancel_to_s = 110
)";

const char* const leader_refused = R"(
[[troubles]]
kind = "refused"
at_s = 80
lasts_s = 100
)";
const char* const leader_cut_from_peers = R"(
[[troubles]]
kind = "cut_peers"
after = "begun"
at_s = 0
lasts_s = 100
)";
const char* const outage_after_cancellation = R"(
[[troubles]]
kind = "outage"
after = "cancelled"
at_s = 0.2
lasts_s = 70
)";

const char* const at_once = "after = \"begun\"\nat_s = 0\n";

std::string cancel_running_jobs(const std::string& when) {
    return R"(
[[troubles]]
kind = "cancel_now"
share = 20
seconds = 90
)" + when;
}

simulator::RunResult run(const std::string& faults, std::uint64_t seed) {
    spdlog::set_level(spdlog::level::off);
    const auto scenario = simulator::parse_scenario(base_scenario + faults, "fault combination");
    return simulator::Simulation(scenario, seed).run();
}

void run_seeds(const std::string& faults, std::initializer_list<std::uint64_t> seeds, const ResultCheck& check) {
    for (const auto seed : seeds) {
        SCOPED_TRACE(seed);
        check(run(faults, seed));
    }
}

void expect_no_violation(const std::string& faults, std::initializer_list<std::uint64_t> seeds,
                         const ResultCheck& check) {
    run_seeds(faults, seeds, [&check](const simulator::RunResult& result) {
        check(result);
        EXPECT_EQ(violations(result), "");
        EXPECT_LT(result.longest_gone, cancel_s);
    });
}

std::string violations(const simulator::RunResult& result) {
    std::string out;
    for (const auto& [rule, first] : result.first) out += rule + " at " + first + "; ";
    for (const auto& name : result.left_behind) out += name + " left behind; ";
    return out;
}

void expect_isolated_leader_outage(const simulator::RunResult& result) {
    EXPECT_GT(result.met_cancelled, 0u) << "nothing that ran was cancelled through another controller";
    EXPECT_GT(result.met_workers, 10u) << "the workers were not with the old leader when the outage began";
    EXPECT_GT(result.met_answers, 0u) << "the old leader answered nobody";
}

}  // namespace flintdale::test
