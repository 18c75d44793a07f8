// Numbers of terms after all records of terms were lost.
#include <gtest/gtest.h>

#include "election/elector.hpp"
#include "support/fake_store.hpp"

namespace flintdale::test {

TEST(TermNumberTest, TermExceedsTheTimeOfDaySoThatNoLostTermReturns) {
    net::asio::io_context io;
    FakeStore store;
    std::vector<election::Term> won;
    std::int64_t clock = 5000;
    election::Elector elector(io.get_executor(), store, "one", Seconds(5),
                              {[&](election::Term t) { won.push_back(t); }, [] {}}, [&] { return clock; });
    net::asio::co_spawn(io, elector.run(), net::asio::detached);
    const auto settle = [&] {
        io.restart();
        while (io.poll() > 0) {
        }
    };
    settle();
    ASSERT_EQ(won.size(), 1u);
    EXPECT_EQ(won[0].number, 5000u);
    EXPECT_FALSE(won[0].record_lost);
    store.keys = InMemoryStore();
    clock = 9000;
    elector.restart_term("the state service lost data");
    settle();
    ASSERT_EQ(won.size(), 2u);
    EXPECT_EQ(won[1].number, 9000u);
    EXPECT_EQ(won[1].previous, 0u);
    EXPECT_TRUE(won[1].record_lost) << "term 5000 was seen, and is not on record";
}

}  // namespace flintdale::test
