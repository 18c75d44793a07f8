#include "peer/link.hpp"

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

std::string encode(const Beat& beat) {
    capnp::MallocMessageBuilder message;
    auto b = message.initRoot<::Beat>();
    b.setMember(beat.member);
    b.setLeader(beat.leader);
    b.setTerm(beat.term);
    b.setStateOk(beat.state_ok);
    b.setLeading(beat.leading);
    b.setWrites(beat.writes);
    b.setKnocks(beat.redirects);
    b.setFormat(beat.format);
    b.setGeneration(beat.generation);
    b.setHistory(beat.history);
    b.setRemembers(beat.remembers);
    b.setRebuilding(beat.rebuilding);
    b.setLife(beat.incarnation);
    b.setNumber(beat.word.number);
    b.setWhole(beat.word.whole);
    b.setRelays(beat.relays);
    b.setWorkers(beat.workers);
    b.setCapacity(beat.capacity);
    b.setFleet(beat.fleet);
    auto heard = b.initHeard(static_cast<unsigned>(beat.word.heard.size()));
    for (unsigned i = 0; i < heard.size(); ++i) {
        heard[i].setMember(beat.word.heard[i].member);
        heard[i].setLife(beat.word.heard[i].incarnation);
        heard[i].setNumber(beat.word.heard[i].number);
    }
    auto cancelled = b.initCancelled(static_cast<unsigned>(beat.word.lately.size()));
    for (unsigned i = 0; i < cancelled.size(); ++i) cancelled.set(i, beat.word.lately[i]);
    const auto n = std::min(beat.counts.size(), max_counts);
    auto counts = b.initCounts(static_cast<unsigned>(n));
    for (unsigned i = 0; i < n; ++i) {
        counts[i].setUid(beat.counts[i].uid);
        counts[i].setDone(beat.counts[i].done);
        counts[i].setRunning(beat.counts[i].running);
    }
    const auto words = capnp::messageToFlatArray(message);
    const auto bytes = words.asBytes();
    return std::string(reinterpret_cast<const char*>(bytes.begin()), bytes.size());
}

Beat decode(const std::string& bytes) {
    std::vector<capnp::word> words(bytes.size() / sizeof(capnp::word));
    std::memcpy(words.data(), bytes.data(), words.size() * sizeof(capnp::word));
    try {
        capnp::FlatArrayMessageReader reader(kj::arrayPtr(words.data(), words.size()));
        const auto b = reader.getRoot<::Beat>();
        Beat beat;
        beat.member = b.getMember().cStr();
        beat.leader = b.getLeader().cStr();
        beat.term = b.getTerm();
        beat.state_ok = b.getStateOk();
        beat.leading = b.getLeading();
        beat.writes = b.getWrites();
        beat.redirects = b.getKnocks();
        beat.format = b.getFormat();
        beat.generation = b.getGeneration();
        beat.history = b.getHistory().cStr();
        beat.remembers = b.getRemembers();
        beat.rebuilding = b.getRebuilding();
        beat.incarnation = b.getLife();
        beat.relays = b.getRelays();
        beat.workers = b.getWorkers();
        beat.capacity = b.getCapacity();
        beat.fleet = b.getFleet();
        beat.word.number = b.getNumber();
        beat.word.whole = b.getWhole();
        for (const auto h : b.getHeard()) beat.word.heard.push_back({h.getMember().cStr(), h.getLife(), h.getNumber()});
        for (const auto uid : b.getCancelled()) beat.word.lately.emplace_back(uid.cStr());
        for (const auto c : b.getCounts()) beat.counts.push_back({c.getUid().cStr(), c.getDone(), c.getRunning()});
        return beat;
    } catch (const kj::Exception& e) {
        throw std::runtime_error(e.getDescription().cStr());
    }
}

Links::Links(net::Executor ex, const config::Settings& settings, Receive receive)
    : ex_(ex), acceptor_(ex), settings_(settings), receive_(std::move(receive)) {
    net::listen_when_free(acceptor_, settings.peer_listen.host, settings.peer_listen.port, 64);
}

void Links::start() {
    asio::co_spawn(ex_, accept_loop(), asio::detached);
    for (const auto& peer : settings_.peers) {
        outs_.push_back(std::make_shared<Out>(ex_, peer.member));
        asio::co_spawn(ex_, dial_loop(peer, outs_.back()), asio::detached);
    }
}

std::string Links::frame(Frame kind, const std::string& bytes) {
    std::string out(head_size, '\0');
    for (std::size_t i = 0; i + 1 < head_size; ++i) out[i] = static_cast<char>(bytes.size() >> (8 * i));
    out[head_size - 1] = static_cast<char>(kind);
    return out + bytes;
}

void Links::tell(const Beat& beat) {
    if (outs_.empty()) return;
    const auto sending = frame(Frame::beat, encode(beat));
    for (const auto& out : outs_) {
        if (!out->connected) continue;
        // A peer that does not read gets the newest only.
        if (out->beats.bytes.size() + sending.size() > max_frame) out->beats.clear();
        out->add(out->beats, sending);
    }
}

bool Links::relay(const std::string& member, const RelayMessage& message) {
    const auto at = std::find_if(outs_.begin(), outs_.end(), [&](const auto& out) { return out->member == member; });
    if (at == outs_.end() || !(*at)->connected) return false;
    const auto sending = frame(Frame::relay, encode(message));
    if (sending.size() > max_frame || (*at)->relayed.bytes.size() + sending.size() > max_relayed) return false;
    (*at)->add((*at)->relayed, sending);
    return true;
}

awaitable<void> Links::dial_loop(config::Peer peer, std::shared_ptr<Out> out) {
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
            out->beats.clear();
            out->relayed.clear();
            if (receive_.lost) receive_.lost(out->member);
        }
        co_await net::sleep_for(700ms);
    }
}

// Returns when the connection has broken.
awaitable<void> Links::send_loop(beast::tcp_stream& stream, Out& out) {
    for (;;) {
        co_await out.wake.wait(30s);
        std::string sending, relayed;
        sending.swap(out.beats.bytes);
        relayed.swap(out.relayed.bytes);
        if (sending.empty() && relayed.empty()) continue;
        std::string receipts(std::exchange(out.beats.frames, 0) + std::exchange(out.relayed.frames, 0), '\0');
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

awaitable<void> Links::accept_loop() {
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

void Links::received(Frame kind, const std::string& body, std::uint64_t connection) {
    if (kind == Frame::relay) {
        if (receive_.relay) receive_.relay(decode_relay(body));
        return;
    }
    auto beat = decode(body);
    beat.connection = connection;
    receive_.beat(beat);
}

awaitable<void> Links::session(net::tcp::socket socket) {
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
            spdlog::error("event=peer_nonsense why=\"{}\"", e.what());
            break;
        }
        auto [rec, sent] = co_await asio::async_write(stream, asio::buffer(&receipt, 1), net::quietly);
        if (rec) break;
    }
    --sessions_;
}

}  // namespace flintdale::peer
