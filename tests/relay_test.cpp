// Workers' reports that are relayed to the leader: what may be lost, late, repeated or overtaken on the way.
#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include "app/worker_assignment.hpp"
#include "model/command.hpp"
#include "model/heartbeat.hpp"
#include "model/task.hpp"
#include "peer/heartbeat_relay.hpp"
#include "peer/peer_connections.hpp"
#include "peer/relayed_heartbeat_cache.hpp"
#include "simulator/simulation.hpp"
#include "support/scheduler_harness.hpp"

namespace flintdale::test {

using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t relay_incarnation = 7, leader_incarnation = 40, term = 5;

// A relay, and the messages that it sends; whoever leads is played by the story.
struct HeartbeatRelayTest : ::testing::Test {
    TimePoint now{std::chrono::seconds(1000)};
    const bool simulated = (model::Clock::simulated = &now) != nullptr;
    ~HeartbeatRelayTest() override { model::Clock::simulated = nullptr; }

    net::asio::io_context io;
    config::Settings cluster = settings();
    std::vector<std::pair<std::string, peer::RelayMessage>> sent;
    bool link_up = true;
    peer::HeartbeatRelay relay{io.get_executor(), cluster, relay_incarnation,
                               [this](const std::string& member, const peer::RelayMessage& m) {
                                   if (link_up) sent.emplace_back(member, peer::decode_relay(peer::encode(m)));
                                   return link_up;
                               }};
    struct Told {
        bool over = false;
        std::optional<peer::LeaderResponse> answer;
    };
    std::vector<std::shared_ptr<Told>> asked;

    static model::Heartbeat report(const std::string& machine, std::uint64_t sequence, std::uint32_t tasks) {
        model::Heartbeat r;
        r.machine = machine;
        r.addr = machine + ":9000";
        r.type = "large";
        r.zone = "a";
        r.incarnation = 1;
        r.sequence = sequence;
        r.fencing_token = term;
        for (std::uint32_t i = 0; i < tasks; ++i) {
            model::TaskReport t;
            t.id = {"run-1", i};
            t.attempt = 1;
            t.status = model::TaskStatus::running;
            r.tasks.push_back(t);
        }
        return r;
    }
    std::shared_ptr<Told> ask(model::Heartbeat r) {
        auto told = std::make_shared<Told>();
        net::asio::co_spawn(io, relay.relay(std::move(r)), [told](std::exception_ptr, auto answer) {
            told->over = true;
            told->answer = std::move(answer);
        });
        pass(30ms);
        return told;
    }
    void pass(model::Clock::duration time) {
        for (const auto until = now + time; now < until;) {
            now += 5ms;
            io.restart();
            io.poll();
        }
    }
    static peer::Leader leads(const std::string& member, std::uint64_t of_term = term) {
        return {member, leader_incarnation, of_term};
    }
    static peer::RelayedResponse answer(std::uint64_t number, std::uint64_t fencing_token = term) {
        peer::RelayedResponse a;
        a.number = number;
        a.outcome = peer::RelayOutcome::answered;
        a.fencing_token = fencing_token;
        a.commands.push_back({model::CommandType::run, {"run-2", 0}, 1, model::Seconds(0)});
        return a;
    }
    void says(const std::string& member, peer::RelayedResponse a, std::uint64_t newest_term = term) {
        peer::RelayMessage m;
        m.member = member;
        m.incarnation = leader_incarnation;
        m.to = relay_incarnation;
        m.answers.push_back(std::move(a));
        relay.answered(peer::decode_relay(peer::encode(m)), newest_term);
        pass(5ms);
    }
    // The number of the newest report that was sent in full.
    std::uint64_t full() const { return sent.back().second.reports.back().number; }
};

}  // namespace

TEST_F(HeartbeatRelayTest, UnchangedHeartbeatIsRelayedInAFewBytes) {
    relay.follow(leads("one"));
    peer::RelayedHeartbeatCache kept;
    const auto first = ask(report("n-1", 10, 200));
    ASSERT_EQ(sent.size(), 1u);
    const auto whole = peer::encode(sent.back().second).size();
    kept.keep("two", relay_incarnation, sent.back().second.reports.at(0));
    says("one", answer(full()));
    ASSERT_TRUE(first->answer);
    EXPECT_EQ(first->answer->fencing_token, term);
    EXPECT_EQ(first->answer->commands.size(), 1u);

    ask(report("n-1", 11, 200));
    ASSERT_EQ(sent.size(), 2u);
    ASSERT_EQ(sent.back().second.repeated.size(), 1u);
    EXPECT_LT(peer::encode(sent.back().second).size() * 20, whole);
    const auto* heard = kept.repeated("two", relay_incarnation, sent.back().second.repeated[0]);
    ASSERT_TRUE(heard);
    EXPECT_EQ(*heard, report("n-1", 11, 200));
    EXPECT_FALSE(kept.repeated("two", relay_incarnation + 1, sent.back().second.repeated[0])) << "another process";
}

