#include "peer/peer_connections.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "net/listen.hpp"

namespace flintdale::peer {

using namespace std::chrono_literals;
namespace asio = net::asio;
namespace beast = net::beast;

namespace {

constexpr std::size_t max_frame = 1024 * 1024;      // bytes
constexpr std::size_t max_relayed = 4 * max_frame;  // bytes queued for one controller
constexpr std::size_t header_size = 4;              // bytes: three for the frame's size, one for its kind
constexpr char ack_byte = 6;                        // ASCII ACK
constexpr std::size_t max_incoming = 64;            // connections
constexpr int backlog = 64;
constexpr auto connect_limit = 2s;
constexpr auto reconnect_delay = 700ms;
constexpr auto accept_retry_delay = 50ms;
constexpr auto send_limit = 3s;
constexpr auto idle_limit = 30s;

}  // namespace

PeerConnections::PeerConnections(net::Executor ex, const config::Settings& settings, Callbacks callbacks)
    : ex_(ex), acceptor_(ex), settings_(settings), callbacks_(std::move(callbacks)) {
    net::listen_when_free(acceptor_, settings.peer_listen.host, settings.peer_listen.port, backlog);
}

void PeerConnections::start() {
    asio::co_spawn(ex_, accept_loop(), asio::detached);
    for (const auto& peer : settings_.peers) {
        outgoing_.push_back(std::make_shared<OutgoingConnection>(ex_, peer.member));
        asio::co_spawn(ex_, connect_loop(peer, outgoing_.back()), asio::detached);
    }
}

std::string PeerConnections::make_frame(FrameKind kind, const std::string& message) {
    std::string header(header_size, '\0');
    for (std::size_t i = 0; i + 1 < header_size; ++i) header[i] = static_cast<char>(message.size() >> (8 * i));
    header[header_size - 1] = static_cast<char>(kind);
    return header + message;
}

void PeerConnections::broadcast(const StatusMessage& status) {
    if (outgoing_.empty()) return;
    const auto frame = make_frame(FrameKind::status, encode(status));
    for (const auto& connection : outgoing_) {
        if (!connection->connected) continue;
        auto& queue = connection->status_messages;
        if (queue.bytes.size() + frame.size() > max_frame) queue.clear();
        connection->add(queue, frame);
    }
}

bool PeerConnections::send_relay_message(const std::string& member, const RelayMessage& message) {
    const auto at = std::find_if(outgoing_.begin(), outgoing_.end(),
                                 [&](const auto& connection) { return connection->member == member; });
    if (at == outgoing_.end() || !(*at)->connected) return false;
    auto& queue = (*at)->relay_messages;
    const auto frame = make_frame(FrameKind::relay, encode(message));
    if (frame.size() > max_frame || queue.bytes.size() + frame.size() > max_relayed) return false;
    (*at)->add(queue, frame);
    return true;
}

awaitable<void> PeerConnections::connect_loop(config::Peer peer, std::shared_ptr<OutgoingConnection> connection) {
    const net::tcp::endpoint endpoint(asio::ip::make_address(peer.addr.host), peer.addr.port);
    for (;;) {
        beast::tcp_stream stream(ex_);
        stream.expires_after(connect_limit);
        auto [ec] = co_await stream.async_connect(endpoint, net::use_nothrow_awaitable);
        if (!ec) {
            boost::system::error_code ignored;
            stream.socket().set_option(net::tcp::no_delay(true), ignored);
            connection->connected = true;
            co_await send_loop(stream, *connection);
            connection->connected = false;
            connection->status_messages.clear();
            connection->relay_messages.clear();
            if (callbacks_.lost) callbacks_.lost(connection->member);
        }
        co_await net::sleep_for(reconnect_delay);
    }
}

awaitable<void> PeerConnections::send_loop(beast::tcp_stream& stream, OutgoingConnection& connection) {
    for (;;) {
        co_await connection.wake.wait(idle_limit);
        std::string sending, relayed;
        sending.swap(connection.status_messages.bytes);
        relayed.swap(connection.relay_messages.bytes);
        if (sending.empty() && relayed.empty()) continue;
        const auto frames =
            std::exchange(connection.status_messages.frames, 0) + std::exchange(connection.relay_messages.frames, 0);
        std::string acks(frames, '\0');
        sending += relayed;
        stream.expires_after(send_limit);
        auto [wec, n] = co_await asio::async_write(stream, asio::buffer(sending), net::use_nothrow_awaitable);
        if (wec) co_return;
        // The peer acknowledges each frame. A sender that only writes does not notice that the peer has closed the
        // connection, as it does after the idle limit. Without acknowledgements, a controller whose process had paused
        // for that long kept writing to closed connections, and its peers received nothing more.
        auto [rec, received] = co_await asio::async_read(stream, asio::buffer(acks), net::use_nothrow_awaitable);
        if (rec) co_return;
    }
}

awaitable<void> PeerConnections::accept_loop() {
    for (;;) {
        auto [ec, socket] = co_await acceptor_.async_accept(net::use_nothrow_awaitable);
        if (ec) {
            co_await net::sleep_for(accept_retry_delay);
            continue;
        }
        if (open_incoming_ >= max_incoming) continue;  // the socket's destructor closes it
        asio::co_spawn(ex_, receive_loop(std::move(socket)), asio::detached);
    }
}

void PeerConnections::received(FrameKind kind, const std::string& message, std::uint64_t connection) {
    if (kind == FrameKind::relay) {
        if (callbacks_.relay) callbacks_.relay(decode_relay(message));
        return;
    }
    auto status = decode_status(message);
    status.connection = connection;
    callbacks_.status(status);
}

awaitable<void> PeerConnections::receive_loop(net::tcp::socket socket) {
    ++open_incoming_;
    const auto connection = ++accepted_;
    // Disables Nagle's algorithm, which would delay an acknowledgement byte until TCP confirms the one before it.
    boost::system::error_code ignored;
    socket.set_option(net::tcp::no_delay(true), ignored);
    beast::tcp_stream stream(std::move(socket));
    std::string message;
    for (;;) {
        unsigned char header[header_size];
        stream.expires_after(idle_limit);
        auto [hec, hn] = co_await asio::async_read(stream, asio::buffer(header), net::use_nothrow_awaitable);
        if (hec) break;
        const std::size_t size = header[0] | header[1] << 8 | header[2] << 16;
        const auto kind = header[3];
        if (size == 0 || size > max_frame || kind > static_cast<unsigned char>(FrameKind::relay)) break;
        message.resize(size);
        auto [bec, bn] = co_await asio::async_read(stream, asio::buffer(message), net::use_nothrow_awaitable);
        if (bec) break;
        try {
            received(static_cast<FrameKind>(kind), message, connection);
        } catch (const std::exception& e) {
            spdlog::error("event=peer_message_invalid why=\"{}\"", e.what());
            break;
        }
        auto [rec, sent] = co_await asio::async_write(stream, asio::buffer(&ack_byte, 1), net::use_nothrow_awaitable);
        if (rec) break;
    }
    --open_incoming_;
}

}  // namespace flintdale::peer
