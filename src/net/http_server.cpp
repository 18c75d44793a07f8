#include "net/http_server.hpp"

#include <spdlog/spdlog.h>

#include "net/listen.hpp"

namespace flintdale::net {

namespace {
constexpr std::size_t body_limit = 64 * 1024;
constexpr std::uint32_t header_limit = 16 * 1024;
constexpr std::chrono::seconds idle_limit{120};
constexpr std::chrono::seconds request_limit{10};
constexpr std::chrono::seconds write_limit{10};

http::response<http::string_body> to_response(Reply reply, unsigned version, bool keep) {
    http::response<http::string_body> res(static_cast<http::status>(reply.status), version);
    res.set(http::field::content_type, "application/json");
    if (reply.retry_after) res.set(http::field::retry_after, std::to_string(reply.retry_after));
    if (!reply.allow.empty()) res.set(http::field::allow, reply.allow);
    res.keep_alive(keep);
    res.body() = std::move(reply.body);
    res.prepare_payload();
    return res;
}
}  // namespace

HttpServer::HttpServer(Executor ex, std::string host, std::uint16_t port, std::size_t max_connections, Handler handler)
    : ex_(ex), acceptor_(ex), max_connections_(max_connections), handler_(std::move(handler)) {
    listen_when_free(acceptor_, host, port, 1024);
}

void HttpServer::start() { asio::co_spawn(ex_, accept_loop(), asio::detached); }

void HttpServer::stop() {
    boost::system::error_code ignored;
    acceptor_.close(ignored);
}

awaitable<void> HttpServer::accept_loop() {
    for (;;) {
        auto [ec, socket] = co_await acceptor_.async_accept(quietly);
        if (!acceptor_.is_open()) co_return;
        if (ec) {
            // Out of sockets, most likely: wait for some to close instead of spinning.
            spdlog::debug("event=accept_failed why=\"{}\"", ec.message());
            co_await sleep_for(std::chrono::milliseconds(50));
            continue;
        }
        if (connections_ >= max_connections_) continue;  // closed at once
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

awaitable<void> HttpServer::serve(beast::tcp_stream& stream) {
    beast::flat_buffer buffer(body_limit + header_limit);
    for (;;) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(body_limit);
        parser.header_limit(header_limit);
        stream.expires_after(idle_limit);
        if (buffer.size() == 0) {
            // Wait for the first byte under the long limit, for the rest under the short one: a peer that
            // dribbles its request holds a session for seconds, not minutes.
            auto [wec] = co_await stream.socket().async_wait(tcp::socket::wait_read, quietly);
            if (wec) co_return;
        }
        stream.expires_after(request_limit);
        auto [ec, n] = co_await http::async_read(stream, buffer, parser, quietly);
        if (ec) {
            if (ec == http::error::end_of_stream || ec == beast::error::timeout ||
                ec == asio::error::connection_reset || ec == asio::error::operation_aborted)
                co_return;
            Reply reply;
            reply.status = 400;
            reply.body = ec == http::error::body_limit ? "{\"error\":\"body: over 64 KiB\"}"
                                                       : "{\"error\":\"request: malformed\"}";
            auto res = to_response(std::move(reply), 11, false);
            stream.expires_after(write_limit);
            co_await http::async_write(stream, res, quietly);
            boost::system::error_code ignored;
            stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
            co_return;
        }
        auto& message = parser.get();
        ++traffic_.requests;
        traffic_.bytes_in += n;
        const bool keep = message.keep_alive();
        const unsigned version = message.version();
        Request request;
        request.verb = message.method();
        request.target = std::string(message.target());
        request.body = std::move(message.body());
        Reply reply;
        try {
            reply = co_await handler_(std::move(request));
        } catch (const std::exception& e) {
            spdlog::error("event=handler_failed why=\"{}\"", e.what());
            reply.status = 503;
            reply.body = "{\"error\":\"internal\"}";
            reply.retry_after = 1;
        }
        auto res = to_response(std::move(reply), version, keep);
        stream.expires_after(write_limit);
        auto [wec, written] = co_await http::async_write(stream, res, quietly);
        traffic_.bytes_out += written;
        if (wec || !keep) co_return;
    }
}

}  // namespace flintdale::net
