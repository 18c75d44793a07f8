// The recovery coordinator on an in-memory store, under simulated time.
#include "recovery/recovery_coordinator.hpp"

#include <gtest/gtest.h>

#include "support/fake_store.hpp"

namespace flintdale::test {

namespace {

using state::Outcome;

struct RecoveryCoordinatorTest : ::testing::Test {
    model::TimePoint now{std::chrono::seconds(1000)};
    RecoveryCoordinatorTest() {
        model::Clock::simulated = &now;
        store.empty_watches = true;
    }
    ~RecoveryCoordinatorTest() override { model::Clock::simulated = nullptr; }

    FakeStore store;
    config::Settings cluster = settings();
    state::RecordFormat record_format{cluster};
    net::asio::io_context io;
    state::GuardedStore guarded{
        store,
        "jobs/",
        {[this](const char* why) { recovery.suspect_loss(why); },
         [this](const state::Change& c, std::uint64_t revision) { recovery.record_written(c, revision); }}};
    recovery::RecoveryCoordinator recovery{io.get_executor(),          store,      guarded, cluster, record_format,
                                           recovery::SnapshotFile(""), callbacks()};

    static recovery::RecoveryCoordinator::Callbacks callbacks() {
        recovery::RecoveryCoordinator::Callbacks callbacks;
        callbacks.time_of_day_ms = [] { return std::int64_t{1000}; };
        callbacks.begin_term = [](election::Term, bool) {};
        callbacks.restart_term = [](const char*) {};
        callbacks.outcomes_read = [](const std::vector<state::KeyValue>&, model::TimePoint,
                                     recovery::RecoveryCoordinator::Callbacks::OutcomeCoverage) {};
        callbacks.records_rebuilt = [] {};
        callbacks.highest_seen_term = [] { return std::uint64_t{0}; };
        callbacks.incarnation = 1;
        return callbacks;
    }
    void advance(double seconds) {
        for (double t = 0; t < seconds; t += 0.02) {
            now += std::chrono::milliseconds(20);
            io.restart();
            io.poll();
        }
    }
    void put(const std::string& key, boost::json::value value) {
        state::Txn txn;
        txn.changes.push_back({key, std::move(value), 0});
        store.keys.commit(txn);
    }
};

}  // namespace

// A controller that was unreachable during a rebuild holds a job that only it accepted. Guards against two faults:
// adding the record was not retried after the store had refused it, and the other controllers reported that the job
// never existed as soon as this one was reachable, before it had added the record.
TEST_F(RecoveryCoordinatorTest, RecordKnownToOneReplicaOnlyIsAddedDespiteRefusals) {
    net::asio::co_spawn(io, recovery.run(), net::asio::detached);
    advance(10);
    ASSERT_TRUE(recovery.ready());
    ASSERT_TRUE(guarded.is_open());
    state::Txn txn;
    txn.conditions.push_back({"jobs/work/run-1", 0});
    txn.changes.push_back(
        {"jobs/work/run-1", boost::json::object{{"spec", boost::json::object()}, {"tasks", boost::json::array()}}, 0});
    Outcome accepted = Outcome::unknown;
    net::asio::co_spawn(io, guarded.commit(std::move(txn), state::RequestPriority::user),
                        [&](std::exception_ptr, state::TxnResult r) { accepted = r.outcome; });
    advance(0.1);
    ASSERT_EQ(accepted, Outcome::ok);
    // The other controllers have rebuilt the records without this replica.
    const auto revision = store.keys.revision();
    store.keys = InMemoryStore();
    while (store.keys.revision() < revision + 10) put("other", 1);
    state::GenerationMarker marker;
    marker.generation = 2;
    marker.id = "rebuilt";
    marker.missing = {cluster.member};
    put(state::marker_key, state::marker_record(marker));
    store.refused_prefix = "jobs/";
    advance(8);
    ASSERT_EQ(recovery.own_status().generation, 2u);
    EXPECT_EQ(store.keys.get("jobs/work/run-1").mod_revision, 0u);
    EXPECT_FALSE(recovery.knows_all_jobs()) << "the job may exist in the records of this controller";
    EXPECT_EQ(recovery.own_status().complete_up_to, 0u)
        << "peers must not rely on the replica before its records are added";
    store.refused_prefix.clear();
    advance(3);
    EXPECT_GT(store.keys.get("jobs/work/run-1").mod_revision, 0u);
    EXPECT_TRUE(recovery.knows_all_jobs());
    EXPECT_GT(recovery.own_status().complete_up_to, 0u);
}

}  // namespace flintdale::test
