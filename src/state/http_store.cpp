#include "state/http_store.hpp"

#include <spdlog/spdlog.h>

namespace flintdale::state {

namespace {

using model::Clock;
constexpr std::chrono::milliseconds request_limit{1500};
constexpr double safety = 0.9;  // of the published limits: the clocks and the buckets do not agree exactly
constexpr double leader_share = 0.6;
constexpr double borrowed = 0.5;   // of a second's writes, that users' requests may use ahead
constexpr double by_demand = 0.6;  // of the writes, the part that follows demand

Outcome outcome_of(unsigned status) {
    switch (status) {
        case 200:
            return Outcome::ok;
        case 409:
            return Outcome::conflict;
        case 410:
            return Outcome::too_old;
        case 429:
        case 503:
            return Outcome::refused;
        default:
            return Outcome::unknown;
    }
}

std::uint64_t number(const json::object& o, std::string_view field) {
    const auto* v = o.if_contains(field);
    return v && v->is_number() ? v->to_number<std::uint64_t>() : 0;
}

std::string text(const json::object& o, std::string_view field) {
    const auto* v = o.if_contains(field);
    return v && v->is_string() ? std::string(v->get_string()) : std::string();
}

KeyValue item_of(const json::object& o) {
    KeyValue item;
    item.key = text(o, "key");
    if (const auto* v = o.if_contains("v")) item.value = *v;
    item.mod_revision = number(o, "stamp");
    return item;
}

// An answer that is not the JSON promised counts as no answer.
std::optional<json::object> object_of(const std::string& body) {
    json::error_code ec;
    auto v = json::parse(body, ec);
    if (ec || !v.is_object()) return std::nullopt;
    return std::move(v.get_object());
}

}  // namespace

HttpStore::HttpStore(net::Executor ex, const config::Settings& s, RecordFormat& record_format)
    : record_format_(record_format),
      nodes_(std::max<std::size_t>(1, s.controllers)),
      http_(ex, s.state.host, s.state.port, 8),
      watches_(ex, s.state.host, s.state.port, 4),
      limiter_(ex, TokenBucket(s.store_limits.rps * safety / static_cast<double>(nodes_),
                               s.store_limits.write_rps * safety / static_cast<double>(nodes_), Clock::now())),
      demand_share_(1.0 / static_cast<double>(nodes_)) {
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
    const double others = nodes_ > 1 ? static_cast<double>(nodes_ - 1) : 1.0;
    const double share = nodes_ == 1 ? 1.0 : leading_ ? leader_share : (1.0 - leader_share) / others;
    const double writes = nodes_ == 1 ? 1.0 : share * (1.0 - by_demand) + demand_share_ * by_demand;
    const auto& limits = record_format_.limits();
    // All controllers together borrow less than the second's burst that the service allows.
    limiter_.bucket().set_borrowing(limits.write_rps * safety * borrowed / static_cast<double>(nodes_));
    limiter_.bucket().set_rates(limits.rps * safety * share, limits.write_rps * safety * writes);
}

bool HttpStore::healthy(Clock::time_point now) const {
    return last_good_ >= last_bad_ || now - last_good_ < std::chrono::seconds(2);
}

awaitable<net::HttpAnswer> HttpStore::call(net::http::verb verb, std::string target, std::string body, double writes,
                                           RequestPriority priority, Clock::duration limit) {
    co_await limiter_.enter(writes, priority);
    auto answer = co_await http_.request(verb, std::move(target), std::move(body), limit);
    if (answer.never_sent) answer.status = 503;  // without a connection nothing can have been carried out
    if (answer.status == 0 || answer.status == 503)
        last_bad_ = Clock::now();
    else
        last_good_ = Clock::now();
    co_return answer;
}

awaitable<GetResult> HttpStore::get(std::string key, RequestPriority priority) {
    std::string target = "/kv/" + key;
    auto answer = co_await call(net::http::verb::get, std::move(target), std::string(), 0, priority, request_limit);
    GetResult r;
    if (answer.status == 404) {
        r.outcome = Outcome::ok;
        r.item.key = key;
        co_return r;
    }
    r.outcome = outcome_of(answer.status);
    if (r.outcome == Outcome::ok) {
        if (auto o = object_of(answer.body))
            r.item = item_of(*o);
        else
            r.outcome = Outcome::unknown;
    }
    co_return r;
}

awaitable<RangeResult> HttpStore::range(std::string prefix, std::string after, RequestPriority priority) {
    std::string target = "/kv?starts=" + prefix + "&page=500";
    if (!after.empty()) target += "&from=" + after;
    auto answer = co_await call(net::http::verb::get, std::move(target), std::string(), 0, priority, request_limit * 2);
    RangeResult r;
    r.outcome = outcome_of(answer.status);
    if (r.outcome != Outcome::ok) co_return r;
    auto o = object_of(answer.body);
    const auto* items = o ? o->if_contains("items") : nullptr;
    if (!items || !items->is_array()) {
        r.outcome = Outcome::unknown;
        co_return r;
    }
    for (const auto& v : items->get_array())
        if (v.is_object()) r.items.push_back(item_of(v.get_object()));
    const auto* more = o->if_contains("truncated");
    r.more = more && more->is_bool() && more->get_bool();
    r.revision = number(*o, "epoch");
    co_return r;
}

awaitable<TxnResult> HttpStore::commit(Txn txn, RequestPriority priority) {
    std::size_t largest = 0;
    json::array conditions, changes;
    for (const auto& c : txn.conditions) conditions.push_back(json::object{{"key", c.key}, {"stamp", c.mod_revision}});
    for (auto& c : txn.changes) {
        json::object change;
        if (c.value) {
            change["write"] = c.key;
            if (!record_format_.newest()) largest = std::max(largest, RecordFormat::size_of(*c.value));
            change["v"] = std::move(*c.value);
            if (c.lease) change["permit"] = c.lease;
        } else {
            change["delete"] = c.key;
        }
        changes.push_back(std::move(change));
    }
    json::object body;
    body["if"] = std::move(conditions);
    if (!changes.empty()) body["apply"] = std::move(changes);
    std::string target = "/multi";
    auto text_body = json::serialize(body);
    auto answer = co_await call(net::http::verb::post, std::move(target), std::move(text_body),
                                static_cast<double>(txn.changes.size()), priority, request_limit);
    TxnResult r;
    r.outcome = outcome_of(answer.status);
    auto o = object_of(answer.body);
    if (answer.status == 400) {
        const bool lease = o && text(*o, "error").find("lease") != std::string::npos;
        r.outcome =
            lease || answer.body.find("no such lease") != std::string::npos ? Outcome::no_lease : Outcome::too_large;
        if (r.outcome == Outcome::too_large) {
            spdlog::info("event=transaction_rejected changes={} conditions={} body={}", txn.changes.size(),
                         txn.conditions.size(), answer.body);
            if (record_format_.refused(largest, txn.changes.size(), txn.conditions.size())) {
                spdlog::info("event=limits_lowered format={} why=\"a size was refused\"", record_format_.format());
                set_rates();
            }
        }
        co_return r;
    }
    if (r.outcome == Outcome::ok || r.outcome == Outcome::conflict) {
        if (!o) {
            r.outcome = Outcome::unknown;
            co_return r;
        }
        r.revision = number(*o, "epoch");
        if (const auto* failed = o->if_contains("failed"); failed && failed->is_array())
            for (const auto& f : failed->get_array())
                if (f.is_string()) r.failed.emplace_back(f.get_string());
    }
    co_return r;
}

awaitable<WatchResult> HttpStore::watch(std::string prefix, std::uint64_t from, std::chrono::milliseconds hold) {
    co_await limiter_.enter(0, RequestPriority::leadership);
    std::string target =
        "/follow?starts=" + prefix + "&from=" + std::to_string(from) + "&hold_ms=" + std::to_string(hold.count());
    auto answer =
        co_await watches_.request(net::http::verb::get, std::move(target), std::string(), hold + request_limit);
    WatchResult r;
    if (answer.never_sent) answer.status = 503;
    r.outcome = outcome_of(answer.status);
    if (r.outcome != Outcome::ok) co_return r;
    auto o = object_of(answer.body);
    const auto* events = o ? o->if_contains("events") : nullptr;
    if (!o) {
        r.outcome = Outcome::unknown;
        co_return r;
    }
    r.revision = number(*o, "epoch");
    if (events && events->is_array())
        for (const auto& v : events->get_array()) {
            if (!v.is_object()) continue;
            const auto& e = v.get_object();
            KeyValue item;
            const bool deleted = e.if_contains("delete") != nullptr;
            item.key = deleted ? text(e, "delete") : text(e, "write");
            if (const auto* value = e.if_contains("v")) item.value = *value;
            item.mod_revision = number(e, "stamp");
            r.events.push_back(std::move(item));
            r.deleted.push_back(deleted);
        }
    co_return r;
}

awaitable<LeaseResult> HttpStore::grant(std::chrono::milliseconds ttl) {
    std::string target = "/grants";
    auto body = json::serialize(json::object{{"life_ms", ttl.count()}});
    auto answer = co_await call(net::http::verb::post, std::move(target), std::move(body), 0,
                                RequestPriority::leadership, request_limit);
    LeaseResult r;
    r.outcome = outcome_of(answer.status);
    if (r.outcome == Outcome::ok) {
        if (auto o = object_of(answer.body)) r.lease = number(*o, "permit");
        if (!r.lease) r.outcome = Outcome::unknown;
    }
    co_return r;
}

awaitable<Outcome> HttpStore::renew(std::uint64_t lease) {
    std::string target = "/grants/" + std::to_string(lease) + "/renew";
    auto answer = co_await call(net::http::verb::post, std::move(target), std::string(), 0, RequestPriority::leadership,
                                std::chrono::milliseconds(800));
    co_return answer.status == 404 ? Outcome::no_lease : outcome_of(answer.status);
}

awaitable<void> HttpStore::revoke(std::uint64_t lease) {
    std::string target = "/grants/" + std::to_string(lease);
    co_await call(net::http::verb::delete_, std::move(target), std::string(), 0, RequestPriority::bookkeeping,
                  request_limit);
}

}  // namespace flintdale::state
