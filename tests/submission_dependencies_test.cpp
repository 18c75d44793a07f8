// Jobs that depend on others: which are accepted, and what follows when a dependency is cancelled.
#include "support/submission_fixture.hpp"

namespace flintdale::test {

TEST_F(SubmissionServiceTest, DependenciesAreRefusedBeforeAllControllersCanReadThem) {
    ASSERT_EQ(run(one.submit(body("run-1"))).status, 201u);
    const auto r = run(one.submit(body_after("run-2", R"(["run-1"])")));
    EXPECT_EQ(r.status, 503u);
    EXPECT_GT(r.retry_after, 0u);
    EXPECT_EQ(run(one.submit(body_after("run-3", "[]"))).status, 201u) << "none, empty and null are the same";
    EXPECT_EQ(run(one.submit(body_after("run-4", "null"))).status, 201u);
    record_format.set_supported_format(state::newest_format);
    EXPECT_EQ(run(two.submit(body_after("run-2", R"(["run-1","run-1"])"))).status, 201u);
    EXPECT_EQ(run(one.submit(body_after("run-2", R"(["run-999"])"))).status, 200u) << "a repetition, whatever it names";
}

TEST_F(SubmissionServiceTest, OnlyAcceptedJobsThatCanFinishMayBeDependencies) {
    record_format.set_supported_format(state::newest_format);
    ASSERT_EQ(run(one.submit(body("run-1"))).status, 201u);
    auto service = body("run-2");
    service.replace(service.find("array"), 5, "standing");
    ASSERT_EQ(run(one.submit(service)).status, 201u);
    EXPECT_EQ(run(two.submit(body_after("run-3", R"(["run-1","run-9"])"))).status, 422u);
    EXPECT_EQ(run(two.submit(body_after("run-3", R"(["run-3"])"))).status, 422u) << "itself";
    EXPECT_EQ(run(two.submit(body_after("run-3", R"(["run-2"])"))).status, 422u) << "a service is never done";
    for (const auto* bad : {R"("run-1")", R"([1])", R"(["x"])", R"({})"})
        EXPECT_EQ(run(two.submit(body_after("run-3", bad))).status, 400u) << bad;
    end("run-1", "done");
    EXPECT_EQ(run(two.submit(body_after("run-3", R"(["run-1"])"))).status, 201u);
    store.refuse = true;
    EXPECT_EQ(run(two.submit(body_after("run-4", R"(["run-8"])"))).status, 503u) << "silence is no proof";
}

TEST_F(SubmissionServiceTest, AbortedIsReportedAsSoonAsADependencyIsCancelled) {
    record_format.set_supported_format(state::newest_format);
    ASSERT_EQ(run(one.submit(body("run-1"))).status, 201u);
    ASSERT_EQ(run(one.submit(body_after("run-2", R"(["run-1"])"))).status, 201u);
    ASSERT_EQ(run(two.submit(body_after("run-3", R"(["run-2"])"))).status, 201u);
    EXPECT_EQ(polled_status(two, "run-3"), "pending");
    // No leader is there to put the end of run-2 and run-3 on record.
    ASSERT_EQ(run(one.cancel("run-1")).status, 200u);
    EXPECT_EQ(polled_status(two, "run-3"), "aborted");
    EXPECT_EQ(polled_status(one, "run-3"), "aborted");
    EXPECT_NE(run(one.submit(body_after("run-2", R"(["run-1"])"))).body.find("aborted"), std::string::npos);
    EXPECT_NE(run(one.cancel("run-3")).body.find("aborted"), std::string::npos);
}

TEST_F(SubmissionServiceTest, JobWithFinishedDependenciesIsPending) {
    record_format.set_supported_format(state::newest_format);
    ASSERT_EQ(run(one.submit(body("run-1"))).status, 201u);
    ASSERT_EQ(run(two.submit(body_after("run-2", R"(["run-1"])"))).status, 201u);
    end("run-1", "done");
    EXPECT_EQ(polled_status(one, "run-2"), "pending");
    EXPECT_EQ(polled_status(one, "run-1"), "done");
    store.refuse = true;
    EXPECT_EQ(polled_status(one, "run-2"), "") << "what it needs is known to be done, but not whether it is open";
}

// Users were once told that a job was aborted, because a dependency was cancelled, before that was on record: it was in
// the cache alone.
TEST_F(SubmissionServiceTest, AbortByDependencyIsOnRecordBeforeItIsReported) {
    record_format.set_supported_format(state::newest_format);
    api::SubmissionService small{io.get_executor(), store, cluster, record_format, memory, callbacks(), 1};
    ASSERT_EQ(run(two.submit(body("run-1"))).status, 201u);
    ASSERT_EQ(run(two.submit(body_after("run-2", R"(["run-1"])"))).status, 201u);
    ASSERT_EQ(run(two.submit(body_after("run-3", R"(["run-2"])"))).status, 201u);
    EXPECT_EQ(polled_status(small, "run-3"), "pending");
    ASSERT_EQ(run(two.cancel("run-1")).status, 200u);
    store.lost_commit_answers = 0;
    EXPECT_EQ(polled_status(small, "run-3"), "aborted");
    EXPECT_GT(store.keys.get("jobs/over/run-3").mod_revision, 0u);
    // Another controller reports the same, and so does this one while many other jobs are in its cache.
    for (int i = 10; i < 14; ++i) ASSERT_EQ(run(small.submit(body("run-" + std::to_string(i)))).status, 201u);
    EXPECT_EQ(polled_status(small, "run-3"), "aborted");
    EXPECT_EQ(polled_status(one, "run-3"), "aborted");
    EXPECT_TRUE(reported_cancelled.contains("run-3"));
}

}  // namespace flintdale::test
