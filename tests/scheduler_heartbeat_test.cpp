// Heartbeats as evidence: expired leases, late copies, delayed answers.
#include <algorithm>

#include "model/task.hpp"
#include "support/scheduler_fixture.hpp"

namespace flintdale::test {

using model::ExitReason;
using model::JobKind;

TEST_F(SchedulerTest, SilentMachinesTaskStartsElsewhereOnlyAfterItsRelease) {
    elect();
    start(job("run-1", JobKind::array, 1), {&m1});
    ASSERT_EQ(machine_of("run-1", 0), "n-000001");
    for (int i = 0; i < 20; ++i) {  // n-000001 is silent for a minute, far beyond its lease
        advance(3s);
        heartbeat(m2);
        place();
        ASSERT_EQ(machine_of("run-1", 0), "n-000001") << "silence is no evidence that the task is gone";
    }
    const auto releases = machines_to_release();
    ASSERT_EQ(std::count(releases.begin(), releases.end(), "n-000001"), 1);
    ASSERT_EQ(machine_of("run-1", 0), "n-000001") << "an unconfirmed release is no evidence that the task is gone";
    leader->machines_released({"n-000001"}, now);
    ASSERT_TRUE(place());
    EXPECT_EQ(machine_of("run-1", 0), "n-000002");
    EXPECT_FALSE(leader->handle_heartbeat(m1.report(), now))
        << "a late heartbeat of a released machine must be ignored";
}

TEST_F(SchedulerTest, NextLeaderLoadsAPlacementWhoseRunCommandWasNotSent) {
    elect();
    accept(job("run-1", JobKind::array, 1));
    settle();
    report_twice(m1);
    ASSERT_TRUE(place());  // recorded for n-000001; then the leader ends
    auto& next = elect();
    settle();
    report_twice(m2);
    EXPECT_FALSE(place()) << "the task may run on n-000001";
    auto commands = heartbeat(m1);
    EXPECT_FALSE(has_command(commands, CommandType::run, "run-1", 0)) << "n-000001 has not seen this term yet";
    commands = heartbeat(m1);
    EXPECT_TRUE(has_command(commands, CommandType::run, "run-1", 0));
    EXPECT_EQ(next.count("run-1")->done, 0u);
}

TEST_F(SchedulerTest, LostResponseIsRepeatedAndALateHeartbeatIgnored) {
    elect();
    accept(job("run-1", JobKind::array, 1));
    settle();
    report_twice(m1);
    ASSERT_TRUE(place());
    const auto old_report = m1.report();
    ASSERT_TRUE(has_command(heartbeat(m1, false), CommandType::run, "run-1", 0));
    EXPECT_TRUE(has_command(heartbeat(m1), CommandType::run, "run-1", 0)) << "the first answer was lost";
    heartbeat(m1);
    EXPECT_FALSE(leader->handle_heartbeat(old_report, now)) << "an older heartbeat must not revert newer state";
    EXPECT_EQ(machine_of("run-1", 0), "n-000001");
    EXPECT_FALSE(has_command(heartbeat(m1), CommandType::run, "run-1", 0));
}

TEST_F(SchedulerTest, NewIncarnationIsEvidenceThatTasksAreGone) {
    elect();
    start(job("run-1", JobKind::array, 1), {&m1});
    m1.lose_lease();
    heartbeat(m1);
    EXPECT_EQ(machine_of("run-1", 0), "");
    ASSERT_TRUE(place());
    EXPECT_EQ(leader->job("run-1")->tasks[0].attempt, 2u);
}

TEST_F(SchedulerTest, TasksOnSilentMachinesStillCountAgainstTheQuota) {
    elect();
    auto first = job("run-1", JobKind::array, 2);  // two tasks of 4 fill the limit of 8
    first.team = "limited";
    start(first, {&m1});
    ASSERT_EQ(leader->job("run-1")->placed, 2u);
    auto second = job("run-2", JobKind::array, 1);
    second.team = "limited";
    accept(second);
    for (int i = 0; i < 20; ++i) {
        advance(3s);
        heartbeat(m2);
        EXPECT_FALSE(place());
    }
    leader->machines_released({"n-000001"}, now);
    EXPECT_TRUE(place());
    EXPECT_LE(leader->job("run-1")->placed + leader->job("run-2")->placed, 2u);
}

// A leader that abandons a placement before its run command was executed records that some seconds later, but places
// another task in its room at once. If the leader ends in between, the next one reads both placements (found by the
// simulator).
TEST_F(SchedulerTest, AbandonedPlacementIsNotStartedByTheNextLeader) {
    elect();
    auto first = job("run-1", JobKind::array, 2);  // two tasks of 4 fill the limit of 8
    first.team = "limited";
    report_twice(m1);
    accept(first);
    settle();
    heartbeat(m1);
    ASSERT_TRUE(place());
    ASSERT_EQ(leader->job("run-1")->placed, 2u);
    auto second = job("run-2", JobKind::array, 2);
    second.team = "limited";
    accept(second);
    // The records at that moment: the first job still placed, although abandoned, and the second job placed in its
    // room.
    state::Txn txn;
    auto record = keys.get("jobs/work/run-2").value.as_object();
    record["tasks"] = wire::ranges_to_record({{0, 1, 1, m2.name, false}});
    txn.changes.push_back({"jobs/work/run-2", record, 0});
    keys.commit(txn);
    elect();
    ASSERT_EQ(leader->job("run-1")->placed + leader->job("run-2")->placed, 4u);
    for (const std::uint32_t i : {0u, 1u}) {
        model::TaskReport t;
        t.id = {"run-2", i};
        t.attempt = 1;
        t.status = TaskStatus::running;
        m2.tasks.push_back(t);
    }
    heartbeat(m1);
    const auto commands = heartbeat(m1);
    EXPECT_FALSE(has_command(commands, CommandType::run, "run-1", 0));
    EXPECT_FALSE(has_command(commands, CommandType::run, "run-1", 1));
    heartbeat(m2);
    heartbeat(m2);
    EXPECT_EQ(leader->job("run-2")->running, 2u);
    settle();
    EXPECT_FALSE(place());
    EXPECT_EQ(leader->job("run-1")->placed + leader->job("run-2")->placed, 2u);
}

// The first heartbeat that a new leader receives from a machine is a copy from an earlier incarnation (found by
// scenarios/meeting.toml, seed 1738).
TEST_F(SchedulerTest, CopyOfAHeartbeatFromAnEarlierIncarnationIsNoEvidence) {
    elect();
    report_twice(m1);
    const auto copy = m1.report();
    m1.lose_lease();
    start(job("run-1", JobKind::array, 1), {&m1});
    ASSERT_EQ(machine_of("run-1", 0), m1.name);
    elect();
    leader->handle_heartbeat(copy, now);
    heartbeat(m1);
    EXPECT_EQ(machine_of("run-1", 0), m1.name)
        << "the task runs there in the newer incarnation, which this leader did not know before";
    heartbeat(m1);
    EXPECT_EQ(machine_of("run-1", 0), m1.name);
    // An incarnation that ends under this term is evidence.
    m1.lose_lease();
    heartbeat(m1);
    EXPECT_EQ(machine_of("run-1", 0), "");
}

// In a large fleet some machine is always gone. Waiting the whole first round for it cost seconds in every failover.
TEST_F(SchedulerTest, NewLeaderPlacesWhenNearlyAllMachinesWithWorkHaveReported) {
    elect();
    auto whole = job("run-1", JobKind::array, 20);
    whole.need = {8, 2, 40};
    accept(whole);
    settle();
    std::vector<Worker> workers;
    for (int i = 0; i < 20; ++i)
        workers.push_back(machine("n-00010" + std::string(1, static_cast<char>('a' + i)), "a"));
    for (auto& w : workers) report_twice(w);
    ASSERT_TRUE(place());
    accept(job("run-2", JobKind::array, 1));
    elect();
    report_twice(m1);  // it has room and no recorded tasks
    for (int i = 0; i < 18; ++i) heartbeat(workers[static_cast<std::size_t>(i)]);
    EXPECT_FALSE(place());
    heartbeat(workers[18]);
    EXPECT_TRUE(place());
    EXPECT_EQ(machine_of("run-2", 0), "n-000001");
}

// Commands are sent only in answers. If a heartbeat frees room, its own delayed answer may carry the next run command.
TEST_F(SchedulerTest, DelayedResponseCarriesNewPlacementsUnlessANewerHeartbeatCame) {
    using ExpectedWork = scheduler::Scheduler::ExpectedWork;
    elect();
    start(job("run-1", JobKind::array, 2), {&m1});  // fills the machine
    accept(job("run-2", JobKind::array, 1));
    settle();
    heartbeat(m1);
    EXPECT_FALSE(place());
    m1.finish("run-1", 0, ExitReason::done);
    const auto report = m1.report();
    ASSERT_TRUE(leader->handle_heartbeat(report, now)->empty());
    const auto passes = leader->passes();
    EXPECT_EQ(leader->expected_work(report, passes), ExpectedWork::placement);
    ASSERT_TRUE(leader->place(now));
    EXPECT_EQ(leader->expected_work(report, passes), ExpectedWork::record_write);
    EXPECT_TRUE(leader->pending_runs(report).empty()) << "the placement is not recorded yet";
    commit();
    const auto newer = m1.report();
    leader->handle_heartbeat(newer, now);
    EXPECT_TRUE(leader->pending_runs(report).empty()) << "the answer to an older heartbeat must not carry the command";
    EXPECT_EQ(leader->expected_work(newer, passes), ExpectedWork::none)
        << "the answer to the newer heartbeat carries the command";
}

TEST_F(SchedulerTest, DelayedResponseCarriesNoRunOfACancelledJob) {
    elect();
    accept(job("run-1", JobKind::array, 1));
    settle();
    report_twice(m1);
    const auto report = m1.report();
    leader->handle_heartbeat(report, now);
    ASSERT_TRUE(place());
    ASSERT_TRUE(cancel("run-1"));
    sync_job("run-1");
    EXPECT_TRUE(leader->pending_runs(report).empty());
}

// inc-d158: a leader was paused for 40 s, then found every machine silent and released them all while its successor was
// using them.
TEST_F(SchedulerTest, PausedLeaderDoesNotCountThePauseAsSilence) {
    elect();
    start(job("run-1", JobKind::array, 1), {&m1});
    advance(40s);
    leader->process_paused(40s);
    EXPECT_TRUE(machines_to_release().empty());
    advance(40s);
    EXPECT_FALSE(machines_to_release().empty()) << "silence after the pause must count";
}

}  // namespace flintdale::test
