// Statuses reported by polls and cancellations: from the cache, during concurrent checks, and in an outage.
#include "support/submission_fixture.hpp"

namespace flintdale::test {

TEST_F(SubmissionServiceTest, NoControllerAnswersFromAStaleCache) {
    ASSERT_EQ(run(service_1.submit(body("run-1"))).status, 201u);
    ASSERT_EQ(run(service_2.poll("run-1")).status, 200u);
    ASSERT_NE(run(service_1.cancel("run-1")).body.find("aborted"), std::string::npos);
    EXPECT_NE(run(service_2.poll("run-1")).body.find("aborted"), std::string::npos);
    EXPECT_NE(run(service_2.submit(body("run-1"))).body.find("aborted"), std::string::npos);
}

TEST_F(SubmissionServiceTest, OnlyFinalStatesAreReportedDuringAnOutage) {
    ASSERT_EQ(run(service_1.submit(body("run-1"))).status, 201u);
    ASSERT_EQ(run(service_1.submit(body("run-2"))).status, 201u);
    ASSERT_EQ(run(service_1.cancel("run-2")).status, 200u);
    store.refuse = true;
    EXPECT_EQ(run(service_1.poll("run-1")).status, 503u);
    EXPECT_EQ(run(service_1.poll("run-2")).status, 200u);
    EXPECT_EQ(run(service_1.cancel("run-1")).status, 503u);
}

TEST_F(SubmissionServiceTest, ConcurrentPollsShareTheirChecks) {
    for (int i = 0; i < 20; ++i) ASSERT_EQ(run(service_1.submit(body("run-" + std::to_string(i)))).status, 201u);
    store.commits = 0;
    int good = 0;
    for (int i = 0; i < 20; ++i)
        net::asio::co_spawn(io, service_1.poll("run-" + std::to_string(i)),
                            [&](std::exception_ptr, net::Reply r) { good += r.status == 200; });
    io.restart();
    io.run();
    EXPECT_EQ(good, 20);
    EXPECT_LE(store.commits, 2);
}

// Accepted jobs got status 404, because the cache had evicted them between the check and a later lookup
// (docs/incidents/cache-emptied-in-use.md).
TEST_F(SubmissionServiceTest, NoAcceptedJobIsUnknownWithACacheSmallerThanTheNumberOfJobs) {
    api::SubmissionService small{io.get_executor(), store, cluster, record_format, memory, callbacks(), 1};
    for (int i = 1; i <= 6; ++i) ASSERT_EQ(run(service_2.submit(body("run-" + std::to_string(i)))).status, 201u);
    store_outcome("run-5", "done");
    for (int round = 0; round < 3; ++round) {
        std::vector<net::awaitable<net::Reply>> calls;
        for (int i = 1; i <= 6; ++i) calls.push_back(small.poll("run-" + std::to_string(i)));
        for (int i = 1; i <= 6; ++i) calls.push_back(small.submit(body("run-" + std::to_string(i), "nobody")));
        const auto replies = run_all(std::move(calls));
        for (std::size_t i = 0; i < replies.size(); ++i)
            EXPECT_EQ(status_in(replies[i]), i % 6 == 4 ? "done" : "pending") << replies[i].status << replies[i].body;
    }
    EXPECT_EQ(run(small.cancel("run-5")).status, 200u);
    EXPECT_EQ(status_in(run(small.cancel("run-1"))), "aborted");
    EXPECT_EQ(run(small.poll("run-7")).status, 404u);
}

// One comparison without a response blocked all later checks until their clients had timed out.
TEST_F(SubmissionServiceTest, ComparisonWithoutResponseBlocksNoOtherCheck) {
    model::TimePoint now{std::chrono::seconds(1000)};
    model::Clock::simulated = &now;
    const auto start = now;
    for (const auto* uid : {"run-1", "run-2"}) {
        state::Txn txn;
        txn.changes.push_back(
            {std::string("jobs/work/") + uid, boost::json::object{{"cut", 1}, {"shape", "array"}, {"shards", 1}}, 0});
        store.keys.commit(txn);
    }
    {
        net::asio::io_context simulated;
        api::SubmissionService submissions{
            simulated.get_executor(), store, cluster, record_format, memory, callbacks(), 100};
        std::map<std::string, std::pair<unsigned, model::Seconds>> replies;
        const auto start_poll = [&](const std::string& uid) {
            net::asio::co_spawn(simulated, submissions.poll(uid), [&, uid](std::exception_ptr, net::Reply r) {
                replies[uid] = {r.status, now - start};
            });
            simulated.poll();
        };
        store.hanging_commits = 1;
        start_poll("run-1");
        start_poll("run-2");
        for (int i = 0; i < 600 && replies.size() < 2; ++i) {
            now += std::chrono::milliseconds(5);
            simulated.restart();
            simulated.poll();
        }
        ASSERT_EQ(replies.size(), 2u);
        EXPECT_EQ(replies["run-2"].first, 200u);
        EXPECT_LT(replies["run-2"].second, model::Seconds(0.2));
        EXPECT_EQ(replies["run-1"].first, 503u) << "the client gets a reply before its timeout, and retries";
        EXPECT_LE(replies["run-1"].second, model::Seconds(2.01));
    }
    model::Clock::simulated = nullptr;
}

TEST_F(SubmissionServiceTest, RememberedOpenJobNeedsOneComparisonAndNoRead) {
    ASSERT_EQ(run(service_2.submit(body("run-1"))).status, 201u);
    memory.open_records["run-1"] = store.keys.get("jobs/work/run-1");
    memory.jobs["run-1"] = {};
    store.gets = 0;
    EXPECT_EQ(polled_status(service_1, "run-1"), "pending");
    EXPECT_EQ(store.gets, 0);
    ASSERT_EQ(run(service_2.cancel("run-1")).status, 200u);
    EXPECT_EQ(polled_status(service_1, "run-1"), "aborted")
        << "the remembered state does not show whether the job is still open";
}

// A poll and a cancellation run concurrently. The poll reports the newest state that is known when it replies.
TEST_F(SubmissionServiceTest, PollPendingWhenTheJobEndsReportsTheEnd) {
    ASSERT_EQ(run(service_2.submit(body("run-1"))).status, 201u);
    ASSERT_EQ(polled_status(service_1, "run-1"), "pending");
    std::vector<net::awaitable<net::Reply>> calls;
    calls.push_back(service_1.poll("run-1"));
    calls.push_back(service_1.cancel("run-1"));
    calls.push_back(service_1.submit(body("run-1")));
    calls.push_back(service_1.poll("run-1"));
    const auto replies = run_all(std::move(calls));
    EXPECT_EQ(status_in(replies[1]), "aborted");
    bool aborted = false;
    for (const auto& r : replies) EXPECT_EQ(r.status, 200u);
    for (int i = 0; i < 3; ++i) aborted = aborted || status_in(run(service_1.poll("run-1"))) != "aborted";
    EXPECT_FALSE(aborted);
    EXPECT_EQ(status_in(run(service_1.submit(body("run-1", "nobody")))), "aborted");
}

TEST_F(SubmissionServiceTest, UnreadableRecordGivesStatus503AndBlocksNoOtherJob) {
    ASSERT_EQ(run(service_2.submit(body("run-1"))).status, 201u);
    state::Txn txn;
    txn.changes.push_back({"jobs/work/run-2", boost::json::array{1, 2}, 0});
    txn.changes.push_back({"jobs/over/run-3", boost::json::object{{"state", "elsewhere"}}, 0});
    store.keys.commit(txn);
    std::vector<net::awaitable<net::Reply>> calls;
    for (const auto* uid : {"run-2", "run-3", "run-1"}) calls.push_back(service_1.poll(uid));
    const auto replies = run_all(std::move(calls));
    EXPECT_EQ(replies[0].status, 503u);
    EXPECT_EQ(replies[1].status, 503u);
    EXPECT_EQ(replies[2].status, 200u);
    EXPECT_EQ(run(service_1.cancel("run-2")).status, 503u);
}

}  // namespace flintdale::test
