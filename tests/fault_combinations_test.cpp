// Two troubles that meet, in the emulated world: three whole controllers, two dozen machines, long tasks, users who
// cancel and ask, and a checker of the rules. Each story first makes sure that the meeting came about.
#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include <functional>

#include "simulator/simulation.hpp"

namespace flintdale::test {

namespace {

constexpr const char* world = R"(
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

constexpr double cancel_s = 45;

// The service refuses the leader alone, another controller tells users of cancellations, and at that moment it goes
// away for all and for longer than cancel_s.
constexpr const char* refused = R"(
[[troubles]]
kind = "refused"
at_s = 80
lasts_s = 100
)";
constexpr const char* cut_from_peers = R"(
[[troubles]]
kind = "cut_peers"
after = "begun"
at_s = 0
lasts_s = 100
)";
constexpr const char* outage = R"(
[[troubles]]
kind = "outage"
after = "cancelled"
at_s = 0.2
lasts_s = 70
)";

simulator::RunResult play(const std::string& troubles, std::uint64_t seed) {
    spdlog::set_level(spdlog::level::off);
    const auto scenario = simulator::parse_scenario(world + troubles, "story");
    return simulator::Simulation(scenario, seed).run();
}

std::string broken(const simulator::RunResult& o) {
    std::string out;
    for (const auto& [rule, first] : o.first) out += rule + " at " + first + "; ";
    for (const auto& name : o.left_behind) out += name + " left behind; ";
    return out;
}

void expect_met(const simulator::RunResult& o) {
    EXPECT_GT(o.met_cancelled, 0u) << "nothing that ran was cancelled through another controller";
    EXPECT_GT(o.met_workers, 10u) << "the workers were not with the old leader when the outage began";
    EXPECT_GT(o.met_answers, 0u) << "the old leader answered nobody";
}

}  // namespace

TEST(FaultCombinationTest, StoreRefusesTheLeaderThenEverybodyAndPeersReportCancellations) {
    for (const std::uint64_t seed : {1, 2, 3, 4}) {
        SCOPED_TRACE(seed);
        const auto o = play(std::string(refused) + outage, seed);
        expect_met(o);
        EXPECT_EQ(broken(o), "");
        EXPECT_LT(o.longest_gone, cancel_s / 2) << "they are told, and need not wait for leases";
        EXPECT_EQ(o.lease_kills, 0u) << "what nobody cancelled goes on through the outage";
    }
}

TEST(FaultCombinationTest, StoreRefusesAnIsolatedLeaderWhichStopsAnsweringInTime) {
    for (const std::uint64_t seed : {1, 2, 3, 4}) {
        SCOPED_TRACE(seed);
        const auto o = play(std::string(refused) + cut_from_peers + outage, seed);
        expect_met(o);
        EXPECT_EQ(broken(o), "");
        EXPECT_LT(o.longest_gone, cancel_s);
    }
}

// What a machine that hangs holds does not end with its lease. The leader cannot read that it is cancelled, and nobody
// else can be elected: it goes by the others' word and returns the machine.
TEST(FaultCombinationTest, MachinesHangWhileTheLeaderCannotReadCancellations) {
    for (const std::uint64_t seed : {1, 2, 3, 4}) {
        SCOPED_TRACE(seed);
        const auto o = play(R"(
[[troubles]]
kind = "machines_hang"
share = 0.5
at_s = 79.5
lasts_s = 75
)" + std::string(refused) + outage,
                            seed);
        EXPECT_GT(o.met_cancelled, 0u);
        EXPECT_EQ(broken(o), "");
        EXPECT_LT(o.longest_gone, cancel_s);
    }
}

