#include "peer/peer_connections.hpp"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>
#include <spdlog/spdlog.h>

#include "net/listen.hpp"
#include "wire/peer.capnp.h"

namespace flintdale::peer {

using namespace std::chrono_literals;
namespace asio = net::asio;
namespace beast = net::beast;

namespace {
constexpr std::size_t max_frame = 1024 * 1024;
constexpr std::size_t max_relayed = 4 * max_frame;  // that wait for one controller
constexpr std::size_t head_size = 4;                // three bytes of a frame's size, one of its kind
constexpr char receipt = 6;
constexpr std::size_t max_sessions = 64;
constexpr std::size_t max_counts = 4000;
}  // namespace

std::string encode(const StatusMessage& status) {
    capnp::MallocMessageBuilder message;
    auto b = message.initRoot<::StatusMessage>();
    b.setMember(status.member);
    b.setLeader(status.leader);
    b.setTerm(status.term);
    b.setStoreHealthy(status.state_ok);
    b.setLeading(status.leading);
    b.setWrites(status.writes);
    b.setRedirects(status.redirects);
    b.setFormat(status.format);
    b.setGeneration(status.generation);
    b.setHistory(status.history);
    b.setRemembers(status.remembers);
    b.setRebuilding(status.rebuilding);
    b.setIncarnation(status.incarnation);
    b.setNumber(status.cancellations.number);
    b.setWhole(status.cancellations.whole);
    b.setRelays(status.relays);
    b.setWorkers(status.workers);
    b.setCapacity(status.capacity);
    b.setFleet(status.fleet);
    auto heard = b.initHeard(static_cast<unsigned>(status.cancellations.heard.size()));
    for (unsigned i = 0; i < heard.size(); ++i) {
        heard[i].setMember(status.cancellations.heard[i].member);
        heard[i].setIncarnation(status.cancellations.heard[i].incarnation);
        heard[i].setNumber(status.cancellations.heard[i].number);
    }
    auto cancelled = b.initCancelled(static_cast<unsigned>(status.cancellations.lately.size()));
    for (unsigned i = 0; i < cancelled.size(); ++i) cancelled.set(i, status.cancellations.lately[i]);
    const auto n = std::min(status.counts.size(), max_counts);
    auto counts = b.initCounts(static_cast<unsigned>(n));
    for (unsigned i = 0; i < n; ++i) {
        counts[i].setUid(status.counts[i].uid);
        counts[i].setDone(status.counts[i].done);
        counts[i].setRunning(status.counts[i].running);
    }
    const auto words = capnp::messageToFlatArray(message);
    const auto bytes = words.asBytes();
    return std::string(reinterpret_cast<const char*>(bytes.begin()), bytes.size());
}

StatusMessage decode(const std::string& bytes) {
    std::vector<capnp::word> words(bytes.size() / sizeof(capnp::word));
    std::memcpy(words.data(), bytes.data(), words.size() * sizeof(capnp::word));
    try {
        capnp::FlatArrayMessageReader reader(kj::arrayPtr(words.data(), words.size()));
        const auto b = reader.getRoot<::StatusMessage>();
        StatusMessage status;
        status.member = b.getMember().cStr();
        status.leader = b.getLeader().cStr();
        status.term = b.getTerm();
        status.state_ok = b.getStoreHealthy();
        status.leading = b.getLeading();
        status.writes = b.getWrites();
        status.redirects = b.getRedirects();
        status.format = b.getFormat();
        status.generation = b.getGeneration();
        status.history = b.getHistory().cStr();
        status.remembers = b.getRemembers();
        status.rebuilding = b.getRebuilding();
        status.incarnation = b.getIncarnation();
        status.relays = b.getRelays();
        status.workers = b.getWorkers();
        status.capacity = b.getCapacity();
        status.fleet = b.getFleet();
        status.cancellations.number = b.getNumber();
        status.cancellations.whole = b.getWhole();
        for (const auto h : b.getHeard())
            status.cancellations.heard.push_back({h.getMember().cStr(), h.getIncarnation(), h.getNumber()});
        for (const auto uid : b.getCancelled()) status.cancellations.lately.emplace_back(uid.cStr());
        for (const auto c : b.getCounts()) status.counts.push_back({c.getUid().cStr(), c.getDone(), c.getRunning()});
        return status;
    } catch (const kj::Exception& e) {
        throw std::runtime_error(e.getDescription().cStr());
    }
}

PeerConnections::PeerConnections(net::Executor ex, const config::Settings& settings, Receive receive)
    : ex_(ex), acceptor_(ex), settings_(settings), receive_(std::move(receive)) {
    net::listen_when_free(acceptor_, settings.peer_listen.host, settings.peer_listen.port, 64);
}

void PeerConnections::start() {
    asio::co_spawn(ex_, accept_loop(), asio::detached);
    for (const auto& peer : settings_.peers) {
        outs_.push_back(std::make_shared<Out>(ex_, peer.member));
        asio::co_spawn(ex_, dial_loop(peer, outs_.back()), asio::detached);
    }
}

std::string PeerConnections::frame(Frame kind, const std::string& bytes) {
    std::string out(head_size, '\0');
    for (std::size_t i = 0; i + 1 < head_size; ++i) out[i] = static_cast<char>(bytes.size() >> (8 * i));
    out[head_size - 1] = static_cast<char>(kind);
    return out + bytes;
}

void PeerConnections::broadcast(const StatusMessage& status) {
    if (outs_.empty()) return;
    const auto sending = frame(Frame::status, encode(status));
    for (const auto& out : outs_) {
        if (!out->connected) continue;
        // A peer that does not read gets the newest only.
        if (out->status_messages.bytes.size() + sending.size() > max_frame) out->status_messages.clear();
        out->add(out->status_messages, sending);
    }
}

bool PeerConnections::send_relay_message(const std::string& member, const RelayMessage& message) {
    const auto at = std::find_if(outs_.begin(), outs_.end(), [&](const auto& out) { return out->member == member; });
    if (at == outs_.end() || !(*at)->connected) return false;
    const auto sending = frame(Frame::relay, encode(message));
    if (sending.size() > max_frame || (*at)->relayed.bytes.size() + sending.size() > max_relayed) return false;
    (*at)->add((*at)->relayed, sending);
    return true;
}

awaitable<void> PeerConnections::dial_loop(config::Peer peer, std::shared_ptr<Out> out) {
    const net::tcp::endpoint endpoint(asio::ip::make_address(peer.addr.host), peer.addr.port);
    for (;;) {
        beast::tcp_stream stream(ex_);
        stream.expires_after(2s);
        auto [ec] = co_await stream.async_connect(endpoint, net::quietly);
        if (!ec) {
            boost::system::error_code ignored;
            stream.socket().set_option(net::tcp::no_delay(true), ignored);
            out->connected = true;
            co_await send_loop(stream, *out);
            out->connected = false;
            out->status_messages.clear();
            out->relayed.clear();
            if (receive_.lost) receive_.lost(out->member);
        }
        co_await net::sleep_for(700ms);
    }
}

// Returns when the connection has broken.
awaitable<void> PeerConnections::send_loop(beast::tcp_stream& stream, Out& out) {
    for (;;) {
        co_await out.wake.wait(30s);
        std::string sending, relayed;
        sending.swap(out.status_messages.bytes);
        relayed.swap(out.relayed.bytes);
        if (sending.empty() && relayed.empty()) continue;
        std::string receipts(std::exchange(out.status_messages.frames, 0) + std::exchange(out.relayed.frames, 0), '\0');
        sending += relayed;
        stream.expires_after(3s);
        auto [wec, n] = co_await asio::async_write(stream, asio::buffer(sending), net::quietly);
        if (wec) co_return;
        // Each message is receipted: who only writes never learns that the other end has closed. A controller
        // that stood still for as long as its peers wait was not heard by them for the rest of the day.
        auto [rec, got] = co_await asio::async_read(stream, asio::buffer(receipts), net::quietly);
        if (rec) co_return;
    }
}

awaitable<void> PeerConnections::accept_loop() {
    for (;;) {
        auto [ec, socket] = co_await acceptor_.async_accept(net::quietly);
        if (ec) {
            co_await net::sleep_for(50ms);
            continue;
        }
        if (sessions_ >= max_sessions) continue;
        asio::co_spawn(ex_, session(std::move(socket)), asio::detached);
    }
}

void PeerConnections::received(Frame kind, const std::string& body, std::uint64_t connection) {
    if (kind == Frame::relay) {
        if (receive_.relay) receive_.relay(decode_relay(body));
        return;
    }
    auto status = decode(body);
    status.connection = connection;
    receive_.status(status);
}

awaitable<void> PeerConnections::session(net::tcp::socket socket) {
    ++sessions_;
    const auto connection = ++accepted_;
    // A receipt must not wait until the one before it is acknowledged.
    boost::system::error_code ignored;
    socket.set_option(net::tcp::no_delay(true), ignored);
    beast::tcp_stream stream(std::move(socket));
    std::string body;
    for (;;) {
        unsigned char head[head_size];
        stream.expires_after(30s);
        auto [hec, hn] = co_await asio::async_read(stream, asio::buffer(head), net::quietly);
        if (hec) break;
        const std::size_t size = head[0] | head[1] << 8 | head[2] << 16;
        if (size == 0 || size > max_frame || head[3] > static_cast<unsigned char>(Frame::relay)) break;
        body.resize(size);
        auto [bec, bn] = co_await asio::async_read(stream, asio::buffer(body), net::quietly);
        if (bec) break;
        try {
            received(static_cast<Frame>(head[3]), body, connection);
        } catch (const std::exception& e) {
            spdlog::error("event=peer_message_invalid why=\"{}\"", e.what());
            break;
        }
        auto [rec, sent] = co_await asio::async_write(stream, asio::buffer(&receipt, 1), net::quietly);
        if (rec) break;
    }
    --sessions_;
}

}  // namespace flintdale::peer
