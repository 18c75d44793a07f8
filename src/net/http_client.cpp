#include "net/http_client.hpp"

namespace flintdale::net {

namespace {

constexpr unsigned http_1_1 = 11;
constexpr std::chrono::seconds max_idle_time{20};
constexpr std::size_t max_response = 64 * 1024 * 1024;  // bytes; the state service does not limit responses to a watch

}  // namespace

HttpClient::HttpClient(Executor ex, std::string host, std::uint16_t port, std::size_t max_idle, std::string source)
    : ex_(ex),
      endpoint_(asio::ip::make_address(host), port),
      host_(host + ":" + std::to_string(port)),
      max_idle_(max_idle),
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
    auto [ec] = co_await stream->async_connect(endpoint_, use_nothrow_awaitable);
    if (ec) co_return nullptr;
    boost::system::error_code ignored;
    stream->socket().set_option(tcp::no_delay(true), ignored);
    co_return stream;
}

std::unique_ptr<HttpClient::Stream> HttpClient::take_idle() {
    std::unique_ptr<Stream> stream;
    const auto now = model::Clock::now();
    while (!idle_.empty() && !stream) {
        if (now - idle_.back().since < max_idle_time) stream = std::move(idle_.back().stream);
        idle_.pop_back();
    }
    return stream;
}

void HttpClient::keep(std::unique_ptr<Stream> stream) {
    if (idle_.size() >= max_idle_) return;
    stream->expires_never();
    idle_.push_back({std::move(stream), model::Clock::now()});
}

HttpClient::Message HttpClient::make_message(http::verb verb, const std::string& target,
                                             const std::string& body) const {
    Message message(verb, target, http_1_1);
    message.set(http::field::host, host_);
    if (!body.empty() || verb == http::verb::post) {
        message.set(http::field::content_type, "application/json");
        message.body() = body;
    }
    message.prepare_payload();
    return message;
}

awaitable<HttpClient::Exchange> HttpClient::exchange(Stream& stream, Message message, TimePoint deadline,
                                                     HttpAnswer& answer) {
    stream.expires_at(deadline);
    auto [wec, written] = co_await http::async_write(stream, message, use_nothrow_awaitable);
    answer.bytes_sent += written;
    if (wec) co_return wec == beast::error::timeout ? Exchange::failed : Exchange::connection_lost;
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(max_response);
    auto [rec, read] = co_await http::async_read(stream, buffer, parser, use_nothrow_awaitable);
    answer.bytes_received += read;
    if (rec) {
        const bool closed = rec == http::error::end_of_stream || rec == asio::error::connection_reset;
        co_return closed ? Exchange::connection_lost : Exchange::failed;
    }
    answer.status = parser.get().result_int();
    answer.body = std::move(parser.get().body());
    co_return parser.get().keep_alive() ? Exchange::answered_keep : Exchange::answered;
}

awaitable<HttpAnswer> HttpClient::request(http::verb verb, std::string target, std::string body,
                                          model::Clock::duration limit) {
    const auto deadline = model::Clock::now() + limit;
    HttpAnswer answer;
    auto stream = take_idle();
    bool reused = stream != nullptr;
    for (;;) {
        if (!stream) {
            stream = co_await connect(deadline - model::Clock::now());
            reused = false;
        }
        if (!stream) {
            answer.never_sent = true;
            co_return answer;
        }
        auto message = make_message(verb, target, body);
        const auto result = co_await exchange(*stream, std::move(message), deadline, answer);
        if (result == Exchange::answered_keep) keep(std::move(stream));
        // A kept connection that the server has closed does not mean that the service is down. Only a read is retried,
        // because any other request could be carried out twice.
        const bool retry = result == Exchange::connection_lost && reused && verb == http::verb::get;
        if (!retry) co_return answer;
        stream.reset();
    }
}

}  // namespace flintdale::net