// Whoever is elected while the leader is refused has read nothing yet when the service goes away for all, and the old
// leader gives way to the higher term: the leases are kept by what all have said.
TEST(FaultCombinationTest, ElectedLeaderThatHasReadNothingKeepsRunningTasksThroughTheOutage) {
    // Before it has looked at the marker, and while it reads.
    for (const char* after : {"0.0", "0.02"}) {
        SCOPED_TRACE(after);
        const auto o = play(std::string(refused) + R"(
[[troubles]]
kind = "outage"
after = "elected"
lasts_s = 70
at_s = )" + after,
                            1);
        EXPECT_GT(o.met_workers, 10u);
        EXPECT_EQ(broken(o), "");
        EXPECT_EQ(o.lease_kills, 0u);
    }
}

// The leader is cut from the others as well, and nobody is elected before the outage. Whoever confirmed knows, and does
// not lead; the leader cannot know; what machines that hang hold does not end with their leases: they are fenced.
TEST(FaultCombinationTest, MachinesHangAndNoInformedControllerLeads) {
    const auto o = play(R"(
[[troubles]]
kind = "machines_hang"
share = 0.5
at_s = 79.5
lasts_s = 75
)" + std::string(refused) + cut_from_peers +
                            outage,
                        3);
    EXPECT_GT(o.met_cancelled, 0u);
    EXPECT_EQ(broken(o), "");
    EXPECT_LT(o.longest_gone, cancel_s);
}

// The confirming controller ends at once and is back: what it has told is known to nobody who asks it again.
TEST(FaultCombinationTest, ConfirmingControllerRestartsAtOnce) {
    for (const std::uint64_t seed : {1, 2, 3, 4}) {
        SCOPED_TRACE(seed);
        const auto o = play(std::string(refused) + outage + R"(
[[troubles]]
kind = "crash"
node = "followers"
after = "begun"
at_s = 0.05
lasts_s = 0.05
)",
                            seed);
        expect_met(o);
        EXPECT_EQ(broken(o), "");
        EXPECT_LT(o.longest_gone, cancel_s);
    }
}

// The old leader stands still, or its workers hear no answers, or late ones.
TEST(FaultCombinationTest, OldLeaderPausesAndResumes) {
    for (const std::uint64_t seed : {1, 2, 3, 4}) {
        SCOPED_TRACE(seed);
        const auto o = play(std::string(refused) + outage + R"(
[[troubles]]
kind = "freeze"
node = "leader"
after = "begun"
at_s = 0.5
lasts_s = 12
)",
                            seed);
        expect_met(o);
        EXPECT_EQ(broken(o), "");
        EXPECT_LT(o.longest_gone, cancel_s);
    }
}

// Transactions without an answer are carried out after newer ones of the same controller, while leaders end and users
// cancel.
TEST(FaultCombinationTest, LateWritesArriveAfterNewerOnesWhileLeadersEndAndMachinesDie) {
    for (const std::uint64_t seed : {1, 2, 3, 4}) {
        SCOPED_TRACE(seed);
        const auto o = play(R"(
[[troubles]]
kind = "late_writes"
at_s = 40
share = 0.3
lasts_s = 90
[[troubles]]
kind = "machines_die"
at_s = 60
share = 0.3
[[troubles]]
kind = "crash"
after = "begun"
at_s = 3
lasts_s = 0.2
[[troubles]]
kind = "machines_cut"
after = "elected"
at_s = 0.5
share = 0.4
lasts_s = 30
[[troubles]]
kind = "crash"
node = "all"
after = "cancelled"
at_s = 1
lasts_s = 0.05
)",
                            seed);
        EXPECT_EQ(broken(o), "");
    }
}

// A leader that is cut from the state service and its peers, and whom workers and users still reach: users are sent on,
// and what the new one confirmed is gone in time.
TEST(FaultCombinationTest, LeaderCutOffFromStoreAndPeersLeavesUsersToOthers) {
    for (const std::uint64_t seed : {1, 2, 3, 4}) {
        SCOPED_TRACE(seed);
        const auto o = play(R"(
[[troubles]]
kind = "isolate"
at_s = 80
lasts_s = 60
[[troubles]]
kind = "machines_hang"
after = "cancelled"
at_s = 0
share = 0.3
lasts_s = 60
)",
                            seed);
        EXPECT_GT(o.met_cancelled, 0u);
        EXPECT_GT(o.asked_alone, 10u);
        EXPECT_EQ(o.ready_alone, 0u) << "users would be sent there, and refused";
        EXPECT_EQ(broken(o), "");
        EXPECT_LT(o.longest_gone, cancel_s);
    }
}

