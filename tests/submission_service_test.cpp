// What users are told, by one controller and by another.
#include "api/submission_service.hpp"

#include "model/machine.hpp"
#include "support/fake_store.hpp"

namespace flintdale::test {

namespace {

struct SubmissionServiceTest : ::testing::Test {
    net::asio::io_context io;
    FakeStore store;
    config::Settings cluster = settings();
    std::vector<model::MachineType> known = types();
    bool types_known = true, certain = true;
    std::map<std::string, api::Remembered> remembered;
    std::map<std::string, state::KeyValue> open_records;
    std::set<std::string> told_cancelled;
    state::RecordFormat record_format{cluster};
    api::SubmissionService one{io.get_executor(), store, cluster, record_format, callbacks(), 100},
        two{io.get_executor(), store, cluster, record_format, callbacks(), 100};

    api::SubmissionService::Callbacks callbacks() {
        return {[] { return std::int64_t{1000}; },
                [this](const std::string& uid) { told_cancelled.insert(uid); },
                [this] { return types_known ? &known : nullptr; },
                [](const std::string&) { return api::DisplayCount{}; },
                [](const state::KeyValue&) {},
                [this](const std::string& uid) {
                    const auto it = remembered.find(uid);
                    return it == remembered.end() ? std::nullopt : std::optional(it->second);
                },
                [this] { return certain; },
                [this](const std::string& uid) {
                    const auto it = open_records.find(uid);
                    return it == open_records.end() ? std::nullopt : std::optional(it->second);
                }};
    }
    // All at once, each answered when it is.
    std::vector<net::Reply> run_all(std::vector<net::awaitable<net::Reply>> calls) {
        std::vector<net::Reply> out(calls.size());
        for (std::size_t i = 0; i < calls.size(); ++i)
            net::asio::co_spawn(io, std::move(calls[i]), [&out, i](std::exception_ptr e, net::Reply r) {
                EXPECT_FALSE(e);
                out[i] = std::move(r);
            });
        io.restart();
        io.run();
        return out;
    }
    net::Reply run(net::awaitable<net::Reply> call) {
        net::Reply out;
        net::asio::co_spawn(io, std::move(call), [&](std::exception_ptr e, net::Reply r) {
            EXPECT_FALSE(e);
            out = std::move(r);
        });
        io.restart();
        io.run();
        return out;
    }
    // A submission that needs others.
    static std::string after(const std::string& uid, const std::string& needs) {
        auto b = body(uid);
        b.pop_back();
        return b + R"(,"prereqs":)" + needs + "}";
    }
    void end(const std::string& uid, const std::string& state) {
        state::Txn txn;
        txn.changes.push_back(
            {"jobs/over/" + uid, boost::json::object{{"state", state}, {"shape", "array"}, {"shards", 1}}, 0});
        store.keys.commit(txn);
    }
    std::string told(api::SubmissionService& submissions, const std::string& uid) {
        const auto r = run(submissions.poll(uid));
        return r.status == 200 ? std::string(boost::json::parse(r.body).at("status").as_string()) : "";
    }
    static std::string status_in(const net::Reply& r) {
        return r.status == 200 ? std::string(boost::json::parse(r.body).at("status").as_string()) : "";
    }
    static std::string body(const std::string& uid, const std::string& owner = "team", int tasks = 1) {
        return R"({"uid":")" + uid + R"(","jobclass":"c","owner":")" + owner +
               R"(","shape":"array","rank":"normal","shards":)" + std::to_string(tasks) +
               R"(,"cores":4.0,"accelerators":1.0,"mem_gb":8.0,"bundle":"i","image_gb":1.0,"hosttypes":null,)"
               R"("hall":null,"one_zone":false,"scatter":false,"loaners":false,"guess_s":10.0,"snapshot_s":0.0,)"
               R"("flush_s":0.0,"due_s":null})";
    }
};

}  // namespace

TEST_F(SubmissionServiceTest, JobIsAcceptedOnceWhoeverIsAsked) {
    EXPECT_EQ(run(one.submit(body("run-1"))).status, 201u);
    EXPECT_EQ(run(two.submit(body("run-1"))).status, 200u);
    EXPECT_EQ(run(two.poll("run-1")).status, 200u);
}