// Two reports of one worker under way, the later one a copy of what it held long ago.
TEST_F(HeartbeatRelayTest, LateCopyIsNotWhatTheNextHeartbeatRepeats) {
    relay.follow(leads("one"));
    peer::RelayedHeartbeatCache kept;
    ask(report("n-1", 10, 3));
    const auto newest = full();
    kept.keep("two", relay_incarnation, sent.back().second.reports.at(0));
    ask(report("n-1", 4, 0));
    kept.keep("two", relay_incarnation, sent.back().second.reports.at(0));
    says("one", answer(newest));

    ask(report("n-1", 11, 3));
    const auto& message = sent.back().second;
    for (const auto& r : message.repeated) {
        const auto* heard = kept.repeated("two", relay_incarnation, r);
        EXPECT_TRUE(!heard || heard->tasks.size() == 3) << "three tasks run there";
    }
    for (const auto& r : message.reports) EXPECT_EQ(r.report.tasks.size(), 3u);
}

TEST_F(HeartbeatRelayTest, HeartbeatThatArrivesAfterANewerOneIsNotCached) {
    peer::RelayedHeartbeatCache kept;
    kept.keep("two", relay_incarnation, {9, 1, report("n-1", 12, 3)});
    kept.keep("two", relay_incarnation, {8, 1, report("n-1", 11, 0)});
    const auto* heard = kept.repeated("two", relay_incarnation, {10, 1, 13, 9});
    ASSERT_TRUE(heard);
    EXPECT_EQ(heard->tasks.size(), 3u);
    EXPECT_FALSE(kept.repeated("two", relay_incarnation, {11, 1, 14, 8}));
}

TEST_F(HeartbeatRelayTest, HeartbeatUnknownToTheLeaderIsSentInFull) {
    relay.follow(leads("one"));
    ask(report("n-1", 10, 2));
    says("one", answer(full()));
    const auto again = ask(report("n-1", 11, 2));
    peer::RelayedResponse unknown;
    unknown.number = sent.back().second.repeated.at(0).number;
    unknown.outcome = peer::RelayOutcome::unknown_handle;
    says("one", unknown);
    pass(30ms);
    ASSERT_EQ(sent.back().second.reports.size(), 1u);
    EXPECT_EQ(sent.back().second.reports[0].report, report("n-1", 11, 2));
    EXPECT_FALSE(again->over);
    says("one", answer(full()));
    EXPECT_TRUE(again->answer);
}

TEST_F(HeartbeatRelayTest, PendingHeartbeatsGoToTheNextLeaderAndOldResponsesAreIgnored) {
    relay.follow(leads("one"));
    const auto waiting = ask(report("n-1", 10, 2));
    const auto number = full();
    relay.follow(std::nullopt);
    relay.follow(leads("three", term + 1));
    pass(30ms);
    ASSERT_EQ(sent.back().first, "three");
    EXPECT_EQ(sent.back().second.reports.at(0).report, report("n-1", 10, 2));
    says("one", answer(number));
    EXPECT_FALSE(waiting->over);
    says("three", answer(full(), term + 1), term + 1);
    ASSERT_TRUE(waiting->answer);
    EXPECT_EQ(waiting->answer->fencing_token, term + 1);
}

TEST_F(HeartbeatRelayTest, ResponseOfASupersededTermIsNotForwarded) {
    relay.follow(leads("one"));
    const auto overtaken = ask(report("n-1", 10, 2));
    says("one", answer(full()), term + 1);
    EXPECT_TRUE(overtaken->over);
    EXPECT_FALSE(overtaken->answer);
    // The same leader has won another term between the report and its answer.
    relay.follow(leads("one", term + 2));
    const auto older = ask(report("n-1", 11, 2));
    says("one", answer(full(), term), term + 2);
    EXPECT_FALSE(older->answer);
    const auto newer = ask(report("n-1", 12, 2));
    says("one", answer(full(), term + 2), term + 2);
    EXPECT_TRUE(newer->answer);
}

