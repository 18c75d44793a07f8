// Whole controllers in a simulation in which all heartbeats are relayed.
#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include "simulator/simulation.hpp"

namespace flintdale::test {

namespace {

constexpr const char* relayed_world = R"(
[world]
members = ["one", "two", "three"]
member_zones = ["a", "b", "a"]
length_s = 150
warm = 16
direct_share = 0
[cluster]
nodes = 3
zones = ["a", "b"]
[[cluster.teams]]
name = "red"
cpus_max = 400
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
class = "rescore"
team = "red"
shape = "array"
cpus = 5
memory_gb = 18
tasks_to = 6
initial = 12
per_minute = 20
runs_s = 25
cancelled = 0.3
cancel_from_s = 5
cancel_to_s = 40
[[jobs]]
class = "train"
team = "red"
shape = "gang"
cpus = 14
memory_gb = 70
tasks_from = 2
tasks_to = 3
one_zone = true
initial = 2
per_minute = 3
runs_s = 40
)";

// Plays it with those troubles under some seeds: no rule may break, and reports must have been relayed.
void relayed(const std::string& troubles) {
    spdlog::set_level(spdlog::level::off);
    const auto scenario = simulator::parse_scenario(relayed_world + troubles, "relayed");
    for (const std::uint64_t seed : {1, 2, 3}) {
        SCOPED_TRACE(seed);
        const auto o = simulator::Simulation(scenario, seed).run();
        for (const auto& [rule, first] : o.first) ADD_FAILURE() << rule << " at " << first;
        EXPECT_EQ(o.left_behind, std::vector<std::string>());
        EXPECT_GT(o.relayed, 500u);
        EXPECT_GT(o.started, 50u);
    }
}

std::string trouble(const std::string& kind, int at, int lasts, const std::string& more) {
    return "[[troubles]]\nkind = \"" + kind + "\"\nat_s = " + std::to_string(at) +
           "\nlasts_s = " + std::to_string(lasts) + "\n" + more + "\n";
}

}  // namespace

TEST(RelaySimulationTest, RelaysEndWithPendingHeartbeats) {
    relayed(trouble("crash", 40, 2, "node = \"follower\"\ntimes = 5\nevery_s = 7"));
}

TEST(RelaySimulationTest, LeaderEndsAndItsRelaysFollowTheNextOne) {
    relayed(trouble("crash", 40, 3, "node = \"leader\"\ntimes = 4\nevery_s = 15"));
}

TEST(RelaySimulationTest, RelaysAreCutOffFromTheLeaderButNotFromWorkers) {
    relayed(trouble("cut_peers", 40, 25, "node = \"leader\"") + trouble("cut_peers", 90, 12, "node = \"follower\""));
}

TEST(RelaySimulationTest, HeartbeatsAndResponsesAreDelayedBeyondTheWorkersTimeout) {
    relayed(trouble("held", 30, 60, "share = 0.3\nseconds = 9") + trouble("freeze", 100, 5, "node = \"follower\""));
}

TEST(RelaySimulationTest, OldCopiesOfHeartbeatsArriveThroughAnyRelay) {
    relayed(trouble("late_reports", 20, 100, "share = 0.5") +
            trouble("crash", 50, 1, "node = \"leader\"\ntimes = 3\nevery_s = 20"));
}

TEST(RelaySimulationTest, WorkIsCancelledWhileItsWorkersChangeRelays) {
    relayed(trouble("cancel_now", 60, 0, "share = 8\nseconds = 20") +
            trouble("crash", 60, 4, "node = \"followers\"\ntimes = 2\nevery_s = 8"));
}

TEST(RelaySimulationTest, LeaderEndsDuringAnOutage) {
    relayed(trouble("outage", 50, 15, "") + trouble("crash", 52, 3, "node = \"leader\""));
}

}  // namespace flintdale::test
