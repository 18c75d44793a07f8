#include "net/http_server.hpp"

#include <spdlog/spdlog.h>

#include "net/listen.hpp"

namespace flintdale::net {

namespace {

constexpr unsigned http_1_1 = 11;
constexpr int backlog = 1024;
constexpr std::size_t body_limit = 64 * 1024;      // bytes
constexpr std::uint32_t header_limit = 16 * 1024;  // bytes
constexpr std::chrono::seconds idle_limit{120};    // from the accept or the last response to the next request
constexpr std::chrono::seconds request_limit{10};  // from a request's first byte to its last
constexpr std::chrono::seconds write_limit{10};
constexpr std::chrono::milliseconds accept_retry_delay{50};

http::response<http::string_body> to_response(Reply reply, unsigned version, bool keep_alive) {
    http::response<http::string_body> response(static_cast<http::status>(reply.status), version);
    response.set(http::field::content_type, "application/json");
    if (reply.retry_after) response.set(http::field::retry_after, std::to_string(reply.retry_after));
    if (!reply.allow.empty()) response.set(http::field::allow, reply.allow);
    response.keep_alive(keep_alive);
    response.body() = std::move(reply.body);
    response.prepare_payload();
    return response;
}

bool is_end_of_connection(const boost::system::error_code& ec) {
    return ec == http::error::end_of_stream || ec == beast::error::timeout || ec == asio::error::connection_reset ||
           ec == asio::error::operation_aborted;
}

}  // namespace

HttpServer::HttpServer(Executor ex, std::string host, std::uint16_t port, std::size_t max_connections, Handler handler)
    : ex_(ex), acceptor_(ex), max_connections_(max_connections), handler_(std::move(handler)) {
    listen_when_free(acceptor_, host, port, backlog);
}

void HttpServer::start() { asio::co_spawn(ex_, accept_loop(), asio::detached); }

void HttpServer::stop() {
    boost::system::error_code ignored;
    acceptor_.close(ignored);
}

awaitable<void> HttpServer::accept_loop() {
    for (;;) {
        auto [ec, socket] = co_await acceptor_.async_accept(use_nothrow_awaitable);
        if (!acceptor_.is_open()) co_return;
        if (ec) {
            // Usually the process is out of file descriptors. Waiting for some to close avoids a busy loop.
            spdlog::debug("event=accept_failed why=\"{}\"", ec.message());
            co_await sleep_for(accept_retry_delay);
            continue;
        }
        if (connections_ >= max_connections_) continue;  // the socket's destructor closes it
        asio::co_spawn(ex_, session(std::move(socket)), asio::detached);
    }
}

awaitable<void> HttpServer::session(tcp::socket socket) {
    ++connections_;
    try {
        boost::system::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        beast::tcp_stream stream(std::move(socket));
        co_await serve(stream);
    } catch (const std::exception& e) {
        spdlog::error("event=session_failed why=\"{}\"", e.what());
    }
    --connections_;
}

awaitable<HttpServer::ReadResult> HttpServer::read_request(beast::tcp_stream& stream, beast::flat_buffer& buffer,
                                                           Parser& parser) {
    stream.expires_after(idle_limit);
    if (buffer.size() == 0) {
        // The long limit applies to the first byte, the short one to the rest. So a client that sends its request byte
        // by byte occupies a session for seconds, not minutes.
        auto [wec] = co_await stream.socket().async_wait(tcp::socket::wait_read, use_nothrow_awaitable);
        if (wec) co_return ReadResult::connection_ended;
    }
    stream.expires_after(request_limit);
    auto [ec, bytes] = co_await http::async_read(stream, buffer, parser, use_nothrow_awaitable);
    if (!ec) {
        ++traffic_.requests;
        traffic_.bytes_in += bytes;
        co_return ReadResult::complete;
    }
    if (is_end_of_connection(ec)) co_return ReadResult::connection_ended;
    co_return ec == http::error::body_limit ? ReadResult::body_too_large : ReadResult::malformed;
}

awaitable<void> HttpServer::reject(beast::tcp_stream& stream, ReadResult reason) {
    Reply reply;
    reply.status = 400;
    reply.body = reason == ReadResult::body_too_large ? "{\"error\":\"body: over 64 KiB\"}"
                                                      : "{\"error\":\"request: malformed\"}";
    auto response = to_response(std::move(reply), http_1_1, false);
    stream.expires_after(write_limit);
    co_await http::async_write(stream, response, use_nothrow_awaitable);
    boost::system::error_code ignored;
    stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
}

awaitable<Reply> HttpServer::handle(Request request) {
    Reply reply;
    try {
        reply = co_await handler_(std::move(request));
    } catch (const std::exception& e) {
        spdlog::error("event=handler_failed why=\"{}\"", e.what());
        reply.status = 503;
        reply.body = "{\"error\":\"internal\"}";
        reply.retry_after = 1;
    }
    co_return reply;
}

awaitable<void> HttpServer::serve(beast::tcp_stream& stream) {
    beast::flat_buffer buffer(body_limit + header_limit);
    for (;;) {
        Parser parser;
        parser.body_limit(body_limit);
        parser.header_limit(header_limit);
        const auto result = co_await read_request(stream, buffer, parser);
        if (result == ReadResult::connection_ended) co_return;
        if (result != ReadResult::complete) {
            co_await reject(stream, result);
            co_return;
        }
        auto& message = parser.get();
        const bool keep_alive = message.keep_alive();
        const unsigned version = message.version();
        Request request;
        request.verb = message.method();
        request.target = std::string(message.target());
        request.body = std::move(message.body());
        auto reply = co_await handle(std::move(request));
        auto response = to_response(std::move(reply), version, keep_alive);
        stream.expires_after(write_limit);
        auto [wec, written] = co_await http::async_write(stream, response, use_nothrow_awaitable);
        traffic_.bytes_out += written;
        if (wec || !keep_alive) co_return;
    }
}

}  // namespace flintdale::net
