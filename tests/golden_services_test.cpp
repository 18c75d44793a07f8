// What the state service and the cloud are asked over HTTP, and what is understood of their answers. Both are played by
// a server on this machine that gives the answers of a list, one after another. And how messages between controllers
// are framed.
#include <deque>

#include "cloud/client.hpp"
#include "net/http_server.hpp"
#include "peer/peer_connections.hpp"
#include "state/http_store.hpp"
#include "support/golden_support.hpp"

namespace flintdale::test {

namespace {

class PlayedService {
  public:
    PlayedService() { server_.start(); }

    std::string asked;  // each request: its verb, its target and its body

    config::Settings settings() const {
        auto out = golden_settings("hearth-0", "hearth-1");
        out.controllers = 1;
        out.store_limits.rps = out.store_limits.write_rps = out.cloud_requests_per_s = 100'000;
        out.state.host = out.cloud.host = "127.0.0.1";
        out.state.port = out.cloud.port = server_.port();
        return out;
    }
    void gives(unsigned status, std::string body) {
        net::Reply reply;
        reply.status = status;
        reply.body = std::move(body);
        replies_.push_back(std::move(reply));
    }
    template <class Result>
    Result run(net::awaitable<Result> call) {
        std::optional<Result> out;
        net::asio::co_spawn(io, std::move(call), [&](std::exception_ptr error, Result result) {
            EXPECT_FALSE(error);
            out = std::move(result);
        });
        while (!out) io.run_one();
        return *out;
    }
    void run(net::awaitable<void> call) {
        bool over = false;
        net::asio::co_spawn(io, std::move(call), [&](std::exception_ptr) { over = true; });
        while (!over) io.run_one();
    }

  private:
    net::awaitable<net::Reply> answer(net::Request request) {
        asked += std::string(net::http::to_string(request.verb)) + " " + request.target + " " + request.body + "\n";
        net::Reply reply;
        reply.status = 503;
        if (!replies_.empty()) {
            reply = replies_.front();
            replies_.pop_front();
        }
        co_return reply;
    }

  public:
    net::asio::io_context io;

