// Binding a port that the process before this one may still hold: a controller that ended may be started again within
// a fraction of a second.
#pragma once
#include "net/asio.hpp"

namespace flintdale::net {

// Opens, binds and listens; tries again for so long while the address is taken. Blocks, for nothing can be done before.
// Throws std::runtime_error that names the address.
void listen_when_free(tcp::acceptor& acceptor, const std::string& host, std::uint16_t port, int backlog,
                      std::chrono::milliseconds patience = std::chrono::seconds(10));

}  // namespace flintdale::net
