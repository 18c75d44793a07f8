// One controller on the network: its connections to the state service, the cloud and the other controllers, and its
// HTTP server.
#pragma once
#include "app/controller.hpp"
#include "net/http_server.hpp"
#include "peer/peer_connections.hpp"
#include "state/http_store.hpp"

namespace flintdale::app {

class Node {
  public:
    Node(net::asio::io_context& io, config::Settings settings, config::OperatorSettings operator_settings);
    // Starts serving. Call it once, before the io_context runs.
    void start();

  private:
    peer::PeerConnections::Callbacks peer_callbacks();
    Ports ports();

    net::Executor ex_;
    config::Settings settings_;
    config::OperatorSettings operator_settings_;
    state::RecordFormat record_format_;
    state::HttpStore store_;
    cloud::HttpCloud cloud_;
    worker::HttpWorkers workers_;
    peer::PeerConnections peers_;
    Controller controller_;
    net::HttpServer server_;
};

}  // namespace flintdale::app
