// Records are written before the leader acts on them, and conflicting writes are detected.
#include "model/task.hpp"
#include "support/scheduler_fixture.hpp"

namespace flintdale::test {

using model::ExitReason;
using model::JobKind;

TEST_F(SchedulerTest, RunCommandIsSentOnlyAfterItsPlacementIsRecorded) {
    elect();
    accept(job("run-1", JobKind::array, 1));
    settle();
    report_twice(m1);
    ASSERT_TRUE(leader->place(now));
    EXPECT_FALSE(has_command(heartbeat(m1), CommandType::run, "run-1", 0));
    commit();
    EXPECT_TRUE(has_command(heartbeat(m1), CommandType::run, "run-1", 0));
}

TEST_F(SchedulerTest, OldLeaderCannotRecordAPlacement) {
    elect();
    accept(job("run-1", JobKind::array, 1));
    settle();
    report_twice(m1);
    auto old = std::move(leader);
    elect();
    ASSERT_TRUE(old->place(now));
    const auto batch = old->next_batch(1000);
    EXPECT_EQ(keys.commit(batch.txn).outcome, state::Outcome::conflict);
    EXPECT_TRUE(keys.get("jobs/work/run-1").value.as_object().at("tasks").as_array().empty());
}

// A write without an answer may be executed after newer writes of the same leader. The condition on the term does not
// prevent that.
TEST_F(SchedulerTest, LateWriteOfTheSameTermDoesNotUndoANewerOne) {
    elect();
    accept(job("run-1", JobKind::array, 1));
    settle();
    report_twice(m1);
    ASSERT_TRUE(leader->place(now));
    const auto late = leader->next_batch(100, wall_ms);  // places the task on the first machine; the answer is lost
    ASSERT_FALSE(late.empty());
    for (const auto& key : late.keys) leader->record_reread(keys.get(key), now);
    leader->batch_failed(late);
    // The first machine is released, and the task is placed on the second.
    leader->machines_released({m1.name}, now);
    settle();
    report_twice(m2);
    ASSERT_TRUE(place());
    ASSERT_EQ(machine_of("run-1", 0), m2.name);
    EXPECT_EQ(keys.commit(late.txn).outcome, state::Outcome::conflict);
    EXPECT_TRUE(on_record("run-1", m2.name));
}

// The late write may also be executed between the reread and the retry. The retry then fails, rereads the record and
// succeeds.
TEST_F(SchedulerTest, LateWriteBeforeTheNextTryIsReadAgain) {
    elect();
    accept(job("run-1", JobKind::array, 1));
    settle();
    report_twice(m1);
    ASSERT_TRUE(leader->place(now));
    const auto late = leader->next_batch(100, wall_ms);
    for (const auto& key : late.keys) leader->record_reread(keys.get(key), now);
    leader->batch_failed(late);
    leader->machines_released({m1.name}, now);
    settle();
    report_twice(m2);
    ASSERT_TRUE(leader->place(now));
    EXPECT_EQ(keys.commit(late.txn).outcome, state::Outcome::ok);
    ASSERT_TRUE(on_record("run-1", m1.name));
    // No task may start on the second machine before the record names that machine.
    EXPECT_FALSE(has_command(heartbeat(m2), CommandType::run, "run-1", 0));
    commit();
    EXPECT_TRUE(on_record("run-1", m2.name));
    EXPECT_TRUE(has_command(heartbeat(m2), CommandType::run, "run-1", 0));
}

TEST_F(SchedulerTest, JobIsDoneOnlyWhenItsLastTaskIs) {
    elect();
    start(job("run-1", JobKind::array, 2), {&m1});
    m1.finish("run-1", 0, ExitReason::done);
    heartbeat(m1);
    commit();
    EXPECT_EQ(state_of("run-1"), "open");
    m1.finish("run-1", 1, ExitReason::error);
    heartbeat(m1);
    commit();
    EXPECT_EQ(state_of("run-1"), "open");
    settle();
    report_twice(m2);
    ASSERT_TRUE(place());
    heartbeat(m2);
    m2.finish("run-1", 1, ExitReason::done);
    heartbeat(m2);
    commit();
    EXPECT_EQ(state_of("run-1"), "done");
}

// The watch for new jobs also delivers the leader's own writes, possibly late.
TEST_F(SchedulerTest, LateReadOfItsRecordDoesNotReopenAJob) {
    elect();
    start(job("run-1", JobKind::array, 1), {&m1});
    const auto written = keys.get("jobs/work/run-1");
    m1.finish("run-1", 0, ExitReason::done);
    heartbeat(m1);
    commit();
    ASSERT_EQ(state_of("run-1"), "done");
    ASSERT_EQ(leader->job("run-1"), nullptr);
    EXPECT_FALSE(leader->job_changed(written, now));
    EXPECT_EQ(leader->job("run-1"), nullptr);
    // If the record has not been removed yet, the next leader recognises that the job is over.
    keys.commit({{}, {{written.key, written.value, 0}}});
    elect();
    ASSERT_NE(leader->job("run-1"), nullptr) << "its task may run on the machine that the record names";
    settle();
    report_twice(m1);
    EXPECT_FALSE(place());
    commit();
    EXPECT_EQ(leader->job("run-1"), nullptr);
    EXPECT_EQ(keys.get("jobs/work/run-1").mod_revision, 0u);
}

TEST_F(SchedulerTest, CancellationAndCompletionRaceForOneOutcome) {
    elect();
    start(job("run-1", JobKind::array, 1), {&m1});
    m1.finish("run-1", 0, ExitReason::done);
    heartbeat(m1);
    ASSERT_TRUE(cancel("run-1")) << "the outcome is not recorded yet";
    commit();
    EXPECT_EQ(state_of("run-1"), "aborted");

    start(job("run-2", JobKind::array, 1), {&m1});
    m1.finish("run-2", 0, ExitReason::done);
    heartbeat(m1);
    commit();
    EXPECT_EQ(state_of("run-2"), "done");
    EXPECT_FALSE(cancel("run-2"));
    EXPECT_EQ(state_of("run-2"), "done");
}

TEST_F(SchedulerTest, WorkerClearsAnExitedTaskOnlyOnceItIsRecorded) {
    elect();
    start(job("run-1", JobKind::array, 2), {&m1});
    m1.finish("run-1", 0, ExitReason::done);
    heartbeat(m1);
    EXPECT_FALSE(has_command(heartbeat(m1), CommandType::clear, "run-1", 0));
    elect();  // the leader ends before its write; the worker still reports the exit
    report_twice(m1);
    EXPECT_EQ(leader->count("run-1")->done, 1u);
    settle();
    place();  // writes the deferred records that are due
    EXPECT_TRUE(has_command(heartbeat(m1), CommandType::clear, "run-1", 0));
}

// With thousands of tasks ending all the time, one write for each would leave no writes for users and placements.
TEST_F(SchedulerTest, FinishedTasksShareAWriteAndTheLastOneIsWrittenAtOnce) {
    elect();
    start(job("run-1", JobKind::array, 2), {&m1});
    m1.finish("run-1", 0, ExitReason::done);
    heartbeat(m1);
    EXPECT_TRUE(leader->next_batch(1000).empty());
    m1.finish("run-1", 1, ExitReason::done);
    heartbeat(m1);
    commit();
    EXPECT_EQ(state_of("run-1"), "done");
}

TEST_F(SchedulerTest, JobAcceptedWithoutALeaderIsPlacedByTheNextOne) {
    accept(job("run-1", JobKind::array, 1));  // there is no leader
    elect();
    settle();
    report_twice(m1);
    EXPECT_TRUE(place());
    EXPECT_EQ(machine_of("run-1", 0), "n-000001");
}

}  // namespace flintdale::test