// Machines with long tasks are out of reach, or deaf, when the leader ends.
TEST(FaultCombinationTest, LeaderEndsWhileMachinesWithLongTasksAreUnreachableOrReceiveNothing) {
    for (const std::uint64_t seed : {1, 2, 3, 4}) {
        SCOPED_TRACE(seed);
        const auto o = play(R"(
[[troubles]]
kind = "machines_cut"
at_s = 70
share = 0.3
lasts_s = 60
[[troubles]]
kind = "machines_deaf"
after = "begun"
at_s = 1
share = 0.3
lasts_s = 45
[[troubles]]
kind = "crash"
after = "begun"
at_s = 2
lasts_s = 0.05
[[troubles]]
kind = "late_reports"
after = "elected"
at_s = 0
share = 0.5
lasts_s = 60
)",
                            seed);
        EXPECT_EQ(broken(o), "");
        EXPECT_LT(o.longest_gone, cancel_s);
    }
}

TEST(FaultCombinationTest, MachinesReceiveNothingResponsesAreDelayedAndOldHeartbeatsRepeat) {
    for (const std::uint64_t seed : {1, 2, 3, 4}) {
        SCOPED_TRACE(seed);
        const auto o = play(std::string(refused) + outage + R"(
[[troubles]]
kind = "machines_deaf"
after = "begun"
at_s = 0
share = 0.4
lasts_s = 60
[[troubles]]
kind = "held"
after = "begun"
at_s = 0
share = 0.4
seconds = 6
lasts_s = 60
[[troubles]]
kind = "late_reports"
after = "begun"
at_s = 0
share = 0.5
lasts_s = 80
)",
                            seed);
        expect_met(o);
        EXPECT_EQ(broken(o), "");
        EXPECT_LT(o.longest_gone, cancel_s);
    }
}

// --- the further meetings of the users' list ---

namespace {

// Many running jobs are called off within a fifth of a second, and eight of their machines hang.
std::string called_off(const std::string& when) {
    return R"(
[[troubles]]
kind = "cancel_now"
share = 20
seconds = 90
)" + when;
}
const std::string at_once = "after = \"begun\"\nat_s = 0\n";

void expect_whole(const std::string& troubles, std::initializer_list<std::uint64_t> seeds,
                  const std::function<void(const simulator::RunResult&)>& met) {
    for (const auto seed : seeds) {
        SCOPED_TRACE(seed);
        const auto o = play(troubles, seed);
        met(o);
        EXPECT_EQ(broken(o), "");
        EXPECT_LT(o.longest_gone, cancel_s);
    }
}

}  // namespace

// Called off at the very moment at which the service refuses the leader alone; a second later it is out for longer than
// cancel_s.
TEST(FaultCombinationTest, CancellationAsTheLeaderIsRefusedAndASecondLaterEverybodyIs) {
    expect_whole(refused + called_off(at_once) + R"(
[[troubles]]
kind = "outage"
after = "begun"
at_s = 1
lasts_s = 70
)",
                 {1, 2, 3}, [](const auto& o) {
                     EXPECT_GT(o.met_cancelled, 3u);
                     EXPECT_GT(o.met_workers, 10u);
                 });
}

