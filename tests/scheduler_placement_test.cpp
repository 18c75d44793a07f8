// The machines that tasks are placed on, and the order of placement.
#include "model/task.hpp"
#include "support/scheduler_fixture.hpp"

namespace flintdale::test {

using model::ExitReason;
using model::JobKind;

TEST_F(SchedulerTest, SpreadJobCountsTasksThatMayStillRun) {
    elect();
    auto third = machine("n-000003", "a");
    auto spread = job("run-1", JobKind::service, 2);
    spread.spread = true;
    start(spread, {&m1, &m2});
    ASSERT_NE(machine_of("run-1", 0), machine_of("run-1", 1));
    const std::uint32_t in_b = machine_of("run-1", 0) == "n-000002" ? 0 : 1;
    m2.finish("run-1", in_b, ExitReason::stopped);  // the replica in zone b ends, and zone b loses its only machine
    heartbeat(m2);
    leader->machines_released({"n-000002"}, now);
    report_twice(third);
    EXPECT_FALSE(place()) << "zone a may hold only one of two replicas";
    EXPECT_EQ(machine_of("run-1", in_b), "");
}

TEST_F(SchedulerTest, OneZoneJobStaysInTheZoneOfTasksThatMayStillRun) {
    elect();
    auto together = job("run-1", JobKind::array, 3);
    together.one_zone = true;
    start(together, {&m1});
    ASSERT_EQ(leader->job("run-1")->placed, 2u);
    for (int i = 0; i < 10; ++i) {
        advance(3s);
        report_twice(m2);
        EXPECT_FALSE(place()) << "two tasks may still run in zone a";
    }
}

TEST_F(SchedulerTest, OnlyAllowedTypesZonesAndSpotKindsAreUsed) {
    elect();
    auto restricted = job("run-1", JobKind::array, 1);
    restricted.zone = "b";
    restricted.types = std::vector<std::string>{"small"};
    accept(restricted);
    settle();
    auto spot = machine("n-000003", "b");
    spot.spot = true;
    auto large = machine("n-000004", "b", "large");
    for (auto* w : {&m1, &spot, &large}) report_twice(*w);
    EXPECT_FALSE(place());
    report_twice(m2);
    EXPECT_TRUE(place());
    EXPECT_EQ(machine_of("run-1", 0), "n-000002");
}

TEST_F(SchedulerTest, JobsWithoutRoomWaitShortestFirstAndAheadOfNewWindows) {
    elect();
    auto filler = job("run-1", JobKind::array, 2);
    start(filler, {&m1});  // n-000001 is full
    auto long_job = job("run-2", JobKind::array, 1), short_job = job("run-3", JobKind::array, 1);
    long_job.estimated_runtime = Seconds(600);
    long_job.accepted_ms = 1'000;
    short_job.accepted_ms = 21'000;  // some batching windows later
    accept(long_job);
    settle();
    EXPECT_FALSE(place());
    accept(short_job);
    settle();
    EXPECT_FALSE(place());
    heartbeat(m1);
    m1.finish("run-1", 0, ExitReason::done);
    heartbeat(m1);
    ASSERT_TRUE(place());
    EXPECT_EQ(machine_of("run-3", 0), "n-000001");
    EXPECT_EQ(machine_of("run-2", 0), "");
}

// Arrays occupied small on-demand machines that suit gangs, so large ones were launched for the gangs.
TEST_F(SchedulerTest, SpotArrayLeavesOnDemandMachinesToAWaitingGangForHalfItsTime) {
    elect();
    auto gang = job("run-1", JobKind::gang, 2);
    gang.need.cpus = 8;
    accept(gang);
    settle();
    report_twice(m1);
    EXPECT_FALSE(place()) << "the gang needs two machines";
    auto array = job("run-2", JobKind::array, 1);
    array.spot = true;
    array.deadline = Seconds(60);
    accept(array);
    auto other = array;
    other.uid = "run-3";
    other.priority = model::Priority::high;
    accept(other);
    settle();
    heartbeat(m1);
    place();
    EXPECT_EQ(machine_of("run-2", 0), "");
    EXPECT_EQ(machine_of("run-3", 0), "n-000001") << "a job of high priority does not wait for gangs";
    advance(Seconds(25));
    report_twice(m1);
    place();
    EXPECT_EQ(machine_of("run-2", 0), "n-000001") << "half of its target duration has passed";
}

TEST_F(SchedulerTest, CriticalServiceDoesNotWaitForItsWindow) {
    elect();
    report_twice(m1);
    auto critical = job("run-1", JobKind::service, 1);
    critical.priority = model::Priority::critical;
    accept(critical);
    accept(job("run-2", JobKind::array, 1));
    EXPECT_TRUE(place());
    EXPECT_EQ(machine_of("run-1", 0), "n-000001");
    EXPECT_EQ(machine_of("run-2", 0), "");
}

TEST_F(SchedulerTest, ServiceMovesToTheMachineWithItsImageOnlyOnceItIsGone) {
    elect();
    auto slow = job("run-1", JobKind::service, 1), quick = job("run-2", JobKind::service, 1);
    slow.image_gb = quick.image_gb = 10;
    accept(slow);
    settle();
    report_twice(m1);
    ASSERT_TRUE(place());
    heartbeat(m1);
    heartbeat(m1);
    accept(quick);
    settle();
    report_twice(m2);
    ASSERT_TRUE(place());
    ASSERT_EQ(machine_of("run-1", 0), "n-000001");
    heartbeat(m1);
    heartbeat(m2);
    ASSERT_EQ(machine_of("run-2", 0), "n-000002");
    heartbeat(m2);  // both machines fetch the image; n-000002 has it first
    m2.run_all();
    heartbeat(m2);
    leader->relocate(now);
    place();
    EXPECT_EQ(machine_of("run-1", 0), "n-000001") << "the task may still run on its old machine";
    EXPECT_TRUE(has_command(heartbeat(m1), CommandType::kill, "run-1", 0));
    heartbeat(m1);
    place();
    EXPECT_EQ(machine_of("run-1", 0), "n-000002");
}

TEST_F(SchedulerTest, CrashLoopingJobQuarantinesNoMachine) {
    elect();
    std::vector<Worker> all;
    for (int i = 1; i < 6; ++i) all.push_back(machine("n-00000" + std::to_string(i), "a"));
    for (auto& w : all) report_twice(w);
    accept(job("run-bad", JobKind::array, 1));  // fails on every machine
    settle();
    for (int round = 0; round < 5; ++round) {
        advance(90s);
        for (auto& w : all) report_twice(w);
        place();
        for (auto& w : all) {
            heartbeat(w);
            if (w.find("run-bad", 0)) w.finish("run-bad", 0, ExitReason::error);
            heartbeat(w);
            commit();
            heartbeat(w);
        }
    }
    EXPECT_GE(leader->job("run-bad")->errors, 3u);
    EXPECT_EQ(leader->running_machines(now), all.size());
}

// Jobs submitted with a mistake were retried with all their tasks, and machines were launched for each retry, until
// their users cancelled them.
TEST_F(SchedulerTest, CrashLoopingJobIsRetriedWithOneTaskAndLaunchesNoMachineUntilOneSucceeds) {
    elect();
    report_twice(m1);
    report_twice(m2);
    const auto fail_all = [&] {
        for (auto* w : {&m1, &m2}) {
            heartbeat(*w);
            for (auto& t : w->tasks) w->finish(t.id.uid, t.id.index, ExitReason::error);
            heartbeat(*w);
            commit();
            heartbeat(*w);
        }
    };
    for (const auto* uid : {"run-1", "run-2"}) {
        accept(job(uid, JobKind::array, 4));
        settle();
        for (auto* w : {&m1, &m2}) heartbeat(*w);
        place();
        ASSERT_GE(leader->job(uid)->placed, 3u) << "the retry of the earlier job may take one slot";
        fail_all();
    }
    EXPECT_TRUE(leader->job("run-1")->crash_looping());
    EXPECT_EQ(leader->running_machines(now), 2u) << "two crash-looping jobs must not quarantine a machine";
    EXPECT_FALSE(place()) << "the retry must wait for the pause";
    EXPECT_TRUE(leader->scale_out(now).empty());
    advance(20s);
    for (auto* w : {&m1, &m2}) heartbeat(*w);
    ASSERT_TRUE(place());
    EXPECT_EQ(leader->job("run-1")->placed, 1u);
    for (auto* w : {&m1, &m2}) {
        heartbeat(*w);
        for (auto& t : w->tasks)
            if (t.id.uid == "run-1") w->finish("run-1", t.id.index, ExitReason::done);
        heartbeat(*w);
    }
    settle();
    for (auto* w : {&m1, &m2}) heartbeat(*w);
    place();
    EXPECT_FALSE(leader->job("run-1")->crash_looping());
    EXPECT_EQ(leader->job("run-1")->placed, 3u);
}

}  // namespace flintdale::test
