#include "app/node.hpp"

#include <algorithm>

namespace flintdale::app {

namespace {

// Sockets for the controller's own connections: a share of the limit, and at most so many.
constexpr std::size_t own_sockets_divisor = 4;
constexpr std::size_t max_own_sockets = 64;

std::int64_t time_of_day_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::size_t server_sockets(const config::Settings& settings) {
    return settings.max_sockets - std::min<std::size_t>(settings.max_sockets / own_sockets_divisor, max_own_sockets);
}

}  // namespace

Node::Node(net::asio::io_context& io, config::Settings settings, config::OperatorSettings operator_settings)
    : ex_(io.get_executor()),
      settings_(std::move(settings)),
      operator_settings_(std::move(operator_settings)),
      record_format_(settings_),
      store_(ex_, settings_, record_format_),
      cloud_(ex_, settings_),
      workers_(ex_),
      peers_(ex_, settings_, peer_callbacks()),
      controller_(ex_, settings_, operator_settings_, record_format_, ports()),
      server_(ex_, settings_.listen.host, settings_.listen.port, server_sockets(settings_),
              [this](net::Request request) { return controller_.handle(std::move(request)); }) {}

peer::PeerConnections::Callbacks Node::peer_callbacks() {
    return {[this](const peer::StatusMessage& status) { controller_.received(status); },
            [this](const peer::RelayMessage& message) { controller_.relayed(message); },
            [this](const std::string& member) { controller_.link_lost(member); }};
}

Ports Node::ports() {
    return {store_,
            cloud_,
            workers_,
            [this](const peer::StatusMessage& status) { peers_.broadcast(status); },
            time_of_day_ms,
            [this](const std::string& member, const peer::RelayMessage& message) {
                return peers_.send_relay_message(member, message);
            }};
}

void Node::start() {
    server_.start();
    peers_.start();
    controller_.start();
}

}  // namespace flintdale::app
