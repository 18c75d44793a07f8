#include "net/listen.hpp"

#include <gtest/gtest.h>

namespace flintdale::test {

TEST(ListenTest, TakenPortIsNamedAndAFreeOneIsBound) {
    net::asio::io_context io;
    net::tcp::acceptor first(io), second(io), third(io);
    net::listen_when_free(first, "127.0.0.1", 0, 8);
    const auto port = first.local_endpoint().port();
    try {
        net::listen_when_free(second, "127.0.0.1", port, 8, std::chrono::milliseconds(0));
        FAIL() << "a second acceptor listens on a port in use";
    } catch (const std::runtime_error& e) {
        EXPECT_NE(std::string(e.what()).find("127.0.0.1:" + std::to_string(port)), std::string::npos) << e.what();
    }
    net::listen_when_free(third, "127.0.0.1", 0, 8, std::chrono::milliseconds(0));
    EXPECT_NE(third.local_endpoint().port(), port);
}

}  // namespace flintdale::test