TEST_F(HeartbeatRelayTest, ResponseDelayedBeyondTheWorkersTimeoutReachesNobody) {
    relay.follow(leads("one"));
    const auto late = ask(report("n-1", 10, 2));
    const auto number = full();
    pass(4s);
    EXPECT_TRUE(late->over) << "it is told 503, and goes to another controller";
    EXPECT_FALSE(late->answer);
    const auto next = ask(report("n-1", 11, 2));
    says("one", answer(number));
    EXPECT_FALSE(next->over) << "the answer is to the report before";
    EXPECT_EQ(relay.waiting(), 1u);
}

TEST_F(HeartbeatRelayTest, KeepsTryingWhileCutOffFromTheLeaderAndForgetsNothing) {
    relay.follow(leads("one"));
    link_up = false;
    const auto waiting = ask(report("n-1", 10, 2));
    pass(1s);
    EXPECT_TRUE(sent.empty());
    link_up = true;
    relay.follow(leads("one"));  // it is heard again
    pass(30ms);
    ASSERT_EQ(sent.size(), 1u);
    // The link breaks with the report on its way.
    relay.link_lost("one");
    relay.follow(leads("one"));
    pass(30ms);
    ASSERT_EQ(sent.size(), 2u);
    EXPECT_EQ(sent[1].second.reports.at(0).number, sent[0].second.reports.at(0).number);
    says("one", answer(full()));
    EXPECT_TRUE(waiting->answer);
}

TEST_F(HeartbeatRelayTest, RefusesMoreHeartbeatsThanSocketsAllow) {
    cluster.max_sockets = 3;
    relay.follow(leads("one"));
    std::vector<std::shared_ptr<Told>> all;
    for (int i = 0; i < 4; ++i) all.push_back(ask(report("n-" + std::to_string(i), 1, 1)));
    EXPECT_FALSE(all[2]->over);
    EXPECT_TRUE(all[3]->over);
    EXPECT_FALSE(all[3]->answer);
}

TEST_F(HeartbeatRelayTest, HeartbeatsOfOneMomentShareAMessage) {
    relay.follow(leads("one"));
    for (int i = 0; i < 50; ++i)
        net::asio::co_spawn(io, relay.relay(report("n-" + std::to_string(i), 1, 5)), net::asio::detached);
    pass(30ms);
    ASSERT_EQ(sent.size(), 2u) << "the first at once, the others together";
    EXPECT_EQ(sent[1].second.reports.size(), 49u);
}

TEST(RelayMessageTest, InvalidMessageIsAnErrorAndAnOldVersionTakesNoPart) {
    EXPECT_THROW(peer::decode_relay("nonsense"), std::exception);
    peer::StatusMessage status;
    status.member = "one";
    status.relays = true;
    status.workers = 12;
    status.capacity = 30;
    status.fleet = 40;
    const auto read = peer::decode(peer::encode(status));
    EXPECT_TRUE(read.relays);
    EXPECT_EQ(read.workers + read.capacity + read.fleet, 82u);
    EXPECT_FALSE(peer::decode(peer::encode(peer::StatusMessage{})).relays);
}

// --- who serves whom ---

namespace {

struct WorkerAssignmentTest : ::testing::Test {
    TimePoint now{std::chrono::seconds(1000)};
    config::Settings cluster = settings();
    config::OperatorSettings operator_settings;
    WorkerAssignmentTest() {
        cluster.max_sockets = 464;  // 400 but for its own, and 300 of them for workers
        cluster.peers = {{"two", "a", {}}, {"three", "b", {}}};
    }
    static app::WorkerAssignment::Load follower(std::uint32_t workers) { return {true, false, workers, 300, 0}; }
    static app::WorkerAssignment::Load leader(std::uint32_t workers, std::uint32_t fleet) {
        return {true, true, workers, 300, fleet};
    }
    static std::string machine(int n) { return "n-" + std::to_string(n); }
};

}  // namespace

