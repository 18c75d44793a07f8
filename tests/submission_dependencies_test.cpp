// Jobs with dependencies: which are accepted, and which are aborted when a dependency is cancelled.
#include "support/submission_fixture.hpp"

namespace flintdale::test {

TEST_F(SubmissionServiceTest, DependenciesAreRefusedBeforeAllControllersCanReadThem) {
    ASSERT_EQ(run(service_1.submit(body("run-1"))).status, 201u);
    const auto r = run(service_1.submit(dependent_body("run-2", R"(["run-1"])")));
    EXPECT_EQ(r.status, 503u);
    EXPECT_GT(r.retry_after, 0u);
    EXPECT_EQ(run(service_1.submit(dependent_body("run-3", "[]"))).status, 201u)
        << "a missing, an empty and a null list mean the same";
    EXPECT_EQ(run(service_1.submit(dependent_body("run-4", "null"))).status, 201u);
    record_format.set_supported_format(state::newest_format);
    EXPECT_EQ(run(service_2.submit(dependent_body("run-2", R"(["run-1","run-1"])"))).status, 201u);
    EXPECT_EQ(run(service_1.submit(dependent_body("run-2", R"(["run-999"])"))).status, 200u)
        << "a repeated submission, whose dependencies are not checked";
}

TEST_F(SubmissionServiceTest, OnlyAcceptedJobsThatCanFinishMayBeDependencies) {
    record_format.set_supported_format(state::newest_format);
    ASSERT_EQ(run(service_1.submit(body("run-1"))).status, 201u);
    auto service = body("run-2");
    service.replace(service.find("array"), 5, "standing");
    ASSERT_EQ(run(service_1.submit(service)).status, 201u);
    EXPECT_EQ(run(service_2.submit(dependent_body("run-3", R"(["run-1","run-9"])"))).status, 422u);
    EXPECT_EQ(run(service_2.submit(dependent_body("run-3", R"(["run-3"])"))).status, 422u)
        << "a job cannot depend on itself";
    EXPECT_EQ(run(service_2.submit(dependent_body("run-3", R"(["run-2"])"))).status, 422u) << "a service is never done";
    for (const auto* bad : {R"("run-1")", R"([1])", R"(["x"])", R"({})"})
        EXPECT_EQ(run(service_2.submit(dependent_body("run-3", bad))).status, 400u) << bad;
    store_outcome("run-1", "done");
    EXPECT_EQ(run(service_2.submit(dependent_body("run-3", R"(["run-1"])"))).status, 201u);
    store.refuse = true;
    EXPECT_EQ(run(service_2.submit(dependent_body("run-4", R"(["run-8"])"))).status, 503u)
        << "without a response it is not certain that run-8 was never accepted";
}

TEST_F(SubmissionServiceTest, AbortedIsReportedAsSoonAsADependencyIsCancelled) {
    record_format.set_supported_format(state::newest_format);
    ASSERT_EQ(run(service_1.submit(body("run-1"))).status, 201u);
    ASSERT_EQ(run(service_1.submit(dependent_body("run-2", R"(["run-1"])"))).status, 201u);
    ASSERT_EQ(run(service_2.submit(dependent_body("run-3", R"(["run-2"])"))).status, 201u);
    EXPECT_EQ(polled_status(service_2, "run-3"), "pending");
    // Without a leader, no outcome of run-2 and run-3 is written yet.
    ASSERT_EQ(run(service_1.cancel("run-1")).status, 200u);
    EXPECT_EQ(polled_status(service_2, "run-3"), "aborted");
    EXPECT_EQ(polled_status(service_1, "run-3"), "aborted");
    EXPECT_NE(run(service_1.submit(dependent_body("run-2", R"(["run-1"])"))).body.find("aborted"), std::string::npos);
    EXPECT_NE(run(service_1.cancel("run-3")).body.find("aborted"), std::string::npos);
}

TEST_F(SubmissionServiceTest, JobWithFinishedDependenciesIsPending) {
    record_format.set_supported_format(state::newest_format);
    ASSERT_EQ(run(service_1.submit(body("run-1"))).status, 201u);
    ASSERT_EQ(run(service_2.submit(dependent_body("run-2", R"(["run-1"])"))).status, 201u);
    store_outcome("run-1", "done");
    EXPECT_EQ(polled_status(service_1, "run-2"), "pending");
    EXPECT_EQ(polled_status(service_1, "run-1"), "done");
    store.refuse = true;
    EXPECT_EQ(polled_status(service_1, "run-2"), "")
        << "the dependency is known to be done, but not whether run-2 is still open";
}

// A poll reported a job as aborted, because a dependency was cancelled, while that state was only in the cache and not
// yet in the state service.
TEST_F(SubmissionServiceTest, AbortByDependencyIsStoredBeforeItIsReported) {
    record_format.set_supported_format(state::newest_format);
    api::SubmissionService small{io.get_executor(), store, cluster, record_format, memory, callbacks(), 1};
    ASSERT_EQ(run(service_2.submit(body("run-1"))).status, 201u);
    ASSERT_EQ(run(service_2.submit(dependent_body("run-2", R"(["run-1"])"))).status, 201u);
    ASSERT_EQ(run(service_2.submit(dependent_body("run-3", R"(["run-2"])"))).status, 201u);
    EXPECT_EQ(polled_status(small, "run-3"), "pending");
    ASSERT_EQ(run(service_2.cancel("run-1")).status, 200u);
    store.lost_commit_answers = 0;
    EXPECT_EQ(polled_status(small, "run-3"), "aborted");
    EXPECT_GT(store.keys.get("jobs/over/run-3").mod_revision, 0u);
    // Another controller reports the same state, and so does this one after the job's eviction from its cache.
    for (int i = 10; i < 14; ++i) ASSERT_EQ(run(small.submit(body("run-" + std::to_string(i)))).status, 201u);
    EXPECT_EQ(polled_status(small, "run-3"), "aborted");
    EXPECT_EQ(polled_status(service_1, "run-3"), "aborted");
    EXPECT_TRUE(reported_cancelled.contains("run-3"));
}

}  // namespace flintdale::test
