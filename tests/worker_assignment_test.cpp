// Which controller serves which worker.
#include "app/worker_assignment.hpp"

#include <gtest/gtest.h>

#include "support/scheduler_harness.hpp"

namespace flintdale::test {

using namespace std::chrono_literals;

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
    for (int i = 0; i < 290; ++i) EXPECT_EQ(assignment.redirect_at_follower(machine(i), "a", "two", now), "two");
    EXPECT_EQ(assignment.redirect_at_follower(machine(0), "a", "two", now), "two") << "also one that is back at once";
    EXPECT_EQ(assignment.workers(now), 0u);
}

TEST_F(WorkerAssignmentTest, FullLeaderSendsNewcomersToTheLeastLoadedPeerOfTheirZoneFirst) {
    app::WorkerAssignment assignment(cluster, operator_settings);
    for (int i = 0; i < 300; ++i)
        ASSERT_FALSE(assignment.redirect_at_leader(machine(i), "a", now)) << "there is nobody else";
    assignment.peer_load_received("two", follower(100), now);
    assignment.peer_load_received("three", follower(50), now);
    EXPECT_EQ(assignment.redirect_at_leader(machine(300), "a", now), "two");
    EXPECT_EQ(assignment.redirect_at_leader(machine(301), "c", now), "three");
    EXPECT_FALSE(assignment.redirect_at_leader(machine(5), "a", now)) << "who is served here stays";
    // Versions that do not relay would send it back.
    assignment.peer_load_received("two", {false, false, 0, 300, 0}, now);
    assignment.peer_load_received("three", {false, false, 0, 300, 0}, now);
    EXPECT_FALSE(assignment.redirect_at_leader(machine(302), "a", now));
}

TEST_F(WorkerAssignmentTest, SurplusWorkersLeaveOneByOne) {
    app::WorkerAssignment assignment(cluster, operator_settings);
    for (int i = 0; i < 400; ++i) ASSERT_FALSE(assignment.redirect_at_leader(machine(i), "a", now));
    assignment.peer_load_received("two", follower(0), now);
    int gone = 0;
    for (int i = 0; i < 400; ++i) gone += assignment.redirect_at_leader(machine(i), "a", now).has_value();
    EXPECT_EQ(gone, 1);
    now += 1s;
    assignment.peer_load_received("two", follower(1), now);
    for (int i = 0; i < 400; ++i) gone += assignment.redirect_at_leader(machine(i), "a", now).has_value();
    EXPECT_EQ(gone, 2);
}

TEST_F(WorkerAssignmentTest, LeadersRoomIsSharedUntilItReportsMore) {
    app::WorkerAssignment assignment(cluster, operator_settings);
    assignment.peer_load_received("two", leader(260, 5000), now);
    int sent = 0;
    for (int i = 0; i < 200; ++i) sent += assignment.redirect_at_follower(machine(i), "a", "two", now) == "two";
    EXPECT_EQ(sent, 20) << "half of its room: there is one more that may send workers to it";
    EXPECT_EQ(assignment.workers(now), 180u);
    EXPECT_TRUE(assignment.serves(machine(150)));
    EXPECT_FALSE(assignment.redirect_at_follower(machine(150), "a", "two", now));
}

TEST_F(WorkerAssignmentTest, WorkerThatCannotReachTheLeaderIsServedWhereItReturns) {
    app::WorkerAssignment assignment(cluster, operator_settings);
    assignment.peer_load_received("two", leader(100, 5000), now);
    EXPECT_EQ(assignment.redirect_at_follower(machine(1), "a", "two", now), "two");
    now += 6s;
    assignment.peer_load_received("two", leader(100, 5000), now);
    EXPECT_FALSE(assignment.redirect_at_follower(machine(1), "a", "two", now));
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

}  // namespace flintdale::test