TEST_F(WorkerAssignmentTest, SufficientLeaderServesAllWorkers) {
    app::WorkerAssignment assignment(cluster, operator_settings);
    assignment.peer_load_received("two", leader(0, 290), now);
    for (int i = 0; i < 290; ++i) EXPECT_EQ(assignment.at_follower(machine(i), "a", "two", now), "two");
    EXPECT_EQ(assignment.at_follower(machine(0), "a", "two", now), "two") << "also one that is back at once";
    EXPECT_EQ(assignment.workers(now), 0u);
}

TEST_F(WorkerAssignmentTest, FullLeaderSendsNewcomersToTheLeastLoadedPeerOfTheirZoneFirst) {
    app::WorkerAssignment assignment(cluster, operator_settings);
    for (int i = 0; i < 300; ++i) ASSERT_FALSE(assignment.at_leader(machine(i), "a", now)) << "there is nobody else";
    assignment.peer_load_received("two", follower(100), now);
    assignment.peer_load_received("three", follower(50), now);
    EXPECT_EQ(assignment.at_leader(machine(300), "a", now), "two");
    EXPECT_EQ(assignment.at_leader(machine(301), "c", now), "three");
    EXPECT_FALSE(assignment.at_leader(machine(5), "a", now)) << "who is served here stays";
    // Versions that do not relay would send it back.
    assignment.peer_load_received("two", {false, false, 0, 300, 0}, now);
    assignment.peer_load_received("three", {false, false, 0, 300, 0}, now);
    EXPECT_FALSE(assignment.at_leader(machine(302), "a", now));
}

TEST_F(WorkerAssignmentTest, SurplusWorkersLeaveOneByOne) {
    app::WorkerAssignment assignment(cluster, operator_settings);
    for (int i = 0; i < 400; ++i) ASSERT_FALSE(assignment.at_leader(machine(i), "a", now));
    assignment.peer_load_received("two", follower(0), now);
    int gone = 0;
    for (int i = 0; i < 400; ++i) gone += assignment.at_leader(machine(i), "a", now).has_value();
    EXPECT_EQ(gone, 1);
    now += 1s;
    assignment.peer_load_received("two", follower(1), now);
    for (int i = 0; i < 400; ++i) gone += assignment.at_leader(machine(i), "a", now).has_value();
    EXPECT_EQ(gone, 2);
}

TEST_F(WorkerAssignmentTest, LeadersRoomIsSharedUntilItReportsMore) {
    app::WorkerAssignment assignment(cluster, operator_settings);
    assignment.peer_load_received("two", leader(260, 5000), now);
    int sent = 0;
    for (int i = 0; i < 200; ++i) sent += assignment.at_follower(machine(i), "a", "two", now) == "two";
    EXPECT_EQ(sent, 20) << "half of its room: there is one more that may send workers to it";
    EXPECT_EQ(assignment.workers(now), 180u);
    EXPECT_TRUE(assignment.serves(machine(150)));
    EXPECT_FALSE(assignment.at_follower(machine(150), "a", "two", now));
}

TEST_F(WorkerAssignmentTest, WorkerThatCannotReachTheLeaderIsServedWhereItReturns) {
    app::WorkerAssignment assignment(cluster, operator_settings);
    assignment.peer_load_received("two", leader(100, 5000), now);
    EXPECT_EQ(assignment.at_follower(machine(1), "a", "two", now), "two");
    now += 6s;
    assignment.peer_load_received("two", leader(100, 5000), now);
    EXPECT_FALSE(assignment.at_follower(machine(1), "a", "two", now));
    now += 60s;
    EXPECT_FALSE(assignment.serves(machine(1)) && assignment.workers(now) == 0u);
}

TEST_F(WorkerAssignmentTest, BoundsFollowFromSocketAndCpuLimits) {
    EXPECT_EQ(app::WorkerAssignment(cluster, operator_settings).capacity(true), 300u);
    cluster.cpu_share = 0.002;  // of a core: some 17 reports a second
    const auto few = app::WorkerAssignment(cluster, operator_settings).capacity(true);
    EXPECT_GT(few, 10u);
    EXPECT_LT(few, 100u);
    cluster.heartbeat_interval = model::Seconds(12);
    EXPECT_NEAR(app::WorkerAssignment(cluster, operator_settings).capacity(true), few * 4, 4);
    operator_settings.direct_share = 0;
    EXPECT_EQ(app::WorkerAssignment(cluster, operator_settings).capacity(true), 0u);
    EXPECT_GT(app::WorkerAssignment(cluster, operator_settings).capacity(false), 0u);
}

// --- whole controllers, all reports relayed ---

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
