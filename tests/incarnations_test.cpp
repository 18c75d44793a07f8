// A process that is back before anybody noticed: what its former incarnation left behind is not taken for its own.
#include "peer/incarnations.hpp"

#include <gtest/gtest.h>

#include "net/listen.hpp"
#include "peer/peer_connections.hpp"
#include "simulator/simulation.hpp"

namespace flintdale::test {

using From = peer::Incarnations::From;

TEST(IncarnationsTest, DelayedMessageDoesNotCountForTheNextIncarnation) {
    peer::Incarnations incarnations;
    EXPECT_EQ(incarnations.heard("one", 70, 1), From::next);
    EXPECT_EQ(incarnations.heard("one", 70, 1), From::present);
    EXPECT_EQ(incarnations.heard("one", 65, 4), From::next)
        << "the clock may have wandered back: what counts is the connection";
    EXPECT_EQ(incarnations.heard("one", 70, 1), From::former);
    EXPECT_EQ(incarnations.heard("one", 65, 6), From::present) << "it has dialled again";
    EXPECT_EQ(incarnations.heard("one", 70, 3), From::former);
    EXPECT_EQ(incarnations.heard("one", 65, 4), From::present) << "its own, held a little";
    EXPECT_EQ(incarnations.heard("two", 0, 2), From::next) << "a version that does not tell";
    EXPECT_EQ(incarnations.heard("two", 0, 5), From::present);
}

TEST(IncarnationsTest, IncarnationIsPartOfEveryMessage) {
    peer::StatusMessage heartbeat;
    heartbeat.member = "one";
    heartbeat.incarnation = 1'700'000'000'000'123;
    EXPECT_EQ(peer::decode(peer::encode(heartbeat)).incarnation, heartbeat.incarnation);
}

TEST(ListenTest, TakenPortIsNamedAndAFreeOneIsBound) {
    net::asio::io_context io;
    net::tcp::acceptor first(io), second(io), third(io);
    net::listen_when_free(first, "127.0.0.1", 0, 8);
    const auto port = first.local_endpoint().port();
    try {
        net::listen_when_free(second, "127.0.0.1", port, 8, std::chrono::milliseconds(0));
        FAIL() << "two cannot listen there";
    } catch (const std::runtime_error& e) {
        EXPECT_NE(std::string(e.what()).find("127.0.0.1:" + std::to_string(port)), std::string::npos) << e.what();
    }
    net::listen_when_free(third, "127.0.0.1", 0, 8, std::chrono::milliseconds(0));
    EXPECT_NE(third.local_endpoint().port(), port);
}

}  // namespace flintdale::test
