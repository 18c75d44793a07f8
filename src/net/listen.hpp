// Binds a port that the previous process may still hold: a controller that ended may be started again within a fraction
// of a second.
#pragma once
#include "net/asio.hpp"

namespace flintdale::net {

// Opens and binds the acceptor and listens. While the address is in use it tries again, until `timeout`. Blocks the
// thread, for nothing can be done before. Throws std::runtime_error that names the address.
void listen_when_free(tcp::acceptor& acceptor, const std::string& host, std::uint16_t port, int backlog,
                      std::chrono::milliseconds timeout = std::chrono::seconds(10));

}  // namespace flintdale::net