  private:
    std::deque<net::Reply> replies_;
    net::HttpServer server_{io.get_executor(), "127.0.0.1", 0, 16,
                            [this](net::Request request) { return answer(std::move(request)); }};
};

struct StatePlay {
    PlayedService service;
    config::Settings settings = service.settings();
    state::RecordFormat record_format{settings};
    state::HttpStore store{service.io.get_executor(), settings, record_format};
};

std::string print(state::Outcome outcome) { return std::to_string(static_cast<int>(outcome)); }

std::string print(const state::KeyValue& item) {
    return "[" + item.key + " " + boost::json::serialize(item.value) + " " + std::to_string(item.mod_revision) + "]";
}

std::string print(const state::RangeResult& result) {
    std::string out = print(result.outcome) + " " + std::to_string(result.revision) + (result.more ? " more" : "");
    for (const auto& item : result.items) out += " " + print(item);
    return out + "\n";
}

std::string print(const state::TxnResult& result) {
    std::string out = print(result.outcome) + " " + std::to_string(result.revision);
    for (const auto& key : result.failed) out += " " + key;
    return out + "\n";
}

std::string print(const state::WatchResult& result) {
    std::string out = print(result.outcome) + " " + std::to_string(result.revision);
    for (std::size_t i = 0; i < result.events.size(); ++i)
        out += (result.deleted[i] ? " gone " : " ") + print(result.events[i]);
    return out + "\n";
}

// One with conditions, writes with and without a lease, and a deletion.
state::Txn full_transaction() {
    state::Txn txn;
    txn.conditions = {{"a/b", 0}, {"c/d", 412}};
    state::Change leased, plain, gone;
    leased.key = "a/b";
    leased.value = boost::json::object{{"n", 1.5}};
    leased.lease = 7;
    plain.key = "a/c";
    plain.value = boost::json::string("text");
    gone.key = "c/d";
    txn.changes = {leased, plain, gone};
    return txn;
}

std::string print(const std::optional<std::vector<model::ListedMachine>>& machines) {
    if (!machines) return "no list\n";
    std::string out;
    for (const auto& machine : *machines)
        out += machine.name + " " + machine.addr + " " + machine.type + " " + machine.zone + " " +
               std::to_string(machine.spot) + " " + std::to_string(static_cast<int>(machine.status)) + " " +
               std::to_string(machine.age.count()) + "\n";
    return out;
}

peer::StatusMessage small_status() {
    peer::StatusMessage status;
    status.member = "hearth-1";
    status.term = 7;
    return status;
}

peer::RelayMessage small_relay() {
    peer::RelayMessage message;
    message.member = "hearth-1";
    message.repeated.resize(1);
    message.repeated[0].number = 9;
    return message;
}

// A port of this machine that is free.
std::uint16_t free_port(net::asio::io_context& io) {
    net::tcp::acceptor probe(io, net::tcp::endpoint(net::asio::ip::make_address("127.0.0.1"), 0));
    return probe.local_endpoint().port();
}

constexpr auto priority = state::RequestPriority::leadership;

}  // namespace

// Reading one key and many, and what each status means.
TEST(GoldenTest, KeysAreReadFromTheStateServiceAsBefore) {
    StatePlay play;
    std::string understood;
    for (const unsigned status : {200u, 404u, 409u, 410u, 429u, 503u, 500u}) {
        play.service.gives(status, R"({"key":"a/b","v":{"x":[1]},"stamp":412,"permit":7,"epoch":431})");
        const auto got = play.service.run(play.store.get("a/b", priority));
        understood += print(got.outcome) + " " + print(got.item) + "\n";
    }
    play.service.gives(200, R"({"items":[{"key":"c/8","v":"x","stamp":3},{"key":"c/9","v":null,"stamp":4}],)"
                            R"("truncated":true,"epoch":431})");
    understood += print(play.service.run(play.store.range("c/", "", priority)));
    play.service.gives(200, R"({"items":[],"truncated":false,"epoch":432})");
    understood += print(play.service.run(play.store.range("c/", "c/9", priority)));
    play.service.gives(200, "nonsense");
    understood += print(play.service.run(play.store.range("c/", "c/9", priority)));
    expect_golden("state_reading_asked.txt", play.service.asked);
    expect_golden("state_reading_understood.txt", understood);
}

// A transaction with all that it may hold, and what each answer means.
TEST(GoldenTest, TransactionsOnTheStateServiceAreAsBefore) {
    StatePlay play;
    std::string understood;
    play.service.gives(200, R"({"epoch":432})");
    play.service.gives(409, R"({"failed":["a/b","c/d"],"epoch":431})");
    play.service.gives(400, R"({"error":"no such lease"})");
    play.service.gives(400, R"({"error":"too long"})");
    play.service.gives(429, "");
    play.service.gives(503, "");
    play.service.gives(500, "");
    play.service.gives(200, "nonsense");
    for (int i = 0; i < 8; ++i) understood += print(play.service.run(play.store.commit(full_transaction(), priority)));
    state::Txn comparison;
    comparison.conditions = {{"a/b", 0}};
    play.service.gives(200, R"({"epoch":433})");
    understood += print(play.service.run(play.store.commit(comparison, priority)));
    expect_golden("state_transactions_asked.txt", play.service.asked);
    expect_golden("state_transactions_understood.txt", understood);
}

// Watching a prefix: writes, deletions, and a watch from too long ago.
TEST(GoldenTest, WatchesOnTheStateServiceAreAsBefore) {
    StatePlay play;
    std::string understood;
    play.service.gives(200, R"({"epoch":433,"events":[{"write":"c/9","v":{"x":1},"stamp":433},)"
                            R"({"delete":"c/d","stamp":432}]})");
    play.service.gives(200, R"({"epoch":434,"events":[]})");
    play.service.gives(410, "{}");
    play.service.gives(503, "{}");
    for (int i = 0; i < 4; ++i)
        understood += print(play.service.run(play.store.watch("c/", 431, std::chrono::milliseconds(10'000))));
    expect_golden("state_watches_asked.txt", play.service.asked);
    expect_golden("state_watches_understood.txt", understood);
}

// Leases: granted, renewed, ended.
TEST(GoldenTest, LeasesOfTheStateServiceAreAsBefore) {
    StatePlay play;
    std::string understood;
    play.service.gives(200, R"({"permit":7})");
    play.service.gives(200, R"({"other":7})");
    play.service.gives(429, "{}");
    for (int i = 0; i < 3; ++i) {
        const auto granted = play.service.run(play.store.grant(std::chrono::milliseconds(2'500)));
        understood += print(granted.outcome) + " " + std::to_string(granted.lease) + "\n";
    }
    for (const unsigned status : {200u, 404u, 503u}) {
        play.service.gives(status, "{}");
        understood += print(play.service.run(play.store.renew(7))) + "\n";
    }
    play.service.gives(200, "{}");
    play.service.run(play.store.revoke(7));
    expect_golden("state_leases_asked.txt", play.service.asked);
    expect_golden("state_leases_understood.txt", understood);
}

// The cloud's types and machines, page by page.
TEST(GoldenTest, TheCloudIsReadAsBefore) {
    PlayedService service;
    const auto settings = service.settings();
    cloud::HttpCloud cloud(service.io.get_executor(), settings);
    std::string understood;
    service.gives(200, golden("given_catalogue.json"));
    service.gives(503, "{}");
    for (int i = 0; i < 2; ++i) {
        const auto types = service.run(cloud.catalog());
        understood += (types ? boost::json::serialize(wire::catalog_record(*types)) : "no types") + "\n";
    }
    service.gives(200, golden("given_machines_first.json"));
    service.gives(200, golden("given_machines_last.json"));
    service.gives(503, "{}");
    for (int i = 0; i < 2; ++i) understood += print(service.run(cloud.machines()));
    expect_golden("cloud_reading_asked.txt", service.asked);
    expect_golden("cloud_reading_understood.txt", understood);
}

// Renting and returning machines, and what each answer means.
TEST(GoldenTest, MachinesAreRentedAndReturnedAsBefore) {
    PlayedService service;
    const auto settings = service.settings();
    cloud::HttpCloud cloud(service.io.get_executor(), settings);
    std::string understood;
    service.gives(200, golden("given_rented.json"));
    service.gives(503, R"({"error":"no capacity"})");
    service.gives(503, R"({"error":"trouble"})");
    service.gives(400, "{}");
    service.gives(429, "{}");
    for (int i = 0; i < 5; ++i) {
        const auto rented = service.run(cloud.launch("r-17", "g8", "a", true, 12));
        understood += std::to_string(static_cast<int>(rented.outcome));
        for (const auto& name : rented.machines) understood += " " + name;
        understood += "\n";
    }
    for (const unsigned status : {200u, 503u}) {
        service.gives(status, "{}");
        understood += service.run(cloud.terminate({"n-000231", "n-000232"})) ? "returned\n" : "not returned\n";
    }
    expect_golden("cloud_renting_asked.txt", service.asked);
    expect_golden("cloud_renting_understood.txt", understood);
}

// A beat and a relayed message as they leave for another controller.
TEST(GoldenTest, MessagesToControllersAreFramedAsBefore) {
    net::asio::io_context io;
    net::tcp::acceptor other(io, net::tcp::endpoint(net::asio::ip::make_address("127.0.0.1"), 0));
    auto settings = golden_settings("hearth-1", "hearth-0");
    settings.peer_listen = {"127.0.0.1", free_port(io)};
    settings.peers.at(0).addr = {"127.0.0.1", other.local_endpoint().port()};
    peer::PeerConnections connections(io.get_executor(), settings, {[](const peer::StatusMessage&) {}, {}, {}});
    connections.start();
    net::tcp::socket socket(io);
    bool accepted = false;
    other.async_accept(socket, [&](boost::system::error_code) { accepted = true; });
    while (!accepted || !connections.send_relay_message("hearth-0", small_relay())) io.run_one();
    connections.broadcast(small_status());
    std::string bytes(golden("framed_messages.bin").size(), '\0');
    bool read = false;
    net::asio::async_read(socket, net::asio::buffer(bytes),
                          [&](boost::system::error_code, std::size_t) { read = true; });
    while (!read) io.run_one();
    expect_golden("framed_messages.bin", bytes);
    EXPECT_EQ(socket.available(), 0u);
}

// The same as they come from an earlier version, and the receipts that it waits for.
TEST(GoldenTest, FramedMessagesOfAnEarlierVersionAreUnderstood) {
    net::asio::io_context io;
    auto settings = golden_settings("hearth-0", "hearth-1");
    settings.peers.clear();
    settings.peer_listen = {"127.0.0.1", free_port(io)};
    std::vector<std::string> statuses, relayed;
    peer::PeerConnections connections(
        io.get_executor(), settings,
        {[&](const peer::StatusMessage& status) { statuses.push_back(peer::encode(status)); },
         [&](const peer::RelayMessage& message) { relayed.push_back(peer::encode(message)); },
         {}});
    connections.start();
    net::tcp::socket socket(io);
    socket.connect({net::asio::ip::make_address("127.0.0.1"), settings.peer_listen.port});
    const auto bytes = golden("framed_messages.bin");
    net::asio::write(socket, net::asio::buffer(bytes));
    std::string receipts(2, '\0');
    bool read = false;
    net::asio::async_read(socket, net::asio::buffer(receipts),
                          [&](boost::system::error_code, std::size_t) { read = true; });
    while (!read) io.run_one();
    EXPECT_EQ(statuses, std::vector<std::string>{peer::encode(small_status())});
    EXPECT_EQ(relayed, std::vector<std::string>{peer::encode(small_relay())});
    EXPECT_EQ(receipts, "\6\6");
}

}  // namespace flintdale::test
