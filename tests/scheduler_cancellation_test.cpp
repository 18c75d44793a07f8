// Cancelled work must be gone before the cancel deadline.
#include "scheduler/lease_rule.hpp"
#include "support/scheduler_fixture.hpp"

namespace flintdale::test {

using model::JobKind;

TEST_F(SchedulerTest, CancelledTasksAreKilledAndPlacementsNeverRun) {
    elect();
    start(job("run-1", JobKind::array, 2), {&m1});
    ASSERT_TRUE(cancel("run-1"));
    sync_job("run-1");
    const auto commands = heartbeat(m1);
    EXPECT_TRUE(has_command(commands, CommandType::kill, "run-1", 0));
    EXPECT_TRUE(has_command(commands, CommandType::kill, "run-1", 1));

    accept(job("run-2", JobKind::array, 1));
    settle();
    heartbeat(m1);
    ASSERT_TRUE(place());
    ASSERT_TRUE(cancel("run-2"));
    sync_job("run-2");
    EXPECT_FALSE(has_command(heartbeat(m1), CommandType::run, "run-2", 0));
    commit();
    EXPECT_EQ(keys.get("jobs/work/run-2").mod_revision, 0u) << "the work record of a cancelled job must be removed";
}

TEST_F(SchedulerTest, NoPlacementIsRecordedForAJobCancelledElsewhere) {
    elect();
    accept(job("run-1", JobKind::array, 1));
    settle();
    report_twice(m1);
    ASSERT_TRUE(cancel("run-1"));  // by another controller; the leader is not informed
    place();
    EXPECT_FALSE(has_command(heartbeat(m1), CommandType::run, "run-1", 0));
}

TEST_F(SchedulerTest, LeaderCutOffFromTheStoreStopsAnsweringInTime) {
    const auto known = now;
    const auto room =
        settings.cancel_deadline - settings.worker_lease;  // a task ends at the latest one lease after the last answer
    EXPECT_TRUE(scheduler::may_answer(settings, known + 10s, known));
    EXPECT_FALSE(scheduler::may_answer(settings, known + model::to_clock(room), known));
    EXPECT_FALSE(scheduler::may_answer(settings, known + model::to_clock(room - Seconds(3)), known));
}

// A machine hung while the store was unreachable, and the leader elected after the outage counted the time since the
// cancellation from the beginning of its own term (found by the simulator). A hanging machine does not end its work
// when its lease expires.
TEST_F(SchedulerTest, LateLeaderGivesUpAHangingMachineBeforeTheDeadline) {
    elect();
    start(job("run-1", JobKind::array, 2), {&m1});
    ASSERT_TRUE(cancel("run-1"));
    advance(settings.cancel_deadline - 9s);
    elect();
    leader->job_over("run-1", now, settings.cancel_deadline - 9s);
    heartbeat(m2);
    EXPECT_TRUE(machines_to_release().empty()) << "its heartbeat may only be late";
    advance(settings.heartbeat_interval * 1.25 + 1100ms);
    heartbeat(m2);
    EXPECT_EQ(machines_to_release(), std::vector<std::string>{m1.name});
}

TEST_F(SchedulerTest, UnreachableMachineWithCancelledWorkIsReleasedInTime) {
    elect();
    start(job("run-1", JobKind::array, 1), {&m1});
    std::vector<Worker> others;
    for (int i = 10; i < 14; ++i) others.push_back(machine("n-0000" + std::to_string(i), "a"));
    for (auto& w : others) report_twice(w);
    ASSERT_TRUE(cancel("run-1"));
    sync_job("run-1");
    // All machines fall silent at once, which normally extends the silence timeout.
    std::vector<std::string> releases;
    const auto cancelled_at = now;
    while (releases.empty() && now < cancelled_at + model::to_clock(settings.cancel_deadline)) {
        advance(1s);
        releases = machines_to_release();
    }
    ASSERT_FALSE(releases.empty());
    EXPECT_LT(now, cancelled_at + model::to_clock(settings.cancel_deadline * 0.8));
    EXPECT_EQ(releases.front(), "n-000001");
}

// One call to the cloud releases at most 100 machines, and during an outage only those with cancelled work may be
// released. In a simulation 250 machines hung, and those with cancelled work came after 100 others.
TEST_F(SchedulerTest, HundredsOfSilentMachinesDoNotDelayOneWithCancelledWork) {
    elect();
    auto last = machine("n-900000", "a");
    start(job("run-1", JobKind::array, 1), {&last});
    std::vector<Worker> silent, others;
    for (int i = 0; i < 120; ++i) silent.push_back(machine("n-" + std::to_string(100000 + i), "a"));
    for (int i = 0; i < 300; ++i) others.push_back(machine("n-" + std::to_string(200000 + i), "a"));
    for (auto& w : silent) report_twice(w);
    for (auto& w : others) report_twice(w);
    ASSERT_TRUE(cancel("run-1"));
    sync_job("run-1");
    const auto cancelled_at = now;
    std::optional<TimePoint> named, first;
    for (; now < cancelled_at + model::to_clock(settings.cancel_deadline); advance(1s)) {
        for (auto& w : others) heartbeat(w);
        const auto releases = leader->scale_in(now);
        EXPECT_LE(releases.size(), 100u);
        if (!first && !releases.empty()) first = now;
        for (const auto& r : releases)
            if (r.machine == last.name && r.why == scheduler::cancelled_work && !named) named = now;
    }
    ASSERT_TRUE(first) << "the other silent machines must be released as well";
    ASSERT_TRUE(named);
    EXPECT_LT(*named, cancelled_at + model::to_clock(settings.cancel_deadline * 0.8));
}

// A machine with a termination notice that falls silent may hang instead of being gone.
TEST_F(SchedulerTest, SilentMachineWithATerminationNoticeIsReleasedForItsCancelledWork) {
    elect();
    start(job("run-1", JobKind::array, 1), {&m1});
    ASSERT_TRUE(cancel("run-1"));
    sync_job("run-1");
    m1.termination_notice = Seconds(5);
    leader->handle_heartbeat(m1.report(), now);
    advance(Seconds(settings.cancel_deadline * 0.6));
    const auto releases = leader->scale_in(now);
    ASSERT_EQ(releases.size(), 1u);
    EXPECT_EQ(releases[0].why, scheduler::cancelled_work);
}

}  // namespace flintdale::test
