// The submission services of two controllers on one store, with helpers to call them.
#pragma once
#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "api/submission_service.hpp"
#include "model/machine.hpp"
#include "support/fake_store.hpp"

namespace flintdale::test {

// A controller's memory of jobs, set by the test.
struct FakeJobMemory : api::JobMemory {
    std::map<std::string, api::RememberedJob> jobs;
    std::map<std::string, state::KeyValue> open_records;
    bool complete = true;

    std::optional<api::RememberedJob> remembered(const std::string& uid) const override {
        const auto it = jobs.find(uid);
        return it == jobs.end() ? std::nullopt : std::optional(it->second);
    }
    bool knows_all_jobs() const override { return complete; }
    std::optional<state::KeyValue> open_record(const std::string& uid) const override {
        const auto it = open_records.find(uid);
        return it == open_records.end() ? std::nullopt : std::optional(it->second);
    }
    api::DisplayCount display_count(const std::string&) const override { return {}; }
};

struct SubmissionServiceTest : ::testing::Test {
    net::asio::io_context io;
    FakeStore store;
    config::Settings cluster = settings();
    std::vector<model::MachineType> machine_types = types();
    bool types_known = true;
    FakeJobMemory memory;
    std::set<std::string> reported_cancelled;
    state::RecordFormat record_format{cluster};
    api::SubmissionService service_1{io.get_executor(), store, cluster, record_format, memory, callbacks(), 100},
        service_2{io.get_executor(), store, cluster, record_format, memory, callbacks(), 100};

    api::SubmissionService::Callbacks callbacks() {
        api::SubmissionService::Callbacks callbacks;
        callbacks.time_of_day_ms = [] { return std::int64_t{1000}; };
        callbacks.machine_types = [this] { return types_known ? &machine_types : nullptr; };
        callbacks.cancellation_reported = [this](const std::string& uid) { reported_cancelled.insert(uid); };
        callbacks.record_observed = [](const state::KeyValue&) {};
        return callbacks;
    }
    // Runs all calls concurrently and returns their replies in the same order.
    std::vector<net::Reply> run_all(std::vector<net::awaitable<net::Reply>> calls) {
        std::vector<net::Reply> replies(calls.size());
        for (std::size_t i = 0; i < calls.size(); ++i)
            net::asio::co_spawn(io, std::move(calls[i]), [&replies, i](std::exception_ptr error, net::Reply reply) {
                EXPECT_FALSE(error);
                replies[i] = std::move(reply);
            });
        io.restart();
        io.run();
        return replies;
    }
    net::Reply run(net::awaitable<net::Reply> call) {
        std::vector<net::awaitable<net::Reply>> calls;
        calls.push_back(std::move(call));
        auto replies = run_all(std::move(calls));
        EXPECT_EQ(replies.size(), 1u);
        return std::move(replies.front());
    }
    // Writes the outcome of a job to the store.
    void store_outcome(const std::string& uid, const std::string& state) {
        state::Txn txn;
        txn.changes.push_back(
            {"jobs/over/" + uid, boost::json::object{{"state", state}, {"shape", "array"}, {"shards", 1}}, 0});
        store.keys.commit(txn);
    }
    // The status that a poll reports; empty if its HTTP status is not 200.
    std::string polled_status(api::SubmissionService& submissions, const std::string& uid) {
        return status_in(run(submissions.poll(uid)));
    }
    static std::string status_in(const net::Reply& reply) {
        if (reply.status != 200) return "";
        return std::string(boost::json::parse(reply.body).at("status").as_string());
    }
    static std::string body(const std::string& uid, const std::string& owner = "team", int tasks = 1) {
        return R"({"uid":")" + uid + R"(","jobclass":"c","owner":")" + owner +
               R"(","shape":"array","rank":"normal","shards":)" + std::to_string(tasks) +
               R"(,"cores":4.0,"accelerators":1.0,"mem_gb":8.0,"bundle":"i","image_gb":1.0,"hosttypes":null,)"
               R"("hall":null,"one_zone":false,"scatter":false,"loaners":false,"guess_s":10.0,"snapshot_s":0.0,)"
               R"("flush_s":0.0,"due_s":null})";
    }
    // A submission that depends on other jobs.
    static std::string dependent_body(const std::string& uid, const std::string& dependencies) {
        auto text = body(uid);
        text.pop_back();
        return text + R"(,"prereqs":)" + dependencies + "}";
    }
};

}  // namespace flintdale::test