TEST_F(SubmissionServiceTest, KnownJobStaysAcceptedWhateverItsRepetitionContains) {
    ASSERT_EQ(run(one.submit(body("run-1"))).status, 201u);
    EXPECT_EQ(run(two.submit(body("run-1", "nobody"))).status, 200u);
    EXPECT_EQ(run(two.submit(body("run-1", "team", 0))).status, 200u);
    EXPECT_EQ(run(two.submit(body("run-2", "nobody"))).status, 422u);
    EXPECT_EQ(run(two.submit(body("run-2", "team", 0))).status, 400u);
    EXPECT_EQ(run(two.submit("{")).status, 400u);
}

TEST_F(SubmissionServiceTest, SubmissionThatWouldWaitLongIsRefusedWithRetryAfter) {
    store.wait_for_writes = std::chrono::duration<double>(3.2);
    const auto refused = run(one.submit(body("run-1")));
    EXPECT_EQ(refused.status, 503u);
    EXPECT_EQ(refused.retry_after, 4u);
    EXPECT_EQ(store.commits, 0);
    store.wait_for_writes = std::chrono::duration<double>(0.5);
    EXPECT_EQ(run(one.submit(body("run-1"))).status, 201u);
}

TEST_F(SubmissionServiceTest, ImpossibleJobsAreDistinguishedFromNotYetKnownTypes) {
    auto huge = body("run-1");
    huge.replace(huge.find("4.0"), 3, "999");
    EXPECT_EQ(run(one.submit(huge)).status, 422u);
    types_known = false;
    const auto r = run(one.submit(body("run-2")));
    EXPECT_EQ(r.status, 503u);
    EXPECT_GT(r.retry_after, 0u);
    EXPECT_EQ(store.keys.get("jobs/work/run-2").mod_revision, 0u);
}

