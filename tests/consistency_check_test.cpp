// The second read of a record that seems to be missing, by which a loss is confirmed or ruled out.
#include "recovery/consistency_check.hpp"

#include <gtest/gtest.h>

#include "support/fake_store.hpp"
#include "support/record_samples.hpp"

namespace flintdale::test {

namespace {

using recovery::RecordReplica;

struct ConsistencyCheckTest : ::testing::Test {
    net::asio::io_context io;
    FakeStore store;
    RecordReplica replica;
    recovery::ConsistencyCheck check{store, replica, [this] { return replica.revision(); }};
    using Verdict = recovery::ConsistencyCheck::Finding::Verdict;

    void SetUp() override {
        put("jobs/work/run-1", work_record(1));
        put("jobs/over/run-2", done_outcome);
        replica.begin(1, "a", store.keys.revision());
        replica.add_page(store.keys.range("jobs/"));
        replica.pages_complete();
    }
    std::uint64_t put(const std::string& key, const std::string& text) {
        state::Txn txn;
        txn.changes.push_back({key, text.empty() ? std::optional<boost::json::value>() : boost::json::parse(text), 0});
        return store.keys.commit(txn).revision;
    }
    recovery::ConsistencyCheck::Finding recheck(const std::string& key) {
        recovery::ConsistencyCheck::Finding out;
        net::asio::co_spawn(io, check.recheck(key, state::RequestPriority::user),
                            [&](std::exception_ptr e, recovery::ConsistencyCheck::Finding finding) {
                                EXPECT_FALSE(e);
                                out = std::move(finding);
                            });
        io.restart();
        io.run();
        return out;
    }
};

}  // namespace

TEST_F(ConsistencyCheckTest, PresentNewerOrProperlyRemovedRecordsAreIntact) {
    EXPECT_EQ(recheck("jobs/work/run-1").verdict, Verdict::intact);
    EXPECT_EQ(recheck("jobs/over/run-2").verdict, Verdict::intact);
    EXPECT_EQ(recheck("jobs/work/run-7").verdict, Verdict::intact) << "the replica does not hold it";
    put("jobs/work/run-1", work_record(2));
    EXPECT_EQ(recheck("jobs/work/run-1").verdict, Verdict::intact);
    put("jobs/over/run-1", cancelled_outcome);
    put("jobs/work/run-1", "");
    EXPECT_EQ(recheck("jobs/work/run-1").verdict, Verdict::intact);
}

TEST_F(ConsistencyCheckTest, MissingOlderOrDamagedRecordsAreFoundWithTheirPresentRevision) {
    const auto copy = store.keys;
    put("jobs/work/run-1", work_record(5));
    replica.apply_changes(changes(store.keys.revision(), store.keys.range("jobs/work/"), {false}));
    const auto revision = store.keys.revision();
    store.keys = copy;
    auto finding = recheck("jobs/work/run-1");
    EXPECT_EQ(finding.verdict, Verdict::lost);
    EXPECT_EQ(finding.expected, revision);
    EXPECT_EQ(finding.present, copy.get("jobs/work/run-1").mod_revision);
    put("jobs/over/run-2", "");
    finding = recheck("jobs/over/run-2");
    EXPECT_EQ(finding.verdict, Verdict::lost);
    EXPECT_EQ(finding.present, 0u);
    put("jobs/over/run-2", "7");
    EXPECT_TRUE(recheck("jobs/over/run-2").damaged);
}

}  // namespace flintdale::test
