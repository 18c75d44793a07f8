#include "worker/client.hpp"

#include <spdlog/spdlog.h>

#include <charconv>

#include "model/heartbeat.hpp"
#include "wire/decode_error.hpp"

namespace flintdale::worker {

namespace {

constexpr std::chrono::milliseconds request_limit{1500};

}  // namespace

awaitable<std::optional<model::Heartbeat>> HttpWorkers::status(std::string address) {
    const auto colon = address.rfind(':');
    std::uint16_t port = 0;
    boost::system::error_code ec;
    if (colon == std::string::npos) co_return std::nullopt;
    const auto* end = address.data() + address.size();
    if (std::from_chars(address.data() + colon + 1, end, port).ptr != end || !port) co_return std::nullopt;
    const auto host = address.substr(0, colon);
    net::asio::ip::make_address(host, ec);
    if (ec) co_return std::nullopt;
    net::HttpClient http(ex_, host, port, 0);
    std::string target = "/status";
    const auto answer = co_await http.request(net::http::verb::get, std::move(target), std::string(), request_limit);
    if (answer.status != 200) co_return std::nullopt;
    try {
        co_return wire::parse_heartbeat(answer.body);
    } catch (const wire::DecodeError& e) {
        spdlog::error("event=worker_status_unreadable address={} why=\"{}\"", address, e.what());
    }
    co_return std::nullopt;
}

}  // namespace flintdale::worker