// What can't run is never accepted, by any path: repeated, before the machine types are known, in an outage.
TEST_F(SubmissionServiceTest, ImpossibleOrIncompleteJobIsAcceptedByNoPath) {
    auto lacks = body("run-1"), nowhere = body("run-2"), torn = body("run-3", "team", 2);
    lacks.replace(lacks.find(R"("scatter":false,)"), 16, "");
    nowhere.replace(nowhere.find(R"("hall":null)"), 11, R"("hall":"z")");
    torn.replace(torn.find("array"), 5, "ensemble");
    torn.replace(torn.find(R"("one_zone":false,"scatter":false)"), 32, R"("one_zone":true,"scatter":true)");
    const auto submit_all = [&](unsigned first, unsigned others) {
        EXPECT_EQ(run(one.submit(lacks)).status, first);
        EXPECT_EQ(run(one.submit(nowhere)).status, others);
        EXPECT_EQ(run(two.submit(torn)).status, others);
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

TEST_F(SubmissionServiceTest, AcceptedMeansOnRecordEvenIfTheResponseWasLost) {
    store.lose_answers = 1;
    EXPECT_EQ(run(one.submit(body("run-1"))).status, 200u);
    EXPECT_GT(store.keys.get("jobs/work/run-1").mod_revision, 0u);
    store.refuse = true;
    EXPECT_EQ(run(one.submit(body("run-2"))).status, 503u);
}

TEST_F(SubmissionServiceTest, UnknownJobsAndMalformedIdsAreNotFound) {
    EXPECT_EQ(run(one.poll("run-9")).status, 404u);
    EXPECT_EQ(run(one.poll("run-9/../x")).status, 404u);
    EXPECT_EQ(run(one.cancel("run-9")).status, 404u);
}

TEST_F(SubmissionServiceTest, NoControllerAnswersFromAStaleCache) {
    ASSERT_EQ(run(one.submit(body("run-1"))).status, 201u);
    ASSERT_EQ(run(two.poll("run-1")).status, 200u);
    ASSERT_NE(run(one.cancel("run-1")).body.find("aborted"), std::string::npos);
    EXPECT_NE(run(two.poll("run-1")).body.find("aborted"), std::string::npos);
    EXPECT_NE(run(two.submit(body("run-1"))).body.find("aborted"), std::string::npos);
}

TEST_F(SubmissionServiceTest, OnlyFinalStatesAreReportedDuringAnOutage) {
    ASSERT_EQ(run(one.submit(body("run-1"))).status, 201u);
    ASSERT_EQ(run(one.submit(body("run-2"))).status, 201u);
    ASSERT_EQ(run(one.cancel("run-2")).status, 200u);
    store.refuse = true;
    EXPECT_EQ(run(one.poll("run-1")).status, 503u);
    EXPECT_EQ(run(one.poll("run-2")).status, 200u);
    EXPECT_EQ(run(one.cancel("run-1")).status, 503u);
}

TEST_F(SubmissionServiceTest, ConcurrentPollsShareTheirChecks) {
    for (int i = 0; i < 20; ++i) ASSERT_EQ(run(one.submit(body("run-" + std::to_string(i)))).status, 201u);
    store.commits = 0;
    int good = 0;
    for (int i = 0; i < 20; ++i)
        net::asio::co_spawn(io, one.poll("run-" + std::to_string(i)),
                            [&](std::exception_ptr, net::Reply r) { good += r.status == 200; });
    io.restart();
    io.run();
    EXPECT_EQ(good, 20);
    EXPECT_LE(store.commits, 2);
}

TEST_F(SubmissionServiceTest, DependenciesAreRefusedBeforeAllControllersCanReadThem) {
    ASSERT_EQ(run(one.submit(body("run-1"))).status, 201u);
    const auto r = run(one.submit(after("run-2", R"(["run-1"])")));
    EXPECT_EQ(r.status, 503u);
    EXPECT_GT(r.retry_after, 0u);
    EXPECT_EQ(run(one.submit(after("run-3", "[]"))).status, 201u) << "none, empty and null are the same";
    EXPECT_EQ(run(one.submit(after("run-4", "null"))).status, 201u);
    record_format.all_read(state::newest_format);
    EXPECT_EQ(run(two.submit(after("run-2", R"(["run-1","run-1"])"))).status, 201u);
    EXPECT_EQ(run(one.submit(after("run-2", R"(["run-999"])"))).status, 200u) << "a repetition, whatever it names";
}

TEST_F(SubmissionServiceTest, OnlyAcceptedJobsThatCanFinishMayBeDependencies) {
    record_format.all_read(state::newest_format);
    ASSERT_EQ(run(one.submit(body("run-1"))).status, 201u);
    auto service = body("run-2");
    service.replace(service.find("array"), 5, "standing");
    ASSERT_EQ(run(one.submit(service)).status, 201u);
    EXPECT_EQ(run(two.submit(after("run-3", R"(["run-1","run-9"])"))).status, 422u);
    EXPECT_EQ(run(two.submit(after("run-3", R"(["run-3"])"))).status, 422u) << "itself";
    EXPECT_EQ(run(two.submit(after("run-3", R"(["run-2"])"))).status, 422u) << "a service is never done";
    for (const auto* bad : {R"("run-1")", R"([1])", R"(["x"])", R"({})"})
        EXPECT_EQ(run(two.submit(after("run-3", bad))).status, 400u) << bad;
    end("run-1", "done");
    EXPECT_EQ(run(two.submit(after("run-3", R"(["run-1"])"))).status, 201u);
    store.refuse = true;
    EXPECT_EQ(run(two.submit(after("run-4", R"(["run-8"])"))).status, 503u) << "silence is no proof";
}

TEST_F(SubmissionServiceTest, AbortedIsReportedAsSoonAsADependencyIsCancelled) {
    record_format.all_read(state::newest_format);
    ASSERT_EQ(run(one.submit(body("run-1"))).status, 201u);
    ASSERT_EQ(run(one.submit(after("run-2", R"(["run-1"])"))).status, 201u);
    ASSERT_EQ(run(two.submit(after("run-3", R"(["run-2"])"))).status, 201u);
    EXPECT_EQ(told(two, "run-3"), "pending");
    // No leader is there to put the end of run-2 and run-3 on record.
    ASSERT_EQ(run(one.cancel("run-1")).status, 200u);
    EXPECT_EQ(told(two, "run-3"), "aborted");
    EXPECT_EQ(told(one, "run-3"), "aborted");
    EXPECT_NE(run(one.submit(after("run-2", R"(["run-1"])"))).body.find("aborted"), std::string::npos);
    EXPECT_NE(run(one.cancel("run-3")).body.find("aborted"), std::string::npos);
}

TEST_F(SubmissionServiceTest, JobWithFinishedDependenciesIsPending) {
    record_format.all_read(state::newest_format);
    ASSERT_EQ(run(one.submit(body("run-1"))).status, 201u);
    ASSERT_EQ(run(two.submit(after("run-2", R"(["run-1"])"))).status, 201u);
    end("run-1", "done");
    EXPECT_EQ(told(one, "run-2"), "pending");
    EXPECT_EQ(told(one, "run-1"), "done");
    store.refuse = true;
    EXPECT_EQ(told(one, "run-2"), "") << "what it needs is known to be done, but not whether it is open";
}

TEST_F(SubmissionServiceTest, SubmissionTooLongForTheOldFormatWaitsAndOneThatNeverFitsIsNamed) {
    std::string types = R"(["small")", names = R"(["run-1")";
    for (int i = 0; i < 200; ++i) {
        types += ",\"type-number-" + std::to_string(i) + '"';
        names += ",\"run-" + std::to_string(100 + i) + '"';
    }
    auto many = body("run-1");
    many.replace(many.find(R"("hosttypes":null)"), 16, R"("hosttypes":)" + types + "]");
    EXPECT_EQ(run(one.submit(many)).status, 503u);
    auto next = cluster;
    next.next_store_limits = next.store_limits;
    next.next_store_limits->value_bytes = 2048;
    next.next_store_limits->txn_ops = 4;
    record_format = state::RecordFormat(next);
    record_format.all_read(state::newest_format);
    EXPECT_EQ(run(one.submit(many)).status, 201u);
    EXPECT_EQ(told(two, "run-1"), "pending");
    ASSERT_EQ(run(two.cancel("run-1")).status, 200u);
    EXPECT_EQ(told(one, "run-1"), "aborted");
    auto more = body("run-2");
    more.replace(more.find(R"("hosttypes":null)"), 16,
                 R"("hosttypes":)" + types + types.substr(1).insert(0, ",") + types.substr(1).insert(0, ",") + "]");
    const auto r = run(one.submit(more));
    EXPECT_EQ(r.status, 400u);
    EXPECT_NE(r.body.find("hosttypes"), std::string::npos);
}

// What is known of jobs is a cache, and may be emptied of what somebody is just being answered by: accepted jobs were
// answered with 404, for the look-up after the check found no entry (docs/incidents/cache-emptied-in-use.md).
TEST_F(SubmissionServiceTest, CacheSmallerThanTheNumberOfJobsForgetsNone) {
    api::SubmissionService small{io.get_executor(), store, cluster, record_format, callbacks(), 1};
    for (int i = 1; i <= 6; ++i) ASSERT_EQ(run(two.submit(body("run-" + std::to_string(i)))).status, 201u);
    end("run-5", "done");
    for (int round = 0; round < 3; ++round) {
        std::vector<net::awaitable<net::Reply>> calls;
        for (int i = 1; i <= 6; ++i) calls.push_back(small.poll("run-" + std::to_string(i)));
        for (int i = 1; i <= 6; ++i) calls.push_back(small.submit(body("run-" + std::to_string(i), "nobody")));
        const auto told = run_all(std::move(calls));
        for (std::size_t i = 0; i < told.size(); ++i)
            EXPECT_EQ(status_in(told[i]), i % 6 == 4 ? "done" : "pending") << told[i].status << told[i].body;
    }
    EXPECT_EQ(run(small.cancel("run-5")).status, 200u);
    EXPECT_EQ(status_in(run(small.cancel("run-1"))), "aborted");
    EXPECT_EQ(run(small.poll("run-7")).status, 404u);
}

// That a job must be aborted, for one that it needs was cancelled, was told before it was on record, and lived in the
// cache alone.
TEST_F(SubmissionServiceTest, AbortByDependencyIsOnRecordBeforeItIsReported) {
    record_format.all_read(state::newest_format);
    api::SubmissionService small{io.get_executor(), store, cluster, record_format, callbacks(), 1};
    ASSERT_EQ(run(two.submit(body("run-1"))).status, 201u);
    ASSERT_EQ(run(two.submit(after("run-2", R"(["run-1"])"))).status, 201u);
    ASSERT_EQ(run(two.submit(after("run-3", R"(["run-2"])"))).status, 201u);
    EXPECT_EQ(told(small, "run-3"), "pending");
    ASSERT_EQ(run(two.cancel("run-1")).status, 200u);
    store.lose_answers = 0;
    EXPECT_EQ(told(small, "run-3"), "aborted");
    EXPECT_GT(store.keys.get("jobs/over/run-3").mod_revision, 0u);
    // Whoever asks another controller, or while many others ask, is told the same.
    for (int i = 10; i < 14; ++i) ASSERT_EQ(run(small.submit(body("run-" + std::to_string(i)))).status, 201u);
    EXPECT_EQ(told(small, "run-3"), "aborted");
    EXPECT_EQ(told(one, "run-3"), "aborted");
    EXPECT_TRUE(told_cancelled.contains("run-3"));
}

// One comparison without an answer held back all questions that came after it, until their users had gone.
TEST_F(SubmissionServiceTest, UnansweredComparisonBlocksNoOther) {
    model::TimePoint now{std::chrono::seconds(1000)};
    model::Clock::simulated = &now;
    const auto began = now;
    for (const auto* uid : {"run-1", "run-2"}) {
        state::Txn txn;
        txn.changes.push_back(
            {std::string("jobs/work/") + uid, boost::json::object{{"cut", 1}, {"shape", "array"}, {"shards", 1}}, 0});
        store.keys.commit(txn);
    }
    {
        net::asio::io_context simulated;
        api::SubmissionService submissions{simulated.get_executor(), store, cluster, record_format, callbacks(), 100};
        std::map<std::string, std::pair<unsigned, model::Seconds>> answers;
        const auto ask = [&](const std::string& uid) {
            net::asio::co_spawn(simulated, submissions.poll(uid), [&, uid](std::exception_ptr, net::Reply r) {
                answers[uid] = {r.status, now - began};
            });
            simulated.poll();
        };
        store.stall = 1;
        ask("run-1");
        ask("run-2");
        for (int i = 0; i < 600 && answers.size() < 2; ++i) {
            now += std::chrono::milliseconds(5);
            simulated.restart();
            simulated.poll();
        }
        ASSERT_EQ(answers.size(), 2u);
        EXPECT_EQ(answers["run-2"].first, 200u);
        EXPECT_LT(answers["run-2"].second, model::Seconds(0.2));
        EXPECT_EQ(answers["run-1"].first, 503u) << "and whoever asked for it is told to come again, in his time";
        EXPECT_LE(answers["run-1"].second, model::Seconds(2.01));
    }
    model::Clock::simulated = nullptr;
}

TEST_F(SubmissionServiceTest, RememberedOpenJobNeedsOneComparisonAndNoRead) {
    ASSERT_EQ(run(two.submit(body("run-1"))).status, 201u);
    open_records["run-1"] = store.keys.get("jobs/work/run-1");
    remembered["run-1"] = {};
    store.gets = 0;
    EXPECT_EQ(told(one, "run-1"), "pending");
    EXPECT_EQ(store.gets, 0);
    ASSERT_EQ(run(two.cancel("run-1")).status, 200u);
    EXPECT_EQ(told(one, "run-1"), "aborted") << "a memory is no word on whether it is still open";
}

// A poll and a cancellation cross: what is known by the time of the answer counts.
TEST_F(SubmissionServiceTest, PollPendingWhenTheJobEndsReportsTheEnd) {
    ASSERT_EQ(run(two.submit(body("run-1"))).status, 201u);
    ASSERT_EQ(told(one, "run-1"), "pending");
    std::vector<net::awaitable<net::Reply>> calls;
    calls.push_back(one.poll("run-1"));
    calls.push_back(one.cancel("run-1"));
    calls.push_back(one.submit(body("run-1")));
    calls.push_back(one.poll("run-1"));
    const auto told_all = run_all(std::move(calls));
    EXPECT_EQ(status_in(told_all[1]), "aborted");
    bool aborted = false;
    for (const auto& r : told_all) EXPECT_EQ(r.status, 200u);
    for (int i = 0; i < 3; ++i) aborted = aborted || status_in(run(one.poll("run-1"))) != "aborted";
    EXPECT_FALSE(aborted);
    EXPECT_EQ(status_in(run(one.submit(body("run-1", "nobody")))), "aborted");
}

TEST_F(SubmissionServiceTest, UnreadableRecordSaysNothingAndBlocksNoOther) {
    ASSERT_EQ(run(two.submit(body("run-1"))).status, 201u);
    state::Txn txn;
    txn.changes.push_back({"jobs/work/run-2", boost::json::array{1, 2}, 0});
    txn.changes.push_back({"jobs/over/run-3", boost::json::object{{"state", "elsewhere"}}, 0});
    store.keys.commit(txn);
    std::vector<net::awaitable<net::Reply>> calls;
    for (const auto* uid : {"run-2", "run-3", "run-1"}) calls.push_back(one.poll(uid));
    const auto told_all = run_all(std::move(calls));
    EXPECT_EQ(told_all[0].status, 503u);
    EXPECT_EQ(told_all[1].status, 503u);
    EXPECT_EQ(told_all[2].status, 200u);
    EXPECT_EQ(run(one.cancel("run-2")).status, 503u);
}

}  // namespace flintdale::test
