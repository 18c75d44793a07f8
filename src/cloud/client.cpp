#include "cloud/client.hpp"

#include <spdlog/spdlog.h>

#include "model/machine.hpp"
#include "wire/decode_error.hpp"

namespace flintdale::cloud {

using model::Clock;

namespace {

constexpr std::size_t max_idle_connections = 4;
constexpr double interval_margin = 1.15;              // factor on the shortest interval that the limit allows
constexpr std::chrono::milliseconds max_delay{1500};  // from a request's turn until it is sent
constexpr std::chrono::seconds request_limit{5};

}  // namespace

HttpCloud::HttpCloud(net::Executor ex, const config::Settings& settings)
    : http_(ex, settings.cloud.host, settings.cloud.port, max_idle_connections),
      interval_(model::to_clock(model::Seconds(interval_margin / settings.cloud_requests_per_s))) {}

awaitable<net::HttpAnswer> HttpCloud::call(net::http::verb verb, std::string target, std::string body) {
    // Requests are evenly spaced. This keeps every time window within the limit, without use of the burst allowance.
    const auto now = Clock::now();
    const auto turn = std::max(now, next_turn_);
    next_turn_ = turn + interval_;
    if (turn > now) co_await net::sleep_for(turn - now);
    // The process has paused, and the conditions that the caller checked may no longer hold.
    if (Clock::now() - turn > max_delay) co_return net::HttpAnswer{};
    co_return co_await http_.request(verb, std::move(target), std::move(body), request_limit);
}

awaitable<std::optional<std::vector<model::MachineType>>> HttpCloud::catalog() {
    std::string target = "/catalog";
    auto answer = co_await call(net::http::verb::get, std::move(target), std::string());
    if (answer.status == 200) try {
            co_return wire::parse_catalog(answer.body);
        } catch (const wire::DecodeError& e) {
            spdlog::error("event=catalog_unreadable why=\"{}\"", e.what());
        }
    co_return std::nullopt;
}

awaitable<std::optional<std::vector<model::ListedMachine>>> HttpCloud::machines() {
    std::vector<model::ListedMachine> all;
    for (;;) {
        std::string target = "/machines?page=500";
        if (!all.empty()) target += "&from=" + all.back().name;
        auto answer = co_await call(net::http::verb::get, std::move(target), std::string());
        if (answer.status != 200) co_return std::nullopt;
        bool more = false;
        try {
            auto page = wire::parse_machines(answer.body);
            more = page.more && !page.machines.empty();
            for (auto& m : page.machines) all.push_back(std::move(m));
        } catch (const wire::DecodeError& e) {
            spdlog::error("event=machine_list_unreadable why=\"{}\"", e.what());
            co_return std::nullopt;
        }
        if (!more) co_return all;
    }
}

awaitable<LaunchResult> HttpCloud::launch(std::string request_id, std::string type, std::string zone, bool spot,
                                          int count) {
    std::string target = "/machines";
    auto body = wire::launch_body(request_id, type, zone, spot, count);
    auto answer = co_await call(net::http::verb::post, std::move(target), std::move(body));
    LaunchResult r;
    if (answer.status == 200) {
        try {
            r.machines = wire::parse_launched(answer.body);
            r.outcome = LaunchOutcome::granted;
        } catch (const wire::DecodeError&) {
        }
    } else if (answer.status == 503 && answer.body.find("no capacity") != std::string::npos) {
        r.outcome = LaunchOutcome::no_capacity;
    } else if (answer.status == 400) {
        r.outcome = LaunchOutcome::malformed;
    }
    co_return r;
}

awaitable<bool> HttpCloud::terminate(std::vector<std::string> names) {
    std::string target = "/machines/release";
    auto body = wire::terminate_body(names);
    auto answer = co_await call(net::http::verb::post, std::move(target), std::move(body));
    co_return answer.status == 200;
}

}  // namespace flintdale::cloud
