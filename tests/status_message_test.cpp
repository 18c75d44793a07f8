// The codec of status messages between controllers.
#include "peer/status_message.hpp"

#include <gtest/gtest.h>

namespace flintdale::test {

TEST(IncarnationsTest, IncarnationIsPartOfEveryMessage) {
    peer::StatusMessage heartbeat;
    heartbeat.member = "one";
    heartbeat.incarnation = 1'700'000'000'000'123;
    EXPECT_EQ(peer::decode_status(peer::encode(heartbeat)).incarnation, heartbeat.incarnation);
}

TEST(WireTest, PeerMessagesSurviveEncodingAndInvalidOnesAreRefused) {
    peer::StatusMessage b;
    b.member = "one";
    b.leader = "two";
    b.term = 7;
    b.store_healthy = true;
    b.redirects = 12;
    b.format = 2;
    b.counts = {{"run-1", 3, 4}};
    const auto back = peer::decode_status(peer::encode(b));
    EXPECT_EQ(back.member, "one");
    EXPECT_EQ(back.leader, "two");
    EXPECT_EQ(back.term, 7u);
    EXPECT_TRUE(back.store_healthy);
    EXPECT_EQ(back.redirects, 12u);
    EXPECT_EQ(back.format, 2u);
    ASSERT_EQ(back.counts.size(), 1u);
    EXPECT_EQ(back.counts[0].running, 4u);
    EXPECT_THROW(peer::decode_status("abcdefghijklmnop"), std::exception);
    EXPECT_THROW(peer::decode_status(""), std::exception);
}

}  // namespace flintdale::test
