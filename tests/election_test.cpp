// Who leads, also when answers are lost and claims of an earlier process remain.
#include "election/elector.hpp"
#include "support/fake_store.hpp"

namespace flintdale::test {

namespace {

struct ElectionTest : ::testing::Test {
    net::asio::io_context io;
    FakeStore store;

    struct Node {
        std::vector<std::uint64_t> won;
        int lost = 0;
        election::Elector elector;
        Node(net::asio::io_context& io, state::Store& store, const std::string& name)
            : elector(io.get_executor(), store, name, Seconds(5),
                      {[this](election::Term t) { won.push_back(t.number); }, [this] { ++lost; }}) {
            net::asio::co_spawn(io, elector.run(), net::asio::detached);
        }
    };
    // All that can happen without the passing of time.
    void settle() {
        io.restart();
        while (io.poll() > 0) {
        }
    }
};

}  // namespace

TEST_F(ElectionTest, FirstCandidateLeadsAndSecondLearnsOfIt) {
    Node one(io, store, "one");
    settle();
    Node two(io, store, "two");
    settle();
    EXPECT_EQ(one.won, std::vector<std::uint64_t>{1});
    EXPECT_TRUE(two.won.empty());
    EXPECT_EQ(two.elector.leader(), "one");
    EXPECT_EQ(two.elector.term(), 1u);
}

TEST_F(ElectionTest, LostResponseToTheWinningClaimIsDetected) {
    store.lost_commit_answers = 1;
    Node one(io, store, "one");
    settle();
    EXPECT_EQ(one.won, std::vector<std::uint64_t>{1});
}

TEST_F(ElectionTest, WaitingCandidateClaimsAVacancyWithoutReadingAgain) {
    Node one(io, store, "one");
    settle();
    state::WatchResult ended;
    ended.outcome = state::Outcome::ok;
    ended.events.push_back({election::holder_key, {}, 2});
    ended.deleted.push_back(true);
    ended.revision = 2;
    store.next_watch_result = ended;
    Node two(io, store, "two");
    store.gets = 0;
    net::asio::co_spawn(io, store.revoke(1), net::asio::detached);  // the claim of the first ends while two watches
    settle();
    EXPECT_EQ(two.won, std::vector<std::uint64_t>{2});
    EXPECT_EQ(store.gets, 2) << "only when it began";
}

TEST_F(ElectionTest, RestartedLeaderSucceedsItselfUnderAHigherTerm) {
    Node before(io, store, "one");
    settle();
    Node after(io, store, "one");
    settle();
    EXPECT_EQ(after.won, std::vector<std::uint64_t>{2});
    before.elector.observe_term(2, "one");
    EXPECT_EQ(before.lost, 1);
    EXPECT_FALSE(before.elector.leading());
}

TEST_F(ElectionTest, LeaderStepsDownForAHigherTermButNotForAnEqualOne) {
    Node one(io, store, "one");
    settle();
    one.elector.observe_term(1, "two");
    EXPECT_TRUE(one.elector.leading());
    one.elector.observe_term(2, "two");
    EXPECT_FALSE(one.elector.leading());
    EXPECT_EQ(one.elector.leader(), "two");
}

// inc-8739, inc-e02a: a leader that only the workers could not reach kept its claim for as long as that lasted.
TEST_F(ElectionTest, ResignedLeaderLeavesTheNextTermToOthers) {
    Node one(io, store, "one");
    settle();
    ASSERT_TRUE(one.elector.leading());
    one.elector.resign("hears nobody");
    settle();
    EXPECT_EQ(one.lost, 1);
    EXPECT_EQ(one.won, std::vector<std::uint64_t>{1}) << "the vacancy is not for the one that made it";
    Node two(io, store, "two");
    settle();
    EXPECT_EQ(two.won, std::vector<std::uint64_t>{2});
}

}  // namespace flintdale::test
