// The connections between the controllers of a cluster: one outgoing connection to each peer, on which this controller
// sends, and the accepted ones, on which it receives. Messages may be lost when a connection breaks.
//
// A frame is three bytes of size (little endian), one byte of kind, and the message. The receiver acknowledges each
// frame with one byte.
#pragma once
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "net/asio.hpp"
#include "peer/relay_message.hpp"
#include "peer/status_message.hpp"

namespace flintdale::peer {

using net::awaitable;

class PeerConnections {
  public:
    // `relay` and `lost` are optional.
    struct Callbacks {
        std::function<void(const StatusMessage&)> status;
        std::function<void(const RelayMessage&)> relay;
        // The connection to this member has broken: the last messages may not have arrived.
        std::function<void(const std::string& member)> lost;
    };

    // Binds the address for peers; throws std::runtime_error if it cannot. `settings` must outlive the object.
    PeerConnections(net::Executor ex, const config::Settings& settings, Callbacks callbacks);

    // Starts to accept connections and to connect to all peers.
    void start();

    // Queues the message for that controller; false if it is not connected or its queue is full.
    bool send_relay_message(const std::string& member, const RelayMessage& message);

    // Queues the message for every connected peer. Peers that are not connected never get it. If the queue of a slow
    // peer is full, its older messages are dropped.
    void broadcast(const StatusMessage& status);

  private:
    enum class FrameKind : std::uint8_t { status = 0, relay = 1 };

    struct OutgoingConnection {
        struct Queue {
            void clear() {
                bytes.clear();
                frames = 0;
            }
            std::string bytes;
            std::size_t frames = 0;
        };
        OutgoingConnection(net::Executor ex, std::string m) : wake(ex), member(std::move(m)) {}
        void add(Queue& queue, const std::string& frame) {
            queue.bytes += frame;
            ++queue.frames;
            wake.notify();
        }
        net::Wakeup wake;
        std::string member;
        Queue status_messages, relay_messages;
        bool connected = false;
    };

    static std::string make_frame(FrameKind kind, const std::string& message);
    // Connects to the peer, and again each time that the connection breaks.
    awaitable<void> connect_loop(config::Peer peer, std::shared_ptr<OutgoingConnection> connection);
    // Sends what is queued; returns when the connection has broken.
    awaitable<void> send_loop(net::beast::tcp_stream& stream, OutgoingConnection& connection);
    awaitable<void> accept_loop();
    // Reads frames from an accepted connection until it breaks or a frame is invalid.
    awaitable<void> receive_loop(net::tcp::socket socket);
    // Throws if the message is invalid.
    void received(FrameKind kind, const std::string& message, std::uint64_t connection);

    net::Executor ex_;
    net::tcp::acceptor acceptor_;
    const config::Settings& settings_;
    Callbacks callbacks_;
    std::vector<std::shared_ptr<OutgoingConnection>> outgoing_;
    std::size_t open_incoming_ = 0;
    std::uint64_t accepted_ = 0;  // connections accepted so far
};

}  // namespace flintdale::peer