// A cancellation, a question and a repeated submission meet the end of a job's last task, with no other trouble; each
// controller keeps what it has read of two jobs.
TEST(FaultCombinationTest, LastTaskEndsWithCancellationsAndPollsAndOneOutcomeIsReported) {
    std::string few = world;
    few.replace(few.find("warm = 24"), 9, "warm = 24\nknown_jobs = 2");
    for (std::size_t at = 0; (at = few.find("runs_s = 150", at)) != std::string::npos; ++at)
        few.replace(at, 12, "runs_s = 15");
    const auto scenario = simulator::parse_scenario(few + R"(
[[troubles]]
kind = "cancel_at_end"
at_s = 10
share = 1.0
lasts_s = 230
[[troubles]]
kind = "odd_requests"
at_s = 10
lasts_s = 230
)",
                                                    "ends");
    spdlog::set_level(spdlog::level::off);
    for (const std::uint64_t seed : {1, 2, 3}) {
        SCOPED_TRACE(seed);
        const auto o = simulator::Simulation(scenario, seed).run();
        EXPECT_GT(o.called_off_at_end, 8u);
        EXPECT_GT(o.words, 100u) << "questions about jobs of which an end had been told";
        EXPECT_GT(o.odd_refused, 100u);
        EXPECT_EQ(broken(o), "");
    }
}

// Workers reach no controller, while direct questions reach them: they lose their leases by their own clocks, and
// nothing of theirs is started elsewhere before that is known.
TEST(FaultCombinationTest, MachinesThatReachNoControllerMeetCancellationsAndANewLeader) {
    expect_whole(R"(
[[troubles]]
kind = "machines_mute"
at_s = 70
share = 0.5
lasts_s = 60
)" + called_off("after = \"begun\"\nat_s = 2\n") +
                     R"(
[[troubles]]
kind = "crash"
after = "begun"
at_s = 1
lasts_s = 0.05
)",
                 {1, 2, 3}, [](const auto& o) {
                     EXPECT_GT(o.lease_kills, 0u);
                     EXPECT_GT(o.cancelled_running, 10u);
                 });
}

// Reports and answers are held back until another leads, and copies of old ones arrive there.
TEST(FaultCombinationTest, HeartbeatsAreDelayedUntilANewLeaderHasActed) {
    expect_whole(R"(
[[troubles]]
kind = "held"
at_s = 78
share = 0.5
seconds = 9
lasts_s = 40
[[troubles]]
kind = "late_reports"
after = "begun"
at_s = 0
share = 0.5
lasts_s = 80
[[troubles]]
kind = "machines_die"
after = "begun"
at_s = 1
share = 0.3
[[troubles]]
kind = "crash"
after = "begun"
at_s = 1
lasts_s = 0.05
)" + called_off(at_once),
                 {1, 2, 3}, [](const auto& o) { EXPECT_GT(o.elections, 1u); });
}

TEST(FaultCombinationTest, TeamAtItsLimitWhileLeaderChangesAndMachinesAreUnreachable) {
    std::string limited = world;
    const std::string team = "name = \"red\"";
    limited.replace(limited.find(team), team.size(), team + "\ncpus_max = 330.0");
    const std::string troubles = R"(
[[troubles]]
kind = "machines_cut"
at_s = 80
share = 0.4
lasts_s = 45
[[troubles]]
kind = "crash"
after = "begun"
at_s = 1
lasts_s = 0.05
)" + called_off("after = \"elected\"\nat_s = 0.5\n");
    spdlog::set_level(spdlog::level::off);
    for (const std::uint64_t seed : {1, 2, 3}) {
        SCOPED_TRACE(seed);
        const auto o = simulator::Simulation(simulator::parse_scenario(limited + troubles, "limited"), seed).run();
        const auto free = play(troubles, seed);
        EXPECT_LT(o.started, free.started) << "the limit binds";
        EXPECT_GT(o.cancelled_running, 5u);
        for (const auto& [rule, first] : o.first) ADD_FAILURE() << rule << " at " << first;
        EXPECT_LT(o.longest_gone, cancel_s);
    }
}

