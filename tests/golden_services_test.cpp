// Guards the HTTP requests to the state service and the cloud, the parsing of their responses, and the framing of
// messages between controllers against unintended changes. A local server acts as both services and sends a list of
// prepared replies in order. Requests and parsed responses must equal the golden files.
#include <deque>

#include "cloud/client.hpp"
#include "net/http_server.hpp"
#include "peer/peer_connections.hpp"
#include "state/http_store.hpp"
#include "support/golden_support.hpp"

namespace flintdale::test {

namespace {

class FakeHttpService {
  public:
    FakeHttpService() { server_.start(); }

    std::string requests;  // one line per request: verb, target and body

    config::Settings settings() const {
        auto out = golden_settings("hearth-0", "hearth-1");
        out.controllers = 1;
        out.store_limits.rps = out.store_limits.write_rps = out.cloud_requests_per_s = 100'000;
        out.state.host = out.cloud.host = "127.0.0.1";
        out.state.port = out.cloud.port = server_.port();
        return out;
    }
    void add_reply(unsigned status, std::string body) {
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
        bool finished = false;
        net::asio::co_spawn(io, std::move(call), [&](std::exception_ptr) { finished = true; });
        while (!finished) io.run_one();
    }

  private:
    net::awaitable<net::Reply> answer(net::Request request) {
        requests += std::string(net::http::to_string(request.verb)) + " " + request.target + " " + request.body + "\n";
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

struct StateServiceClient {
    FakeHttpService service;
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

// A transaction with conditions, writes with and without a lease, and a deletion.
state::Txn full_transaction() {
    state::Txn txn;
    txn.conditions = {{"a/b", 0}, {"c/d", 412}};
    state::Change leased, plain, deletion;
    leased.key = "a/b";
    leased.value = boost::json::object{{"n", 1.5}};
    leased.lease = 7;
    plain.key = "a/c";
    plain.value = boost::json::string("text");
    deletion.key = "c/d";
    txn.changes = {leased, plain, deletion};
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

// A free port of this machine.
std::uint16_t free_port(net::asio::io_context& io) {
    net::tcp::acceptor probe(io, net::tcp::endpoint(net::asio::ip::make_address("127.0.0.1"), 0));
    return probe.local_endpoint().port();
}

constexpr auto priority = state::RequestPriority::leadership;

}  // namespace

// Reads of one key and of a range, with each HTTP status.
TEST(GoldenTest, StateServiceReadsMatchGoldenFiles) {
    StateServiceClient client;
    std::string parsed;
    for (const unsigned status : {200u, 404u, 409u, 410u, 429u, 503u, 500u}) {
        client.service.add_reply(status, R"({"key":"a/b","v":{"x":[1]},"stamp":412,"permit":7,"epoch":431})");
        const auto got = client.service.run(client.store.get("a/b", priority));
        parsed += print(got.outcome) + " " + print(got.item) + "\n";
    }
    client.service.add_reply(200, R"({"items":[{"key":"c/8","v":"x","stamp":3},{"key":"c/9","v":null,"stamp":4}],)"
                                  R"("truncated":true,"epoch":431})");
    parsed += print(client.service.run(client.store.range("c/", "", priority)));
    client.service.add_reply(200, R"({"items":[],"truncated":false,"epoch":432})");
    parsed += print(client.service.run(client.store.range("c/", "c/9", priority)));
    client.service.add_reply(200, "nonsense");
    parsed += print(client.service.run(client.store.range("c/", "c/9", priority)));
    expect_golden("state_reads_requests.txt", client.service.requests);
    expect_golden("state_reads_parsed.txt", parsed);
}

// A transaction with every kind of condition and change, with each response.
TEST(GoldenTest, StateServiceTransactionsMatchGoldenFiles) {
    StateServiceClient client;
    std::string parsed;
    client.service.add_reply(200, R"({"epoch":432})");
    client.service.add_reply(409, R"({"failed":["a/b","c/d"],"epoch":431})");
    client.service.add_reply(400, R"({"error":"no such lease"})");
    client.service.add_reply(400, R"({"error":"too long"})");
    client.service.add_reply(429, "");
    client.service.add_reply(503, "");
    client.service.add_reply(500, "");
    client.service.add_reply(200, "nonsense");
    for (int i = 0; i < 8; ++i) parsed += print(client.service.run(client.store.commit(full_transaction(), priority)));
    state::Txn comparison;
    comparison.conditions = {{"a/b", 0}};
    client.service.add_reply(200, R"({"epoch":433})");
    parsed += print(client.service.run(client.store.commit(comparison, priority)));
    expect_golden("state_transactions_requests.txt", client.service.requests);
    expect_golden("state_transactions_parsed.txt", parsed);
}

// Watches of a prefix: writes, deletions, and a start revision that is too old.
TEST(GoldenTest, StateServiceWatchesMatchGoldenFiles) {
    StateServiceClient client;
    std::string parsed;
    client.service.add_reply(200, R"({"epoch":433,"events":[{"write":"c/9","v":{"x":1},"stamp":433},)"
                                  R"({"delete":"c/d","stamp":432}]})");
    client.service.add_reply(200, R"({"epoch":434,"events":[]})");
    client.service.add_reply(410, "{}");
    client.service.add_reply(503, "{}");
    for (int i = 0; i < 4; ++i)
        parsed += print(client.service.run(client.store.watch("c/", 431, std::chrono::milliseconds(10'000))));
    expect_golden("state_watches_requests.txt", client.service.requests);
    expect_golden("state_watches_parsed.txt", parsed);
}

// Leases: granted, renewed and revoked.
TEST(GoldenTest, StateServiceLeasesMatchGoldenFiles) {
    StateServiceClient client;
    std::string parsed;
    client.service.add_reply(200, R"({"permit":7})");
    client.service.add_reply(200, R"({"other":7})");
    client.service.add_reply(429, "{}");
    for (int i = 0; i < 3; ++i) {
        const auto granted = client.service.run(client.store.grant(std::chrono::milliseconds(2'500)));
        parsed += print(granted.outcome) + " " + std::to_string(granted.lease) + "\n";
    }
    for (const unsigned status : {200u, 404u, 503u}) {
        client.service.add_reply(status, "{}");
        parsed += print(client.service.run(client.store.renew(7))) + "\n";
    }
    client.service.add_reply(200, "{}");
    client.service.run(client.store.revoke(7));
    expect_golden("state_leases_requests.txt", client.service.requests);
    expect_golden("state_leases_parsed.txt", parsed);
}

// The cloud's machine types, and its list of machines in pages.
TEST(GoldenTest, CloudReadsMatchGoldenFiles) {
    FakeHttpService service;
    const auto settings = service.settings();
    cloud::HttpCloud cloud(service.io.get_executor(), settings);
    std::string parsed;
    service.add_reply(200, golden("given_catalogue.json"));
    service.add_reply(503, "{}");
    for (int i = 0; i < 2; ++i) {
        const auto types = service.run(cloud.catalog());
        parsed += (types ? boost::json::serialize(wire::catalog_record(*types)) : "no types") + "\n";
    }
    service.add_reply(200, golden("given_machines_first.json"));
    service.add_reply(200, golden("given_machines_last.json"));
    service.add_reply(503, "{}");
    for (int i = 0; i < 2; ++i) parsed += print(service.run(cloud.machines()));
    expect_golden("cloud_reads_requests.txt", service.requests);
    expect_golden("cloud_reads_parsed.txt", parsed);
}

// Launching and terminating machines, with each response.
TEST(GoldenTest, MachineLaunchesAndTerminationsMatchGoldenFiles) {
    FakeHttpService service;
    const auto settings = service.settings();
    cloud::HttpCloud cloud(service.io.get_executor(), settings);
    std::string parsed;
    service.add_reply(200, golden("given_rented.json"));
    service.add_reply(503, R"({"error":"no capacity"})");
    service.add_reply(503, R"({"error":"trouble"})");
    service.add_reply(400, "{}");
    service.add_reply(429, "{}");
    for (int i = 0; i < 5; ++i) {
        const auto launched = service.run(cloud.launch("r-17", "g8", "a", true, 12));
        parsed += std::to_string(static_cast<int>(launched.outcome));
        for (const auto& name : launched.machines) parsed += " " + name;
        parsed += "\n";
    }
    for (const unsigned status : {200u, 503u}) {
        service.add_reply(status, "{}");
        parsed += service.run(cloud.terminate({"n-000231", "n-000232"})) ? "returned\n" : "not returned\n";
    }
    expect_golden("cloud_launches_requests.txt", service.requests);
    expect_golden("cloud_launches_parsed.txt", parsed);
}

// A status message and a relay message as they are sent to another controller.
TEST(GoldenTest, FramesSentToControllersMatchTheGoldenFile) {
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

// The same frames from an earlier version are decoded, and each is acknowledged with one byte.
TEST(GoldenTest, FramesOfAnEarlierVersionAreDecodedAndAcknowledged) {
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
    std::string acks(2, '\0');
    bool read = false;
    net::asio::async_read(socket, net::asio::buffer(acks),
                          [&](boost::system::error_code, std::size_t) { read = true; });
    while (!read) io.run_one();
    EXPECT_EQ(statuses, std::vector<std::string>{peer::encode(small_status())});
    EXPECT_EQ(relayed, std::vector<std::string>{peer::encode(small_relay())});
    EXPECT_EQ(acks, "\6\6");
}

}  // namespace flintdale::test
