// Gangs are placed and restarted as a whole.
#include "model/task.hpp"
#include "support/scheduler_fixture.hpp"

namespace flintdale::test {

using model::ExitReason;
using model::JobKind;

// One member of a gang reported that it was done; the other one was lost with its worker's lease before its report. The
// process then crashed (simulator, seed 6027).
TEST_F(SchedulerTest, GangWithADoneMemberPlacesOnlyTheOthersAgain) {
    elect();
    accept(job("run-1", JobKind::gang, 2));
    state::Txn txn;
    auto record = keys.get("jobs/work/run-1").value.as_object();
    record["tasks"] = wire::ranges_to_record({{0, 0, 1, "", false}, {1, 1, 1, "", true}});
    txn.changes.push_back({"jobs/work/run-1", record, 0});
    keys.commit(txn);
    elect();
    report_twice(m1);
    for (int i = 0; i < 3; ++i) {
        settle();
        heartbeat(m1);
        place();
        const auto* gang = leader->job("run-1");
        if (!gang) break;  // the job is done and recorded
        EXPECT_EQ(gang->placed + gang->done, 2u);
        EXPECT_EQ(gang->waiting(), 0u);
        EXPECT_GE(gang->done, 1u);
    }
}

TEST_F(SchedulerTest, GangTaskLostBeforeTheStartIsReplacedUnderTheSameAttempt) {
    elect();
    auto third = machine("n-000003", "b");
    auto gang = job("run-1", JobKind::gang, 2);
    gang.need = {8, 2, 40};  // each task needs a whole machine
    accept(gang);
    settle();
    report_twice(m1);
    EXPECT_FALSE(place()) << "one machine has room for one of two members only";
    report_twice(m2);
    ASSERT_TRUE(place());
    heartbeat(m1);
    heartbeat(m2);
    leader->machines_released({"n-000002"}, now);
    report_twice(third);
    ASSERT_TRUE(place());
    const auto& tasks = leader->job("run-1")->tasks;
    EXPECT_EQ(tasks[0].attempt, 1u);
    EXPECT_EQ(tasks[1].attempt, 1u);
}

TEST_F(SchedulerTest, NewGangAttemptWaitsUntilTheOldOneIsGone) {
    elect();
    auto third = machine("n-000003", "a");
    auto gang = job("run-1", JobKind::gang, 2);
    gang.need = {8, 2, 40};
    start(gang, {&m1, &m2});
    ASSERT_TRUE(leader->job("run-1")->gang_started);
    leader->machines_released({"n-000002"}, now);
    report_twice(third);
    m2 = machine("n-000004", "b");
    report_twice(m2);
    EXPECT_FALSE(place()) << "n-000001 still holds a task of the first attempt";
    EXPECT_TRUE(has_command(heartbeat(m1), CommandType::kill, "run-1", machine_of("run-1", 0) == "n-000001" ? 0 : 1));
    heartbeat(m1);
    ASSERT_TRUE(place());
    EXPECT_EQ(leader->job("run-1")->tasks[0].attempt, 2u);
    EXPECT_EQ(leader->job("run-1")->tasks[1].attempt, 2u);
}

// On slow networks some members of a gang have their image a minute before the rest. Ending the whole attempt when the
// first member gave up waiting discarded the fetches of the slow ones repeatedly, and a gang needed 350 s to start.
TEST_F(SchedulerTest, GangMemberThatGaveUpWaitingKeepsItsRoomUntilAllHaveTheirImage) {
    elect();
    auto gang = job("run-1", JobKind::gang, 2);
    gang.need = {8, 2, 40};
    accept(gang);
    settle();
    report_twice(m1);
    report_twice(m2);
    ASSERT_TRUE(place());
    heartbeat(m1);
    heartbeat(m2);
    const auto on_m1 = m1.tasks.at(0).id.index, on_m2 = m2.tasks.at(0).id.index;
    m1.find("run-1", on_m1)->status = TaskStatus::waiting;
    heartbeat(m1);
    heartbeat(m2);
    m1.finish("run-1", on_m1, ExitReason::gang_incomplete);
    heartbeat(m1);
    EXPECT_TRUE(heartbeat(m2).empty()) << "the member is still fetching its image";
    EXPECT_EQ(machine_of("run-1", on_m1), "n-000001");
    m2.find("run-1", on_m2)->status = TaskStatus::waiting;
    heartbeat(m2);
    commit();
    EXPECT_TRUE(has_command(heartbeat(m1), CommandType::run, "run-1", on_m1));
    const auto commands = heartbeat(m2);
    ASSERT_EQ(commands.size(), 2u);
    EXPECT_EQ(commands[0].type, CommandType::kill);
    EXPECT_EQ(commands[0].attempt, 1u);
    EXPECT_EQ(commands[1].type, CommandType::run);
    EXPECT_EQ(commands[1].attempt, 2u);
    EXPECT_EQ(leader->job("run-1")->members_at_barrier, 0u);
}

// A member was lost and found no machine. The room reserved for another member stayed unused for over 90 s beside tasks
// that would have fit (scenarios/teams.toml, seed 6).
TEST_F(SchedulerTest, GangRoomIsReleasedWhenOtherMembersFindNoMachine) {
    elect();
    auto gang = job("run-1", JobKind::gang, 2);
    gang.need = {8, 2, 40};
    accept(gang);
    settle();
    report_twice(m1);
    report_twice(m2);
    ASSERT_TRUE(place());
    heartbeat(m1);
    heartbeat(m2);
    const auto on_m1 = m1.tasks.at(0).id.index;
    m1.find("run-1", on_m1)->status = TaskStatus::waiting;
    heartbeat(m1);
    m1.finish("run-1", on_m1, ExitReason::gang_incomplete);
    heartbeat(m1);
    leader->machines_released({"n-000002"}, now);
    auto other = job("run-2", JobKind::array, 1);
    other.need = {8, 2, 40};
    accept(other);
    settle();
    advance(Seconds(20));
    heartbeat(m1);
    leader->relocate(now);
    EXPECT_EQ(machine_of("run-1", on_m1), "n-000001") << "the other member may find a machine within the timeout";
    advance(Seconds(15));
    heartbeat(m1);
    leader->relocate(now);
    EXPECT_EQ(machine_of("run-1", on_m1), "");
    EXPECT_EQ(leader->job("run-1")->members_at_barrier, 0u);
    commit();
    heartbeat(m1);
    ASSERT_TRUE(place());
    EXPECT_EQ(machine_of("run-2", 0), "n-000001");
}

}  // namespace flintdale::test
