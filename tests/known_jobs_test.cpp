// What a controller keeps of the jobs that it has read, and what it evicts.
#include "api/known_jobs.hpp"

#include <gtest/gtest.h>

#include "model/job.hpp"

namespace flintdale::test {

namespace {
using api::KnownJobs;
using model::JobState;
api::KnownJob job(JobState state) { return {state, {model::JobKind::array, 3}, {}}; }
}  // namespace

TEST(KnownJobsTest, EvictsTheLeastRecentlyAskedJobFirst) {
    KnownJobs known(2);
    known.learn("run-1", job(JobState::open));
    known.learn("run-2", job(JobState::done));
    ASSERT_TRUE(known.find("run-1"));
    known.learn("run-3", job(JobState::open));
    EXPECT_EQ(known.size(), 2u);
    EXPECT_TRUE(known.find("run-1"));
    EXPECT_FALSE(known.find("run-2"));
    EXPECT_TRUE(known.find("run-3"));
}

TEST(KnownJobsTest, JobOnlyMovesForwardWhicheverResponseComesLast) {
    KnownJobs known(2);
    known.learn("run-1", job(JobState::cancelled));
    EXPECT_EQ(known.learn("run-1", job(JobState::open))->state, JobState::cancelled);
    EXPECT_EQ(known.learn("run-1", job(JobState::done))->state, JobState::cancelled);
    EXPECT_EQ(known.find("run-1")->state, JobState::cancelled);
}

TEST(KnownJobsTest, HeldEvidenceDoesNotChange) {
    KnownJobs known(1);
    const auto evidence = known.learn("run-1", job(JobState::open));
    known.learn("run-2", job(JobState::open));
    known.invalidate_open_jobs();
    EXPECT_EQ(known.size(), 0u);
    EXPECT_EQ(evidence->state, JobState::open);
    EXPECT_EQ(evidence->size.tasks, 3u);
}

TEST(KnownJobsTest, AfterARecoveryOnlyFinishedJobsAreStillKnown) {
    KnownJobs known(3);
    known.learn("run-1", job(JobState::open));
    known.learn("run-2", job(JobState::done));
    known.invalidate_open_jobs();
    EXPECT_FALSE(known.find("run-1"));
    EXPECT_TRUE(known.find("run-2"));
}

}  // namespace flintdale::test
