#include "load_test/line_channel.hpp"

namespace flintdale::load_test {

namespace asio = net::asio;

LineChannel::LineChannel(net::Executor ex, int read_from, int write_to)
    : ex_(ex), in_(ex, read_from), out_(ex, write_to) {}

awaitable<std::optional<std::string>> LineChannel::read_line() {
    auto [ec, size] = co_await asio::async_read_until(in_, asio::dynamic_buffer(read_), '\n', net::quietly);
    if (ec) co_return std::nullopt;
    std::string line = read_.substr(0, size - 1);
    read_.erase(0, size);
    co_return std::optional<std::string>(std::move(line));
}

void LineChannel::send(const std::string& line) {
    waiting_ += line;
    waiting_ += '\n';
    if (writing_) return;
    writing_ = true;
    asio::co_spawn(ex_, write_loop(), asio::detached);
}

awaitable<void> LineChannel::write_loop() {
    while (!waiting_.empty()) {
        std::string sending;
        sending.swap(waiting_);
        auto [ec, size] = co_await asio::async_write(out_, asio::buffer(sending), net::quietly);
        if (ec) co_return;
    }
    writing_ = false;
}

}  // namespace flintdale::load_test
