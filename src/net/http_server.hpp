// An HTTP/1.1 server with bounded bodies, time limits and a bounded number of connections.
#pragma once
#include <cstdint>
#include <functional>
#include <string>

#include "net/asio.hpp"

namespace flintdale::net {

struct Request {
    http::verb verb = http::verb::get;
    std::string target, body;
};

struct Reply {
    unsigned status = 200;
    std::string body;          // JSON
    unsigned retry_after = 0;  // header field Retry-After, in seconds; 0: no such field
    std::string allow;         // header field Allow, for status 405; empty: no such field
};

// Counters of a server since its start.
struct Traffic {
    std::uint64_t requests = 0, bytes_in = 0, bytes_out = 0;
};

class HttpServer {
  public:
    // Answers one request. If it throws, the answer is status 503.
    using Handler = std::function<awaitable<Reply>(Request)>;

    // Binds the address; throws std::runtime_error if that fails. Connections above the limit are closed at once.
    HttpServer(Executor ex, std::string host, std::uint16_t port, std::size_t max_connections, Handler handler);

    // Starts to accept connections.
    void start();

    // Stops accepting connections. Open connections stay open, and the server must outlive them.
    void stop();

    const Traffic& traffic() const { return traffic_; }
    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

  private:
    using Parser = http::request_parser<http::string_body>;
    enum class ReadResult : std::uint8_t { complete, connection_ended, malformed, body_too_large };

    awaitable<void> accept_loop();
    awaitable<void> session(tcp::socket socket);
    // Serves the requests of one connection until it ends.
    awaitable<void> serve(beast::tcp_stream& stream);
    awaitable<ReadResult> read_request(beast::tcp_stream& stream, beast::flat_buffer& buffer, Parser& parser);
    // Replies with status 400 and closes the sending side of the connection.
    awaitable<void> reject(beast::tcp_stream& stream, ReadResult reason);
    awaitable<Reply> handle(Request request);

    Executor ex_;
    tcp::acceptor acceptor_;
    std::size_t max_connections_, connections_ = 0;
    Handler handler_;
    Traffic traffic_;
};

}  // namespace flintdale::net