// All end, are back within a moment, end again and stay away for longer than a lease.
TEST(FaultCombinationTest, AllControllersEndTwiceForLongerThanALease) {
    expect_whole(R"(
[[troubles]]
kind = "crash"
node = "all"
at_s = 80
lasts_s = 0.05
[[troubles]]
kind = "crash"
node = "all"
after = "begun"
at_s = 3
lasts_s = 28
)" + called_off("after = \"elected\"\nat_s = 0.2\n"),
                 {1, 2, 3}, [](const auto& o) { EXPECT_GT(o.lease_kills, 20u); });
}

// Ten leaders in two minutes, some of them while the service is out.
TEST(FaultCombinationTest, LeadersChangeTenTimesInTwoMinutesAlsoInAnOutage) {
    expect_whole(R"(
[[troubles]]
kind = "crash"
at_s = 60
lasts_s = 0.05
times = 12
every_s = 10
[[troubles]]
kind = "outage"
after = "begun"
at_s = 24
lasts_s = 25
)" + called_off("after = \"elected\"\nat_s = 1\n"),
                 {1, 2, 3}, [](const auto& o) { EXPECT_GE(o.elections, 10u); });
}

// A leader that came late has less time left than a report takes to be overdue, and asks the machines directly.
TEST(FaultCombinationTest, LeaderReturnsMomentsBeforeTheCancelDeadline) {
    expect_whole(R"(
[[troubles]]
kind = "burst"
at_s = 80
lasts_s = 1
)" + called_off(at_once) +
                     R"(
[[troubles]]
kind = "crash"
node = "all"
after = "begun"
at_s = 7
lasts_s = 33
)",
                 {1, 2, 3}, [](const auto& o) { EXPECT_GT(o.cancelled_running, 5u); });
}

// In an outage all controllers end, and nobody who is back knows what was cancelled before.
TEST(FaultCombinationTest, AllControllersEndInAnOutageAndNobodyKnowsTheCancellations) {
    expect_whole(R"(
[[troubles]]
kind = "burst"
at_s = 80
lasts_s = 1
)" + called_off(at_once) +
                     R"(
[[troubles]]
kind = "outage"
after = "begun"
at_s = 1
lasts_s = 70
[[troubles]]
kind = "crash"
node = "all"
after = "begun"
at_s = 4
lasts_s = 0.05
)",
                 {1, 2, 3}, [](const auto& o) { EXPECT_GT(o.cancelled_running, 5u); });
}

// The same with many that are called off at that moment, so that each seed brings it about.
TEST(FaultCombinationTest, ManyCancelledJobsHangAndNoInformedControllerLeads) {
    expect_whole(refused + std::string(cut_from_peers) + called_off(at_once) + R"(
[[troubles]]
kind = "outage"
after = "cancelled"
at_s = 0.4
lasts_s = 70
)",
                 {1, 2, 3}, [](const auto& o) { EXPECT_GT(o.met_cancelled, 1u); });
}

// Not mended yet: all end so late that those who knew had not fenced yet, and those who are back would have to ask at
// once. KNOWN-RED.txt, docs/limits.md.
TEST(FaultCombinationTest, AllControllersEndInAnOutageShortlyBeforeTheCancelDeadline) {
    expect_whole(R"(
[[troubles]]
kind = "burst"
at_s = 80
lasts_s = 1
)" + called_off(at_once) +
                     R"(
[[troubles]]
kind = "outage"
after = "begun"
at_s = 1
lasts_s = 70
[[troubles]]
kind = "cut_peers"
after = "begun"
at_s = 0
lasts_s = 40
[[troubles]]
kind = "crash"
after = "begun"
at_s = 12
lasts_s = 2
[[troubles]]
kind = "crash"
node = "all"
after = "begun"
at_s = 19
lasts_s = 2
)",
                 {1, 2, 3}, [](const auto& o) { EXPECT_GT(o.cancelled_running, 5u); });
}

}  // namespace flintdale::test
