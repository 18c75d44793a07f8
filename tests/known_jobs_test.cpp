// The cache of jobs that a controller has read, and its eviction.
#include "api/known_jobs.hpp"

#include <gtest/gtest.h>

#include "model/job.hpp"

namespace flintdale::test {

namespace {
using api::KnownJobs;
using model::JobState;
api::KnownJob job(JobState state) { return {state, {model::JobKind::array, 3}, {}}; }
}  // namespace

TEST(KnownJobsTest, EvictsTheLeastRecentlyUsedJobFirst) {
    KnownJobs cache(2);
    cache.learn("run-1", job(JobState::open));
    cache.learn("run-2", job(JobState::done));
    ASSERT_TRUE(cache.find("run-1"));
    cache.learn("run-3", job(JobState::open));
    EXPECT_EQ(cache.size(), 2u);
    EXPECT_TRUE(cache.find("run-1"));
    EXPECT_FALSE(cache.find("run-2"));
    EXPECT_TRUE(cache.find("run-3"));
}

TEST(KnownJobsTest, EndedJobStaysEndedIfResponsesArriveOutOfOrder) {
    KnownJobs cache(2);
    cache.learn("run-1", job(JobState::cancelled));
    EXPECT_EQ(cache.learn("run-1", job(JobState::open))->state, JobState::cancelled);
    EXPECT_EQ(cache.learn("run-1", job(JobState::done))->state, JobState::cancelled);
    EXPECT_EQ(cache.find("run-1")->state, JobState::cancelled);
}

TEST(KnownJobsTest, ReturnedPointerStaysValidAfterEviction) {
    KnownJobs cache(1);
    const auto job_1 = cache.learn("run-1", job(JobState::open));
    cache.learn("run-2", job(JobState::open));
    cache.invalidate_open_jobs();
    EXPECT_EQ(cache.size(), 0u);
    EXPECT_EQ(job_1->state, JobState::open);
    EXPECT_EQ(job_1->size.tasks, 3u);
}

TEST(KnownJobsTest, OnlyEndedJobsStayInTheCacheAfterARecovery) {
    KnownJobs cache(3);
    cache.learn("run-1", job(JobState::open));
    cache.learn("run-2", job(JobState::done));
    cache.invalidate_open_jobs();
    EXPECT_FALSE(cache.find("run-1"));
    EXPECT_TRUE(cache.find("run-2"));
}

}  // namespace flintdale::test
