#include "net/http_client.hpp"

namespace flintdale::net {

namespace {
constexpr std::chrono::seconds stale_after{20};
constexpr std::size_t most_answer = 64 * 1024 * 1024;  // a watch's answer has no limit of its own
}  // namespace

HttpClient::HttpClient(Executor ex, std::string host, std::uint16_t port, std::size_t keep, std::string source)
    : ex_(ex),
      endpoint_(asio::ip::make_address(host), port),
      host_(host + ":" + std::to_string(port)),
      keep_(keep),
      source_(std::move(source)) {}

awaitable<std::unique_ptr<HttpClient::Stream>> HttpClient::connect(model::Clock::duration limit) {
    auto stream = std::make_unique<Stream>(ex_);
    stream->expires_after(limit);
    if (!source_.empty()) {
        boost::system::error_code failed;
        stream->socket().open(endpoint_.protocol(), failed);
        if (!failed) stream->socket().bind(tcp::endpoint(asio::ip::make_address(source_), 0), failed);
        if (failed) co_return nullptr;
    }
    auto [ec] = co_await stream->async_connect(endpoint_, quietly);
    if (ec) co_return nullptr;
    boost::system::error_code ignored;
    stream->socket().set_option(tcp::no_delay(true), ignored);
    co_return stream;
}

awaitable<HttpAnswer> HttpClient::request(http::verb verb, std::string target, std::string body,
                                          model::Clock::duration limit) {
    const auto until = model::Clock::now() + limit;
    HttpAnswer answer;
    std::unique_ptr<Stream> stream;
    const auto now = model::Clock::now();
    while (!idle_.empty() && !stream) {
        if (now - idle_.back().second < stale_after) stream = std::move(idle_.back().first);
        idle_.pop_back();
    }
    bool reused = stream != nullptr;
    for (;;) {
        if (!stream) {
            stream = co_await connect(until - model::Clock::now());
            reused = false;
        }
        if (!stream) {
            answer.never_sent = true;
            co_return answer;
        }
        http::request<http::string_body> req(verb, target, 11);
        req.set(http::field::host, host_);
        if (!body.empty() || verb == http::verb::post) {
            req.set(http::field::content_type, "application/json");
            req.body() = body;
        }
        req.prepare_payload();
        stream->expires_at(until);
        auto [wec, written] = co_await http::async_write(*stream, req, quietly);
        answer.bytes_sent += written;
        if (!wec) {
            beast::flat_buffer buffer;
            http::response_parser<http::string_body> parser;
            parser.body_limit(most_answer);
            auto [rec, read] = co_await http::async_read(*stream, buffer, parser, quietly);
            answer.bytes_received += read;
            if (!rec) {
                answer.status = parser.get().result_int();
                answer.body = std::move(parser.get().body());
                if (parser.get().keep_alive() && idle_.size() < keep_) {
                    stream->expires_never();
                    idle_.emplace_back(std::move(stream), model::Clock::now());
                }
                co_return answer;
            }
            // A kept connection that the other side had closed meanwhile says nothing about the service. Only a
            // read may be repeated: anything else could be carried out twice.
            const bool closed = rec == http::error::end_of_stream || rec == asio::error::connection_reset;
            if (reused && closed && verb == http::verb::get) {
                stream.reset();
                continue;
            }
            co_return answer;
        }
        if (!reused || wec == beast::error::timeout) co_return answer;
        stream.reset();
        if (verb != http::verb::get) co_return answer;
    }
}

}  // namespace flintdale::net
