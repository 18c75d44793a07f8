#include "state/http_store.hpp"

#include <spdlog/spdlog.h>

#include "state/store_protocol.hpp"

namespace flintdale::state {

namespace {

using model::Clock;

constexpr std::size_t max_idle_connections = 8, max_idle_watch_connections = 4;
constexpr std::chrono::milliseconds request_timeout{1500};
constexpr std::chrono::milliseconds renew_timeout{800};
constexpr std::chrono::seconds healthy_after_answer{2};
constexpr unsigned http_unavailable = 503;

// Fraction of the published limits that is used: the clocks and token buckets of controllers and store do not agree
// exactly.
constexpr double safety_factor = 0.9;
constexpr double leader_share = 0.6;  // the leader's fraction of the requests, and of the writes not divided by demand
// Fraction of one second's writes that user requests may borrow in advance.
constexpr double borrowed_share = 0.5;
// Fraction of the writes that is divided by demand.
constexpr double demand_driven_share = 0.6;

}  // namespace

HttpStore::HttpStore(net::Executor ex, const config::Settings& settings, RecordFormat& record_format)
    : record_format_(record_format),
      controllers_(std::max<std::size_t>(1, settings.controllers)),
      http_(ex, settings.state.host, settings.state.port, max_idle_connections),
      watches_(ex, settings.state.host, settings.state.port, max_idle_watch_connections),
      limiter_(ex, TokenBucket(settings.store_limits.rps * safety_factor / static_cast<double>(controllers_),
                               settings.store_limits.write_rps * safety_factor / static_cast<double>(controllers_),
                               Clock::now())),
      demand_share_(1.0 / static_cast<double>(controllers_)) {
    set_rates();
}

void HttpStore::set_leading(bool leading) {
    leading_ = leading;
    set_rates();
}

void HttpStore::set_write_demand(double own, double all) {
    demand_share_ = all > 0 ? own / all : leading_ ? 1.0 : 0.0;
    set_rates();
}

void HttpStore::set_rates() {
    const double followers = controllers_ > 1 ? static_cast<double>(controllers_ - 1) : 1.0;
    const double share = controllers_ == 1 ? 1.0 : leading_ ? leader_share : (1.0 - leader_share) / followers;
    const double write_share =
        controllers_ == 1 ? 1.0 : share * (1.0 - demand_driven_share) + demand_share_ * demand_driven_share;
    const auto& limits = record_format_.limits();
    // All controllers together borrow less than the burst of one second's writes that the store allows.
    limiter_.bucket().set_borrowing(limits.write_rps * safety_factor * borrowed_share /
                                    static_cast<double>(controllers_));
    limiter_.bucket().set_rates(limits.rps * safety_factor * share, limits.write_rps * safety_factor * write_share);
}

bool HttpStore::healthy(Clock::time_point now) const {
    return last_answer_ >= last_failure_ || now - last_answer_ < healthy_after_answer;
}

awaitable<net::HttpAnswer> HttpStore::call(net::http::verb verb, std::string target, std::string body, double writes,
                                           RequestPriority priority, Clock::duration timeout) {
    co_await limiter_.acquire(writes, priority);
    auto answer = co_await http_.request(verb, std::move(target), std::move(body), timeout);
    if (answer.never_sent) answer.status = http_unavailable;
    if (answer.status == 0 || answer.status == http_unavailable)
        last_failure_ = Clock::now();
    else
        last_answer_ = Clock::now();
    co_return answer;
}

awaitable<GetResult> HttpStore::get(std::string key, RequestPriority priority) {
    auto target = protocol::get_target(key);
    const auto answer =
        co_await call(net::http::verb::get, std::move(target), std::string(), 0, priority, request_timeout);
    co_return protocol::parse_get(answer, std::move(key));
}

awaitable<RangeResult> HttpStore::range(std::string prefix, std::string after, RequestPriority priority) {
    auto target = protocol::range_target(prefix, after);
    const auto answer =
        co_await call(net::http::verb::get, std::move(target), std::string(), 0, priority, request_timeout * 2);
    co_return protocol::parse_range(answer);
}

std::size_t HttpStore::largest_value(const Txn& txn) const {
    std::size_t largest = 0;
    if (record_format_.newest()) return largest;
    for (const auto& change : txn.changes)
        if (change.value) largest = std::max(largest, RecordFormat::size_of(*change.value));
    return largest;
}

void HttpStore::transaction_rejected(const Txn& txn, std::size_t largest_value, const std::string& answer) {
    spdlog::info("event=transaction_rejected changes={} conditions={} body={}", txn.changes.size(),
                 txn.conditions.size(), answer);
    if (!record_format_.handle_rejection(largest_value, txn.changes.size(), txn.conditions.size())) return;
    spdlog::info("event=limits_lowered format={} why=\"the store rejected a transaction within the previous limits\"",
                 record_format_.format());
    set_rates();
}

awaitable<TxnResult> HttpStore::commit(Txn txn, RequestPriority priority) {
    const auto largest = largest_value(txn);
    std::string target = protocol::commit_target;
    auto body = protocol::commit_body(txn);
    const auto writes = static_cast<double>(txn.changes.size());
    const auto answer =
        co_await call(net::http::verb::post, std::move(target), std::move(body), writes, priority, request_timeout);
    auto result = protocol::parse_commit(answer);
    if (result.outcome == Outcome::too_large) transaction_rejected(txn, largest, answer.body);
    co_return result;
}

awaitable<WatchResult> HttpStore::watch(std::string prefix, std::uint64_t from, std::chrono::milliseconds hold) {
    co_await limiter_.acquire(0, RequestPriority::leadership);
    auto target = protocol::watch_target(prefix, from, hold);
    auto answer =
        co_await watches_.request(net::http::verb::get, std::move(target), std::string(), hold + request_timeout);
    if (answer.never_sent) answer.status = http_unavailable;
    co_return protocol::parse_watch(answer);
}

awaitable<LeaseResult> HttpStore::grant(std::chrono::milliseconds ttl) {
    std::string target = protocol::grant_target;
    auto body = protocol::grant_body(ttl);
    const auto answer = co_await call(net::http::verb::post, std::move(target), std::move(body), 0,
                                      RequestPriority::leadership, request_timeout);
    co_return protocol::parse_grant(answer);
}

awaitable<Outcome> HttpStore::renew(std::uint64_t lease) {
    auto target = protocol::renew_target(lease);
    const auto answer = co_await call(net::http::verb::post, std::move(target), std::string(), 0,
                                      RequestPriority::leadership, renew_timeout);
    co_return protocol::parse_renew(answer);
}

awaitable<void> HttpStore::revoke(std::uint64_t lease) {
    auto target = protocol::revoke_target(lease);
    co_await call(net::http::verb::delete_, std::move(target), std::string(), 0, RequestPriority::bookkeeping,
                  request_timeout);
}

}  // namespace flintdale::state
