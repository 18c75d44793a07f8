// Binds a port that the previous process may still occupy, because a controller may be restarted within a fraction of a
// second after it ended.
#pragma once
#include "net/asio.hpp"

namespace flintdale::net {

// Opens and binds the acceptor and listens. Retries while the address is in use, until `timeout`. Blocks the thread,
// because a controller can do nothing before it listens. Throws std::runtime_error with the address in its message.
void listen_when_free(tcp::acceptor& acceptor, const std::string& host, std::uint16_t port, int backlog,
                      std::chrono::milliseconds timeout = std::chrono::seconds(10));

}  // namespace flintdale::net
