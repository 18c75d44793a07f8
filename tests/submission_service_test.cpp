// Which submissions are accepted, and the replies for unknown jobs.
#include "support/submission_fixture.hpp"

namespace flintdale::test {

TEST_F(SubmissionServiceTest, RepeatedSubmissionToAnotherControllerIsNotAcceptedAgain) {
    EXPECT_EQ(run(service_1.submit(body("run-1"))).status, 201u);
    EXPECT_EQ(run(service_2.submit(body("run-1"))).status, 200u);
    EXPECT_EQ(run(service_2.poll("run-1")).status, 200u);
}

TEST_F(SubmissionServiceTest, AcceptedJobStaysAcceptedIfARepetitionIsInvalid) {
    ASSERT_EQ(run(service_1.submit(body("run-1"))).status, 201u);
    EXPECT_EQ(run(service_2.submit(body("run-1", "nobody"))).status, 200u);
    EXPECT_EQ(run(service_2.submit(body("run-1", "team", 0))).status, 200u);
    EXPECT_EQ(run(service_2.submit(body("run-2", "nobody"))).status, 422u);
    EXPECT_EQ(run(service_2.submit(body("run-2", "team", 0))).status, 400u);
    EXPECT_EQ(run(service_2.submit("{")).status, 400u);
}

TEST_F(SubmissionServiceTest, SubmissionThatWouldWaitLongIsRefusedWithRetryAfter) {
    store.write_wait_time = std::chrono::duration<double>(3.2);
    const auto refused = run(service_1.submit(body("run-1")));
    EXPECT_EQ(refused.status, 503u);
    EXPECT_EQ(refused.retry_after, 4u);
    EXPECT_EQ(store.commits, 0);
    store.write_wait_time = std::chrono::duration<double>(0.5);
    EXPECT_EQ(run(service_1.submit(body("run-1"))).status, 201u);
}

TEST_F(SubmissionServiceTest, InfeasibleJobIsRejectedAndUnknownMachineTypesAreRetried) {
    auto huge = body("run-1");
    huge.replace(huge.find("4.0"), 3, "999");
    EXPECT_EQ(run(service_1.submit(huge)).status, 422u);
    types_known = false;
    const auto r = run(service_1.submit(body("run-2")));
    EXPECT_EQ(r.status, 503u);
    EXPECT_GT(r.retry_after, 0u);
    EXPECT_EQ(store.keys.get("jobs/work/run-2").mod_revision, 0u);
}

// A job that cannot run is never accepted: not after a repetition, before the machine types are known, or in an outage.
TEST_F(SubmissionServiceTest, InfeasibleOrIncompleteJobIsNeverAccepted) {
    auto incomplete = body("run-1"), unknown_zone = body("run-2"), contradictory = body("run-3", "team", 2);
    incomplete.replace(incomplete.find(R"("scatter":false,)"), 16, "");
    unknown_zone.replace(unknown_zone.find(R"("hall":null)"), 11, R"("hall":"z")");
    contradictory.replace(contradictory.find("array"), 5, "ensemble");
    contradictory.replace(contradictory.find(R"("one_zone":false,"scatter":false)"), 32,
                          R"("one_zone":true,"scatter":true)");
    const auto submit_all = [&](unsigned incomplete_status, unsigned infeasible_status) {
        EXPECT_EQ(run(service_1.submit(incomplete)).status, incomplete_status);
        EXPECT_EQ(run(service_1.submit(unknown_zone)).status, infeasible_status);
        EXPECT_EQ(run(service_2.submit(contradictory)).status, infeasible_status);
    };
    store.refuse = true;
    submit_all(503, 503);
    store.refuse = false;
    types_known = false;
    submit_all(400, 503);
    types_known = true;
    for (int i = 0; i < 2; ++i) submit_all(400, 422);
    EXPECT_TRUE(store.keys.range("jobs/").empty());
}

TEST_F(SubmissionServiceTest, AcceptedJobIsStoredEvenIfTheWriteResponseWasLost) {
    store.lost_commit_answers = 1;
    EXPECT_EQ(run(service_1.submit(body("run-1"))).status, 200u);
    EXPECT_GT(store.keys.get("jobs/work/run-1").mod_revision, 0u);
    store.refuse = true;
    EXPECT_EQ(run(service_1.submit(body("run-2"))).status, 503u);
}

TEST_F(SubmissionServiceTest, UnknownJobsAndMalformedIdsAreNotFound) {
    EXPECT_EQ(run(service_1.poll("run-9")).status, 404u);
    EXPECT_EQ(run(service_1.poll("run-9/../x")).status, 404u);
    EXPECT_EQ(run(service_1.cancel("run-9")).status, 404u);
}

TEST_F(SubmissionServiceTest, SubmissionTooLongForTheOldFormatIsRetriedAndOneThatNeverFitsIsRejected) {
    std::string types = R"(["small")", names = R"(["run-1")";
    for (int i = 0; i < 200; ++i) {
        types += ",\"type-number-" + std::to_string(i) + '"';
        names += ",\"run-" + std::to_string(100 + i) + '"';
    }
    auto many = body("run-1");
    many.replace(many.find(R"("hosttypes":null)"), 16, R"("hosttypes":)" + types + "]");
    EXPECT_EQ(run(service_1.submit(many)).status, 503u);
    auto next = cluster;
    next.next_store_limits = next.store_limits;
    next.next_store_limits->value_bytes = 2048;
    next.next_store_limits->txn_ops = 4;
    record_format = state::RecordFormat(next);
    record_format.set_supported_format(state::newest_format);
    EXPECT_EQ(run(service_1.submit(many)).status, 201u);
    EXPECT_EQ(polled_status(service_2, "run-1"), "pending");
    ASSERT_EQ(run(service_2.cancel("run-1")).status, 200u);
    EXPECT_EQ(polled_status(service_1, "run-1"), "aborted");
    auto more = body("run-2");
    more.replace(more.find(R"("hosttypes":null)"), 16,
                 R"("hosttypes":)" + types + types.substr(1).insert(0, ",") + types.substr(1).insert(0, ",") + "]");
    const auto r = run(service_1.submit(more));
    EXPECT_EQ(r.status, 400u);
    EXPECT_NE(r.body.find("hosttypes"), std::string::npos);
}

}  // namespace flintdale::test
