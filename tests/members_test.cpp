// Members announce which record formats they read, and when the newest one may be written.
#include "election/members.hpp"

#include "support/fake_store.hpp"

namespace flintdale::test {

namespace {

struct MembersTest : ::testing::Test {
    net::asio::io_context io;
    FakeStore store;

    struct Node {
        config::Settings settings = test::settings();
        state::RecordFormat record_format;
        election::Members members;
        static config::Settings named(const std::string& name) {
            auto s = test::settings();
            s.member = name;
            s.controllers = 3;
            for (const auto* other : {"one", "two", "three"})
                if (other != name) s.peers.push_back({other, "a", {}});
            s.next_store_limits = s.store_limits;
            s.next_store_limits->txn_ops = 4;
            return s;
        }
        Node(net::asio::io_context& io, state::Store& store, const std::string& name)
            : settings(named(name)), record_format(settings), members(store, settings, record_format) {
            net::asio::co_spawn(io, members.run(), net::asio::detached);
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

TEST_F(MembersTest, NewFormatIsUsedOnceTheLastControllerIsUpgraded) {
    Node one(io, store, "one");
    settle();
    Node two(io, store, "two");
    settle();
    EXPECT_FALSE(two.record_format.newest());
    EXPECT_EQ(two.record_format.limits().txn_ops, 12u);
    Node three(io, store, "three");
    settle();
    EXPECT_TRUE(three.record_format.newest());
    EXPECT_EQ(three.record_format.limits().txn_ops, 4u) << "the limits come without notice";
    Node again(io, store, "one");
    settle();
    EXPECT_TRUE(again.record_format.newest()) << "whoever starts later finds it out, though the others may be gone";
}

TEST_F(MembersTest, UnreachableStoreChangesNothingAndALostResponseDoesNoHarm) {
    for (const auto* name : {"two", "three"}) {
        state::Txn txn;
        txn.changes.push_back({std::string("members/") + name, boost::json::object{{"format", 2}}, 0});
        store.keys.commit(txn);
    }
    store.refuse = true;
    Node cut_off(io, store, "one");
    settle();
    EXPECT_FALSE(cut_off.record_format.newest());
    EXPECT_FALSE(cut_off.members.enrolled());
    store.refuse = false;
    store.lost_commit_answers = 1;
    Node one(io, store, "one");
    settle();
    EXPECT_FALSE(one.record_format.newest()) << "it does not know yet whether its own key is there";
    Node again(io, store, "one");
    settle();
    EXPECT_TRUE(again.record_format.newest());
    EXPECT_TRUE(again.members.enrolled());
}

TEST_F(MembersTest, MemberThatReadsLessKeepsAllToTheOldFormat) {
    state::Txn txn;
    txn.changes.push_back({"members/two", boost::json::object{{"format", 1}}, 0});
    txn.changes.push_back({"members/three", boost::json::object{{"format", 3}}, 0});
    txn.changes.push_back({"members/four", boost::json::object{{"format", 2}}, 0});
    store.keys.commit(txn);
    Node one(io, store, "one");
    settle();
    EXPECT_FALSE(one.record_format.newest());
}

}  // namespace flintdale::test
