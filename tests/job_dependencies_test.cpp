// Jobs with dependencies: when they start, and that they are aborted when a dependency is cancelled.
#include "model/job.hpp"
#include "model/task.hpp"
#include "support/scheduler_harness.hpp"

namespace flintdale::test {

using model::ExitReason;
using model::JobKind;
using model::Priority;

namespace {

struct JobDependenciesTest : ::testing::Test, SchedulerHarness {
    Worker m1, m2;

    JobDependenciesTest() {
        m2.name = "n-000002";
        m2.zone = "b";
        record_format.set_supported_format(state::newest_format);
    }
    void register_worker(Worker& w) {
        heartbeat(w);
        heartbeat(w);
    }
    static model::JobSpec dependent(const std::string& uid, std::vector<std::string> dependencies,
                                    JobKind kind = JobKind::array) {
        auto s = job(uid, kind, 1);
        s.dependencies = std::move(dependencies);
        return s;
    }
    void run_job(const std::string& uid, Worker& w) {
        settle();
        register_worker(w);
        ASSERT_TRUE(place()) << uid;
        heartbeat(w);
        w.run_all();
        heartbeat(w);
    }
    // The job's only task completes, and the leader writes the outcome.
    void finish_job(const std::string& uid, Worker& w) {
        w.finish(uid, 0, ExitReason::done);
        heartbeat(w);
        commit();
        ASSERT_EQ(state_of(uid), "done");
        heartbeat(w);
    }
};

}  // namespace

TEST_F(JobDependenciesTest, JobIsNotPlacedBeforeAllDependenciesAreStoredAsDone) {
    elect();
    accept(job("run-1", JobKind::array, 2));
    accept(dependent("run-2", {"run-1"}));
    settle();
    register_worker(m1);
    ASSERT_TRUE(place());
    heartbeat(m1);
    m1.run_all();
    m1.finish("run-1", 0, ExitReason::done);
    heartbeat(m1);
    EXPECT_FALSE(place()) << "only one of two tasks is done";
    m1.finish("run-1", 1, ExitReason::done);
    heartbeat(m1);
    EXPECT_FALSE(leader->place(now)) << "the outcome of run-1 is not committed yet";
    commit();
    EXPECT_TRUE(place()) << "run-2 does not wait for another batching window";
    EXPECT_EQ(machine_of("run-2", 0), "n-000001");
}

TEST_F(JobDependenciesTest, OutcomeIsReadAgainAfterALostWriteResponse) {
    elect();
    accept(job("run-1", JobKind::array, 1));
    accept(dependent("run-2", {"run-1"}));
    run_job("run-1", m1);
    m1.finish("run-1", 0, ExitReason::done);
    heartbeat(m1);
    const auto batch = leader->next_batch(1000);
    ASSERT_EQ(keys.commit(batch.txn).outcome, state::Outcome::ok);  // the response is lost
    EXPECT_FALSE(leader->place(now));
    for (const auto& key : batch.keys) leader->record_reread(keys.get(key), now);
    leader->batch_failed(batch);
    EXPECT_TRUE(place());
}

TEST_F(JobDependenciesTest, NewLeaderWaitsUntilItHasReadHowADependencyEnded) {
    elect();
    accept(job("run-1", JobKind::array, 1));
    run_job("run-1", m1);
    finish_job("run-1", m1);
    accept(dependent("run-2", {"run-1"}));
    EXPECT_TRUE(leader->keys_to_read().empty()) << "this leader remembers the outcome";
    elect();
    settle();
    register_worker(m1);
    EXPECT_FALSE(place());
    EXPECT_EQ(leader->keys_to_read(), std::vector<std::string>{"jobs/over/run-1"});
    read_missing();
    EXPECT_TRUE(place());
    EXPECT_TRUE(leader->keys_to_read().empty());
}

TEST_F(JobDependenciesTest, LeftoverWorkRecordsDoNotCountAsADoneDependency) {
    // run-1 was cancelled, and the leader died before it removed the work records. The next leader knows that the job
    // has ended, but not whether it is done or cancelled until it reads the outcome.
    elect();
    accept(job("run-1", JobKind::array, 1));
    accept(dependent("run-2", {"run-1"}));
    ASSERT_TRUE(cancel("run-1"));
    elect();
    settle();
    register_worker(m1);
    EXPECT_FALSE(place());
    read_missing();
    EXPECT_FALSE(place());
    commit();
    EXPECT_EQ(state_of("run-2"), "aborted");
}

TEST_F(JobDependenciesTest, DependentMayBecomeKnownBeforeItsDependency) {
    elect();
    accept(job("run-9", JobKind::array, 1));
    leader.reset();
    accept(dependent("run-2", {"run-1"}));
    accept(job("run-1", JobKind::array, 1));
    elect();
    settle();
    register_worker(m1);
    EXPECT_TRUE(place());
    EXPECT_EQ(machine_of("run-2", 0), "");
    EXPECT_TRUE(leader->keys_to_read().empty()) << "the leader knows both jobs by now";
}

TEST_F(JobDependenciesTest, PlacedDependentContinuesUnderTheNextLeader) {
    elect();
    accept(job("run-1", JobKind::array, 1));
    accept(dependent("run-2", {"run-1"}));
    run_job("run-1", m1);
    finish_job("run-1", m1);
    run_job("run-2", m1);
    elect();
    settle();
    register_worker(m1);
    EXPECT_TRUE(leader->keys_to_read().empty());
    m1.finish("run-2", 0, ExitReason::stopped);
    heartbeat(m1);
    EXPECT_TRUE(place());
}

TEST_F(JobDependenciesTest, CancelledJobAbortsDirectAndIndirectDependents) {
    elect();
    accept(job("run-1", JobKind::array, 1));
    accept(dependent("run-2", {"run-1"}));
    accept(dependent("run-3", {"run-1"}));
    accept(dependent("run-4", {"run-2", "run-3"}));
    accept(job("run-5", JobKind::array, 1));
    ASSERT_TRUE(cancel("run-1"));
    sync_job("run-1");
    commit();
    for (const auto* uid : {"run-2", "run-3", "run-4"}) {
        EXPECT_EQ(state_of(uid), "aborted") << uid;
        EXPECT_FALSE(leader->knows(uid)) << uid;
    }
    EXPECT_EQ(state_of("run-5"), "open");
    accept(dependent("run-6", {"run-4"}));
    commit();
    EXPECT_EQ(state_of("run-6"), "aborted") << "its dependency is already cancelled";
}

TEST_F(JobDependenciesTest, NextLeaderContinuesAbortingDependents) {
    elect();
    accept(job("run-1", JobKind::array, 1));
    for (int i = 2; i < 12; ++i) accept(dependent("run-" + std::to_string(i), {"run-" + std::to_string(i - 1)}));
    ASSERT_TRUE(cancel("run-1"));
    sync_job("run-1");
    lower_limits(2048, 4);
    ASSERT_TRUE(commit_one());  // the first of three transactions
    elect();
    read_missing();
    commit();
    for (int i = 2; i < 12; ++i) EXPECT_EQ(state_of("run-" + std::to_string(i)), "aborted") << i;
}

TEST_F(JobDependenciesTest, HundredsOfAbortsAreCommittedBeforeOtherRecords) {
    elect();
    for (int i = 0; i < 20; ++i) accept(job("run-a" + std::to_string(i), JobKind::array, 1));
    accept(job("run-1", JobKind::array, 1));
    for (int i = 0; i < 300; ++i) accept(dependent("run-b" + std::to_string(i), {"run-1"}));
    settle();
    register_worker(m1);
    ASSERT_TRUE(leader->place(now));
    ASSERT_TRUE(cancel("run-1"));
    sync_job("run-1");
    lower_limits(2048, 4);
    for (int i = 0; i < 75; ++i) ASSERT_TRUE(commit_one());
    for (int i = 0; i < 300; ++i) ASSERT_EQ(state_of("run-b" + std::to_string(i)), "aborted") << i;
}

TEST_F(JobDependenciesTest, DependentAcceptedWhileAnotherControllerCancelsItsDependencyIsAborted) {
    elect();
    accept(job("run-1", JobKind::array, 1));
    ASSERT_TRUE(cancel("run-1"));
    accept(dependent("run-2", {"run-1"}));  // the leader learns of run-2 before the cancellation
    settle();
    register_worker(m1);
    place();
    EXPECT_EQ(machine_of("run-2", 0), "");
    sync_job("run-1");
    commit();
    EXPECT_EQ(state_of("run-2"), "aborted");
}

TEST_F(JobDependenciesTest, CancellationAfterTheEndLetsTheDependentContinue) {
    elect();
    accept(job("run-1", JobKind::array, 1));
    accept(dependent("run-2", {"run-1"}));
    run_job("run-1", m1);
    finish_job("run-1", m1);
    EXPECT_FALSE(cancel("run-1"));
    register_worker(m1);
    EXPECT_TRUE(place());
    EXPECT_EQ(state_of("run-2"), "open");
}

TEST_F(JobDependenciesTest, CancelledDependentNoLongerRaisesThePriorityOfItsDependency) {
    elect();
    auto first = job("run-1", JobKind::array, 1);
    first.priority = Priority::idle;
    accept(first);
    auto last = dependent("run-2", {"run-1"});
    last.priority = Priority::high;
    accept(last);
    EXPECT_EQ(leader->job("run-1")->priority, Priority::high);
    ASSERT_TRUE(cancel("run-2"));
    sync_job("run-2");
    commit();
    EXPECT_EQ(state_of("run-2"), "aborted");
    EXPECT_EQ(leader->job("run-1")->priority, Priority::idle);
    EXPECT_EQ(state_of("run-1"), "open");
}

TEST_F(JobDependenciesTest, WaitingDependentCausesNoScaleOutReservationOrPreemptionAndUsesNoQuota) {
    elect();
    auto first = job("run-1", JobKind::array, 1);
    first.team = "limited";  // two such tasks use up the team's limit
    accept(first);
    auto waiting = dependent("run-2", {"run-1"}, JobKind::gang);
    waiting.tasks = 2;
    waiting.team = "limited";
    waiting.priority = Priority::critical;
    accept(waiting);
    auto other = job("run-3", JobKind::array, 1);
    other.team = "limited";
    other.priority = Priority::idle;
    accept(other);
    settle();
    EXPECT_EQ(leader->scale_out(now).size(), 1u);
    register_worker(m1);
    ASSERT_TRUE(place());
    EXPECT_EQ(leader->job("run-1")->placed + leader->job("run-3")->placed, 2u);
    EXPECT_TRUE(leader->scale_out(now).empty());
    EXPECT_FALSE(leader->job("run-3")->tasks[0].draining);
}

TEST_F(JobDependenciesTest, FirstJobOfACriticalChainPrecedesShorterLessUrgentJobs) {
    elect();
    auto first = job("run-1", JobKind::array, 2);
    first.priority = Priority::idle;
    accept(first);
    auto shorter = job("run-0", JobKind::array, 2);
    shorter.estimated_runtime = Seconds(5);
    accept(shorter);
    auto last = dependent("run-2", {"run-1"});
    last.priority = Priority::high;
    accept(last);
    settle();
    register_worker(m1);
    ASSERT_TRUE(place());
    EXPECT_EQ(machine_of("run-1", 0), "n-000001");
    EXPECT_EQ(machine_of("run-0", 0), "");
}

TEST_F(JobDependenciesTest, WaitCountsFromTheLastDependencysEndUnderTheNextLeaderToo) {
    elect();
    accept(job("run-1", JobKind::array, 1));
    accept(dependent("run-2", {"run-1"}));
    run_job("run-1", m1);
    advance(Seconds(300));
    wall_ms = 1'300'000;
    finish_job("run-1", m1);
    EXPECT_EQ(leader->job("run-2")->arrived, now);
    EXPECT_EQ(leader->job("run-2")->window, 1'300'000 / 5'000);
    elect();
    read_missing();
    EXPECT_EQ(leader->job("run-2")->window, 1'300'000 / 5'000);
}

}  // namespace flintdale::test
