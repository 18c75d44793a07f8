// Passes on what one controller sends another over TCP, and counts it: what two processes of others say to each other
// cannot be measured from outside.
#pragma once
#include <memory>

#include "config/settings.hpp"
#include "net/asio.hpp"

namespace flintdale::load_test {

using net::awaitable;

class LinkProxy {
  public:
    LinkProxy(net::Executor ex, const config::Address& listen, const config::Address& target);
    void start();
    std::uint64_t bytes() const { return bytes_; }

  private:
    awaitable<void> accept_loop();
    awaitable<void> pass(net::tcp::socket near);
    struct Pair {
        net::tcp::socket near, far;
        void close();
    };
    awaitable<void> pump(std::shared_ptr<Pair> pair, bool forward);

    net::Executor ex_;
    net::tcp::acceptor acceptor_;
    net::tcp::endpoint target_;
    std::uint64_t bytes_ = 0;
};

}  // namespace flintdale::load_test
