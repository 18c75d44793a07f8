// What is on record before it is acted on, and conflicting writes.
#include "model/task.hpp"
#include "support/scheduler_fixture.hpp"

namespace flintdale::test {

using model::ExitReason;
using model::JobKind;

TEST_F(SchedulerTest, NoRunCommandLeavesBeforeItsIntentIsOnRecord) {
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

// A write that got no answer may be carried out after newer ones of the same leader, which the term alone does not
// order.
TEST_F(SchedulerTest, LateWriteOfTheSameTermDoesNotUndoANewerOne) {
    elect();
    accept(job("run-1", JobKind::array, 1));
    settle();
    report_twice(m1);
    ASSERT_TRUE(leader->place(now));
    const auto late = leader->next_batch(100, wall_ms);  // places it on the first machine, and gets no answer
    ASSERT_FALSE(late.empty());
    for (const auto& key : late.keys) leader->record_reread(keys.get(key), now);
    leader->batch_failed(late);
    // That machine is returned, and the task placed on another.
    leader->machines_released({m1.name}, now);
    settle();
    report_twice(m2);
    ASSERT_TRUE(place());
    ASSERT_EQ(machine_of("run-1", 0), m2.name);
    EXPECT_EQ(keys.commit(late.txn).outcome, state::Outcome::conflict);
    EXPECT_TRUE(on_record("run-1", m2.name));
}

// It may also be carried out between the reread and the retry: the retry then fails, reads again, and succeeds.
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
    // Nothing may start on the second machine before the record names it.
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

// The watch for new jobs shows the leader's own writes as well, and may show them late.
TEST_F(SchedulerTest, LateReadOfItsRecordDoesNotBringAJobBack) {
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
    // And where the record has not been removed yet, the next leader sees that the job is over.
    keys.commit({{}, {{written.key, written.value, 0}}});
    elect();
    ASSERT_NE(leader->job("run-1"), nullptr) << "its task may be on the machine that the record names";
    settle();
    report_twice(m1);
    EXPECT_FALSE(place());
    commit();
    EXPECT_EQ(leader->job("run-1"), nullptr);
    EXPECT_EQ(keys.get("jobs/work/run-1").mod_revision, 0u);
}

TEST_F(SchedulerTest, CancellationAndLastExitRaceAndOneWins) {
    elect();
    start(job("run-1", JobKind::array, 1), {&m1});
    m1.finish("run-1", 0, ExitReason::done);
    heartbeat(m1);
    ASSERT_TRUE(cancel("run-1")) << "the leader's record of the end is not written yet";
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

TEST_F(SchedulerTest, WorkerForgetsAnOutcomeOnlyOnceItIsOnRecord) {
    elect();
    start(job("run-1", JobKind::array, 2), {&m1});
    m1.finish("run-1", 0, ExitReason::done);
    heartbeat(m1);
    EXPECT_FALSE(has_command(heartbeat(m1), CommandType::clear, "run-1", 0));
    elect();  // the leader dies without having written it: the worker still tells
    report_twice(m1);
    EXPECT_EQ(leader->count("run-1")->done, 1u);
    settle();
    place();  // puts on record what is due
    EXPECT_TRUE(has_command(heartbeat(m1), CommandType::clear, "run-1", 0));
}

// With thousands of tasks ending all the time, a write for each would leave none for users and placements.
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

TEST_F(SchedulerTest, AcceptedWorkOutlivesEveryController) {
    accept(job("run-1", JobKind::array, 1));  // no leader was there to hear of it
    elect();
    settle();
    report_twice(m1);
    EXPECT_TRUE(place());
    EXPECT_EQ(machine_of("run-1", 0), "n-000001");
}

}  // namespace flintdale::test
