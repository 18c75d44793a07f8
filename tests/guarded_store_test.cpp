// The guard for job records: detection of a loss, and the check of answers that show a record missing.
#include "state/guarded_store.hpp"

#include <gtest/gtest.h>

#include "scheduler/job.hpp"
#include "state/generation_marker.hpp"
#include "support/fake_store.hpp"
#include "support/record_samples.hpp"

namespace flintdale::test {

namespace {

using state::Outcome;

struct GuardedStoreTest : ::testing::Test {
    net::asio::io_context io;
    FakeStore inner;
    std::vector<std::string> suspicions;
    std::map<std::string, std::uint64_t> written;
    state::GuardedStore store{inner,
                              "jobs/",
                              {[this](const char* why) { suspicions.push_back(why); },
                               [this](const state::Change& c, std::uint64_t revision) { written[c.key] = revision; }}};

    template <class R>
    R run(net::awaitable<R> call) {
        R out;
        net::asio::co_spawn(io, std::move(call), [&](std::exception_ptr e, R r) {
            EXPECT_FALSE(e);
            out = std::move(r);
        });
        io.restart();
        io.run();
        return out;
    }
    state::TxnResult put(const std::string& key, std::uint64_t over = 0) {
        state::Txn txn;
        txn.conditions.push_back({key, over});
        txn.changes.push_back({key, boost::json::object{{"x", 1}}, 0});
        return run(store.commit(std::move(txn), state::RequestPriority::user));
    }
    state::TxnResult check_absence_of(const std::string& key) {
        state::Txn txn;
        txn.conditions.push_back({key, 0});
        return run(store.commit(std::move(txn), state::RequestPriority::user));
    }
    std::uint64_t make_marker() {
        state::Txn txn;
        state::GenerationMarker marker;
        marker.generation = 1;
        marker.id = "one";
        txn.changes.push_back({state::marker_key, state::marker_record(marker), 0});
        return inner.keys.commit(txn).revision;
    }
};

}  // namespace

TEST_F(GuardedStoreTest, ClosedGuardBlocksJobRecordsOnly) {
    EXPECT_EQ(put("jobs/work/run-1").outcome, Outcome::refused);
    EXPECT_EQ(check_absence_of("jobs/work/run-1").outcome, Outcome::refused);
    EXPECT_EQ(run(store.get("jobs/over/run-1", state::RequestPriority::user)).outcome, Outcome::refused);
    EXPECT_EQ(put("members/one").outcome, Outcome::ok);
    EXPECT_EQ(run(store.get("members/one", state::RequestPriority::user)).outcome, Outcome::ok);
    EXPECT_TRUE(inner.keys.range("jobs/").empty());
    EXPECT_TRUE(suspicions.empty());
}

TEST_F(GuardedStoreTest, DifferentMarkerPreventsTheTransactionAndClosesTheGuard) {
    store.open(make_marker());
    EXPECT_EQ(put("jobs/work/run-1").outcome, Outcome::ok);
    EXPECT_EQ(written.at("jobs/work/run-1"), inner.keys.revision());
    make_marker();
    EXPECT_EQ(put("jobs/work/run-2").outcome, Outcome::refused);
    EXPECT_EQ(inner.keys.get("jobs/work/run-2").mod_revision, 0u);
    EXPECT_FALSE(store.is_open());
    EXPECT_EQ(suspicions.size(), 1u);
}

// After a wipe, the job's records are absent, but so is the marker: the absence must not be reported.
TEST_F(GuardedStoreTest, WipedStoreDoesNotProveThatAJobNeverExisted) {
    store.open(make_marker());
    ASSERT_EQ(put("jobs/work/run-1").outcome, Outcome::ok);
    inner.keys = InMemoryStore();
    EXPECT_EQ(check_absence_of("jobs/work/run-1").outcome, Outcome::refused);
    EXPECT_EQ(suspicions.size(), 1u);
}

TEST_F(GuardedStoreTest, ResponseUnderALowerRevisionIsDiscarded) {
    store.open(make_marker());
    const auto copy = inner.keys;
    ASSERT_EQ(put("jobs/work/run-1").outcome, Outcome::ok);
    ASSERT_EQ(put("jobs/work/run-2").outcome, Outcome::ok);
    inner.keys = copy;
    EXPECT_EQ(put("jobs/work/run-3").outcome, Outcome::unknown)
        << "the write took effect, but in a store that was reset";
    EXPECT_EQ(suspicions.size(), 1u);
    EXPECT_FALSE(store.is_open());
    EXPECT_EQ(run(store.get("jobs/work/run-3", state::RequestPriority::user)).outcome, Outcome::refused);
}

TEST_F(GuardedStoreTest, NoFalseAlarmByConflictsRefusalsLostResponsesOrEarlierRequests) {
    store.open(make_marker());
    ASSERT_EQ(put("jobs/work/run-1").outcome, Outcome::ok);
    EXPECT_EQ(put("jobs/work/run-1").outcome, Outcome::conflict);
    inner.refuse = true;
    EXPECT_EQ(put("jobs/work/run-2").outcome, Outcome::refused);
    inner.refuse = false;
    inner.lost_commit_answers = 1;
    EXPECT_EQ(put("jobs/work/run-2").outcome, Outcome::unknown);
    EXPECT_EQ(put("jobs/work/run-3").outcome, Outcome::ok);
    EXPECT_TRUE(suspicions.empty());
    EXPECT_TRUE(store.is_open());
}

// An answer is checked against the expectations at the time its request was sent, not against later ones.
namespace {

struct MissingRecordTest : GuardedStoreTest {
    std::map<std::string, std::uint64_t> expected;
    std::vector<std::string> reported_missing;
    state::GuardedStore guard{
        inner,
        "jobs/",
        {[this](const char* why) { suspicions.push_back(why); }, [](const state::Change&, std::uint64_t) {},
         [this](const std::string& key) { return expected[key]; },
         [](const std::string& key) {
             const auto work = scheduler::parse_work_key(key);
             return work ? scheduler::outcome_key(work->uid) : std::string();
         },
         [this](const std::string& key) { reported_missing.push_back(key); }}};
    state::TxnResult check_job_absence(const std::string& uid, bool at_once = true) {
        state::Txn txn;
        txn.conditions.push_back({scheduler::outcome_key(uid), 0});
        txn.conditions.push_back({scheduler::work_key(uid, 0), 0});
        if (at_once) return run(guard.commit(std::move(txn), state::RequestPriority::user));
        // The job is accepted by another controller, and this one learns of it, after the transaction was carried out
        // and before its answer arrives.
        state::TxnResult out;
        net::asio::co_spawn(io, guard.commit(std::move(txn), state::RequestPriority::user),
                            [&](std::exception_ptr, state::TxnResult r) { out = std::move(r); });
        io.restart();
        io.run_one();
        expected[scheduler::work_key(uid, 0)] = inner.keys.revision() + 1;
        io.run();
        return out;
    }
    void SetUp() override { guard.open(make_marker()); }
};

}  // namespace

TEST_F(MissingRecordTest, MissingKnownJobIsCheckedAndNotReported) {
    EXPECT_EQ(check_job_absence("run-1").outcome, Outcome::ok);
    expected["jobs/work/run-1"] = 1;
    EXPECT_EQ(check_job_absence("run-1").outcome, Outcome::refused);
    EXPECT_EQ(reported_missing, std::vector<std::string>{"jobs/work/run-1"});
    EXPECT_TRUE(suspicions.empty());
    EXPECT_TRUE(guard.is_open()) << "requests on other keys are still served";
}

TEST_F(MissingRecordTest, JobAcceptedMeanwhileIsNoSignOfLoss) {
    EXPECT_EQ(check_job_absence("run-1", false).outcome, Outcome::ok);
    EXPECT_TRUE(reported_missing.empty());
}

TEST_F(MissingRecordTest, WorkMayBeRemovedBesideAnOutcomeAndAnOutcomeNever) {
    state::Txn txn;
    txn.changes.push_back({"jobs/over/run-1", boost::json::parse(done_outcome), 0});
    const auto mod_revision = inner.keys.commit(txn).revision;
    expected["jobs/work/run-1"] = 1;
    EXPECT_EQ(check_job_absence("run-1").outcome, Outcome::conflict);
    EXPECT_EQ(run(guard.get("jobs/work/run-1", state::RequestPriority::user)).outcome, Outcome::ok);
    EXPECT_TRUE(reported_missing.empty());
    expected["jobs/over/run-1"] = mod_revision;
    EXPECT_EQ(run(guard.get("jobs/over/run-1", state::RequestPriority::user)).outcome, Outcome::ok);
    expected["jobs/over/run-1"] = mod_revision + 4;
    EXPECT_EQ(run(guard.get("jobs/over/run-1", state::RequestPriority::user)).outcome, Outcome::refused)
        << "the record is older than expected";
    expected["jobs/over/run-2"] = mod_revision;
    EXPECT_EQ(run(guard.get("jobs/over/run-2", state::RequestPriority::user)).outcome, Outcome::refused)
        << "the record is absent";
    EXPECT_EQ(reported_missing.size(), 2u);
}

// Guards against writing a placement for a job whose cancellation was lost.
TEST_F(MissingRecordTest, NoWriteIsSentOnTheAbsenceOfAKnownRecord) {
    expected["jobs/over/run-1"] = 1;
    state::Txn txn;
    txn.conditions.push_back({"jobs/over/run-1", 0});
    txn.changes.push_back({"jobs/work/run-1", boost::json::object{{"x", 1}}, 0});
    const auto r = run(guard.commit(std::move(txn), state::RequestPriority::user));
    EXPECT_EQ(r.outcome, Outcome::conflict);
    EXPECT_EQ(r.failed, std::vector<std::string>{"jobs/over/run-1"});
    EXPECT_EQ(inner.keys.get("jobs/work/run-1").mod_revision, 0u);
}

}  // namespace flintdale::test
