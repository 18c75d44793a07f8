#include "net/listen.hpp"

#include <spdlog/spdlog.h>

#include <thread>

namespace flintdale::net {

namespace {

constexpr std::chrono::milliseconds retry_delay{20};

}  // namespace

void listen_when_free(tcp::acceptor& acceptor, const std::string& host, std::uint16_t port, int backlog,
                      std::chrono::milliseconds timeout) {
    const tcp::endpoint endpoint(asio::ip::make_address(host), port);
    acceptor.open(endpoint.protocol());
    acceptor.set_option(asio::socket_base::reuse_address(true));
    for (std::chrono::milliseconds waited{0};; waited += retry_delay) {
        boost::system::error_code ec;
        acceptor.bind(endpoint, ec);
        if (!ec) acceptor.listen(backlog, ec);
        if (!ec) return;
        if (ec != asio::error::address_in_use || waited >= timeout)
            throw std::runtime_error(host + ":" + std::to_string(port) + ": " + ec.message());
        if (waited.count() == 0) spdlog::info("event=port_taken addr={}:{}", host, port);
        std::this_thread::sleep_for(retry_delay);
    }
}

}  // namespace flintdale::net
