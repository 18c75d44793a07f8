#include "app/node.hpp"

namespace flintdale::app {

namespace {
std::int64_t time_of_day_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
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
      peers_(ex_, settings_,
             {[this](const peer::StatusMessage& b) { controller_.received(b); },
              [this](const peer::RelayMessage& m) { controller_.relayed(m); },
              [this](const std::string& member) { controller_.link_lost(member); }}),
      controller_(
          ex_, settings_, operator_settings_, record_format_,
          {store_, cloud_, workers_, [this](const peer::StatusMessage& b) { peers_.broadcast(b); }, time_of_day_ms,
           [this](const std::string& member, const peer::RelayMessage& m) {
               return peers_.send_relay_message(member, m);
           }}),
      // Some sockets are needed for our own connections.
      server_(ex_, settings_.listen.host, settings_.listen.port,
              settings_.max_sockets - std::min<std::size_t>(settings_.max_sockets / 4, 64),
              [this](net::Request request) { return controller_.handle(std::move(request)); }) {}

void Node::start() {
    server_.start();
    peers_.start();
    controller_.start();
}

}  // namespace flintdale::app
