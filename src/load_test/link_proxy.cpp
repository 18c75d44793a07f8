#include "load_test/link_proxy.hpp"

#include <array>

#include "net/listen.hpp"

namespace flintdale::load_test {

using namespace std::chrono_literals;
namespace asio = net::asio;

namespace {
constexpr std::size_t buffer_size = 64 * 1024;
}

LinkProxy::LinkProxy(net::Executor ex, const config::Address& listen, const config::Address& target)
    : ex_(ex), acceptor_(ex), target_(asio::ip::make_address(target.host), target.port) {
    net::listen_when_free(acceptor_, listen.host, listen.port, 16);
}

void LinkProxy::start() { asio::co_spawn(ex_, accept_loop(), asio::detached); }

void LinkProxy::Pair::close() {
    boost::system::error_code ignored;
    near.close(ignored);
    far.close(ignored);
}

awaitable<void> LinkProxy::accept_loop() {
    for (;;) {
        auto [ec, socket] = co_await acceptor_.async_accept(net::quietly);
        if (ec) {
            co_await net::sleep_for(50ms);
            continue;
        }
        asio::co_spawn(ex_, pass(std::move(socket)), asio::detached);
    }
}

awaitable<void> LinkProxy::pass(net::tcp::socket near) {
    auto pair = std::make_shared<Pair>(Pair{std::move(near), net::tcp::socket(ex_)});
    auto [ec] = co_await pair->far.async_connect(target_, net::quietly);
    if (ec) co_return;
    boost::system::error_code ignored;
    pair->near.set_option(net::tcp::no_delay(true), ignored);
    pair->far.set_option(net::tcp::no_delay(true), ignored);
    asio::co_spawn(ex_, pump(pair, true), asio::detached);
    asio::co_spawn(ex_, pump(pair, false), asio::detached);
}

awaitable<void> LinkProxy::pump(std::shared_ptr<Pair> pair, bool forward) {
    auto& from = forward ? pair->near : pair->far;
    auto& to = forward ? pair->far : pair->near;
    std::vector<char> buffer(buffer_size);
    for (;;) {
        auto [rec, size] = co_await from.async_read_some(asio::buffer(buffer), net::quietly);
        if (rec) break;
        bytes_ += size;
        auto [wec, written] = co_await asio::async_write(to, asio::buffer(buffer.data(), size), net::quietly);
        if (wec) break;
    }
    pair->close();
}

}  // namespace flintdale::load_test
