// What users are told, by one controller and by another.
#include "api/desk.hpp"

#include "fake_store.hpp"

namespace flintdale::test {

namespace {

struct DeskStory : ::testing::Test {
    net::asio::io_context io;
    FakeStore store;
    config::Settings cluster = settings();
    std::vector<wire::MachineType> known = types();
    bool types_known = true, certain = true;
    std::map<std::string, api::Remembered> remembered;
    std::set<std::string> told_cancelled;
    state::Form form{cluster};
    api::Desk one{io.get_executor(), store, cluster, form, links()},
        two{io.get_executor(), store, cluster, form, links()};

    api::Desk::Links links() {
        return {[] { return std::int64_t{1000}; },
                [this](const std::string& uid) { told_cancelled.insert(uid); },
                [this] { return types_known ? &known : nullptr; },
                [](const std::string&) { return api::DisplayCount{}; },
                [](const state::Item&) {},
                [this](const std::string& uid) {
                    const auto it = remembered.find(uid);
                    return it == remembered.end() ? std::nullopt : std::optional(it->second);
                },
                [this] { return certain; }};
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
    std::string told(api::Desk& desk, const std::string& uid) {
        const auto r = run(desk.poll(uid));
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

TEST_F(DeskStory, a_job_is_taken_once_whoever_is_asked) {
    EXPECT_EQ(run(one.submit(body("run-1"))).status, 201u);
    EXPECT_EQ(run(two.submit(body("run-1"))).status, 200u);
    EXPECT_EQ(run(two.poll("run-1")).status, 200u);
}

TEST_F(DeskStory, forgotten_a_known_job_stays_accepted_whatever_its_repetition_says) {
    ASSERT_EQ(run(one.submit(body("run-1"))).status, 201u);
    EXPECT_EQ(run(two.submit(body("run-1", "nobody"))).status, 200u);
    EXPECT_EQ(run(two.submit(body("run-1", "team", 0))).status, 200u);
    EXPECT_EQ(run(two.submit(body("run-2", "nobody"))).status, 422u);
    EXPECT_EQ(run(two.submit(body("run-2", "team", 0))).status, 400u);
    EXPECT_EQ(run(two.submit("{")).status, 400u);
}

TEST_F(DeskStory, a_submission_that_would_wait_long_is_refused_at_once_and_told_when_to_come_back) {
    store.wait_for_writes = std::chrono::duration<double>(3.2);
    const auto refused = run(one.submit(body("run-1")));
    EXPECT_EQ(refused.status, 503u);
    EXPECT_EQ(refused.retry_after, 4u);
    EXPECT_EQ(store.commits, 0);
    store.wait_for_writes = std::chrono::duration<double>(0.5);
    EXPECT_EQ(run(one.submit(body("run-1"))).status, 201u);
}

TEST_F(DeskStory, what_can_never_run_is_told_apart_from_what_is_not_known_yet) {
    auto huge = body("run-1");
    huge.replace(huge.find("4.0"), 3, "999");
    EXPECT_EQ(run(one.submit(huge)).status, 422u);
    types_known = false;
    const auto r = run(one.submit(body("run-2")));
    EXPECT_EQ(r.status, 503u);
    EXPECT_GT(r.retry_after, 0u);
    EXPECT_EQ(store.keys.get("jobs/work/run-2").stamp, 0u);
}

TEST_F(DeskStory, an_accepted_answer_means_it_is_on_record_even_if_the_answer_was_lost) {
    store.lose_answers = 1;
    EXPECT_EQ(run(one.submit(body("run-1"))).status, 200u);
    EXPECT_GT(store.keys.get("jobs/work/run-1").stamp, 0u);
    store.refuse = true;
    EXPECT_EQ(run(one.submit(body("run-2"))).status, 503u);
}

TEST_F(DeskStory, invented_an_unknown_job_is_not_found_and_malformed_ids_neither) {
    EXPECT_EQ(run(one.poll("run-9")).status, 404u);
    EXPECT_EQ(run(one.poll("run-9/../x")).status, 404u);
    EXPECT_EQ(run(one.cancel("run-9")).status, 404u);
}

TEST_F(DeskStory, went_back_no_controller_answers_from_an_old_memory) {
    ASSERT_EQ(run(one.submit(body("run-1"))).status, 201u);
    ASSERT_EQ(run(two.poll("run-1")).status, 200u);
    ASSERT_NE(run(one.cancel("run-1")).body.find("aborted"), std::string::npos);
    EXPECT_NE(run(two.poll("run-1")).body.find("aborted"), std::string::npos);
    EXPECT_NE(run(two.submit(body("run-1"))).body.find("aborted"), std::string::npos);
}

TEST_F(DeskStory, in_an_outage_only_final_states_are_told) {
    ASSERT_EQ(run(one.submit(body("run-1"))).status, 201u);
    ASSERT_EQ(run(one.submit(body("run-2"))).status, 201u);
    ASSERT_EQ(run(one.cancel("run-2")).status, 200u);
    store.refuse = true;
    EXPECT_EQ(run(one.poll("run-1")).status, 503u);
    EXPECT_EQ(run(one.poll("run-2")).status, 200u);
    EXPECT_EQ(run(one.cancel("run-1")).status, 503u);
}

TEST_F(DeskStory, polls_that_come_together_share_their_checks) {
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

TEST_F(DeskStory, prerequisites_are_not_taken_before_all_controllers_can_read_them) {
    ASSERT_EQ(run(one.submit(body("run-1"))).status, 201u);
    const auto r = run(one.submit(after("run-2", R"(["run-1"])")));
    EXPECT_EQ(r.status, 503u);
    EXPECT_GT(r.retry_after, 0u);
    EXPECT_EQ(run(one.submit(after("run-3", "[]"))).status, 201u) << "none, empty and null are the same";
    EXPECT_EQ(run(one.submit(after("run-4", "null"))).status, 201u);
    form.all_read(state::newest_format);
    EXPECT_EQ(run(two.submit(after("run-2", R"(["run-1","run-1"])"))).status, 201u);
    EXPECT_EQ(run(one.submit(after("run-2", R"(["run-999"])"))).status, 200u) << "a repetition, whatever it names";
}

TEST_F(DeskStory, only_jobs_that_were_accepted_and_can_be_done_may_be_named) {
    form.all_read(state::newest_format);
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

TEST_F(DeskStory, orphaned_whoever_is_asked_tells_aborted_as_soon_as_what_a_job_needs_is_cancelled) {
    form.all_read(state::newest_format);
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

TEST_F(DeskStory, a_job_whose_prerequisites_are_done_is_pending_like_any) {
    form.all_read(state::newest_format);
    ASSERT_EQ(run(one.submit(body("run-1"))).status, 201u);
    ASSERT_EQ(run(two.submit(after("run-2", R"(["run-1"])"))).status, 201u);
    end("run-1", "done");
    EXPECT_EQ(told(one, "run-2"), "pending");
    EXPECT_EQ(told(one, "run-1"), "done");
    store.refuse = true;
    EXPECT_EQ(told(one, "run-2"), "") << "what it needs is known to be done, but not whether it is open";
}

TEST_F(DeskStory, what_is_too_long_for_the_old_form_waits_and_what_can_never_be_kept_is_told_by_name) {
    std::string types = R"(["small")", names = R"(["run-1")";
    for (int i = 0; i < 200; ++i) {
        types += ",\"type-number-" + std::to_string(i) + '"';
        names += ",\"run-" + std::to_string(100 + i) + '"';
    }
    auto many = body("run-1");
    many.replace(many.find(R"("hosttypes":null)"), 16, R"("hosttypes":)" + types + "]");
    EXPECT_EQ(run(one.submit(many)).status, 503u);
    auto next = cluster;
    next.next_limits = next.limits;
    next.next_limits->value_bytes = 2048;
    next.next_limits->txn_ops = 4;
    form = state::Form(next);
    form.all_read(state::newest_format);
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

}  // namespace flintdale::test
