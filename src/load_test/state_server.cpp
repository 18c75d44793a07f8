#include "load_test/state_server.hpp"

#include "election/elector.hpp"
#include "load_test/json_reply.hpp"
#include "wire/json.hpp"

namespace flintdale::load_test {

using namespace std::chrono_literals;
using model::Clock;
using net::http::verb;
namespace json = boost::json;

namespace {

constexpr std::size_t most_items = 1000, most_bytes = 512 * 1024, most_connections = 4000;
constexpr auto watch_step = 10ms;
constexpr auto longest_watch = 60'000ms;
constexpr std::uint64_t shortest_lease_ms = 100, longest_lease_ms = 600'000;
const std::string key_prefix = "/kv/", lease_prefix = "/grants/";

net::Reply malformed(const std::string& why) { return json_reply(400, {{"error", why}}); }

json::object item_json(const state::KeyValue& item) {
    return {{"key", item.key}, {"v", item.value}, {"stamp", item.mod_revision}};
}

state::Txn parse_txn(const json::object& body) {
    state::Txn txn;
    if (const auto* conditions = body.if_contains("if"))
        for (const auto& v : conditions->as_array())
            txn.conditions.push_back({std::string(v.as_object().at("key").as_string()),
                                      v.as_object().at("stamp").to_number<std::uint64_t>()});
    const auto* changes = body.if_contains("apply");
    if (!changes) return txn;
    for (const auto& v : changes->as_array()) {
        const auto& o = v.as_object();
        state::Change change;
        if (const auto* removed = o.if_contains("delete")) {
            change.key = std::string(removed->as_string());
        } else {
            change.key = std::string(o.at("write").as_string());
            change.value = o.at("v");
            if (const auto* lease = o.if_contains("permit")) change.lease = lease->to_number<std::uint64_t>();
        }
        txn.changes.push_back(std::move(change));
    }
    return txn;
}

}  // namespace

StateServer::StateServer(net::Executor ex, simulator::Events& events, const config::StoreLimits& limits,
                         const config::Address& address)
    : events_(events),
      store_(events),
      limits_(limits),
      requests_(limits.rps, 1, events.now()),
      writes_(limits.write_rps, 1, events.now()),
      server_(ex, address.host, address.port, most_connections,
              [this](net::Request request) { return handle(std::move(request)); }) {}

std::string StateServer::leader() {
    store_.expire();
    const auto holder = store_.get(election::holder_key);
    return holder.mod_revision ? std::string(holder.value.as_object().at("member").as_string()) : std::string();
}

awaitable<net::Reply> StateServer::handle(net::Request request) {
    events_.advance_to(Clock::now());
    store_.expire();
    ++counts_.requests;
    net::Reply out;
    if (!requests_.take(1, events_.now())) {
        ++counts_.refused;
        co_return json_reply(429, {});
    }
    bool is_watch = false;
    Query query;
    try {
        query = parse_query(request.target);
        is_watch = query.path == "/follow";
        if (is_watch) {
            query.number("from", 0);
            query.number("hold_ms", 0);
        } else if (query.path == "/multi" && request.verb == verb::post) {
            out = commit(request.body);
        } else if (query.path == "/kv") {
            out = range(query);
        } else if (query.path.starts_with(key_prefix)) {
            out = get(query.path.substr(key_prefix.size()));
        } else if (query.path == "/grants" || query.path.starts_with(lease_prefix)) {
            out = leases(request, query.path);
        } else {
            out = json_reply(404, {});
        }
    } catch (const std::exception& e) {
        out = malformed(e.what());
        is_watch = false;
    }
    if (is_watch) co_return co_await watch(std::move(query));
    co_return out;
}

net::Reply StateServer::get(const std::string& key) {
    const auto item = store_.get(key);
    return item.mod_revision ? json_reply(200, item_json(item)) : json_reply(404, {{"epoch", store_.revision()}});
}

net::Reply StateServer::range(const Query& query) {
    const auto found = store_.range(query.text("starts"), query.text("from"));
    const auto page = std::min<std::size_t>(query.number("page", most_items), most_items);
    json::array items;
    std::size_t bytes = 0;
    for (const auto& item : found.items) {
        auto o = item_json(item);
        bytes += json::serialize(o).size();
        if (items.size() >= page || (bytes > most_bytes && !items.empty())) break;
        items.push_back(std::move(o));
    }
    const bool more = found.more || items.size() < found.items.size();
    return json_reply(200, {{"items", std::move(items)}, {"truncated", more}, {"epoch", found.revision}});
}

net::Reply StateServer::commit(const std::string& body) {
    const auto txn = parse_txn(wire::parse_object(body));
    if (txn.changes.size() > limits_.txn_ops || txn.conditions.size() > limits_.txn_ops * 4)
        return malformed("too many changes or conditions");
    for (const auto& c : txn.changes)
        if (c.value && json::serialize(*c.value).size() > limits_.value_bytes) return malformed("value too large");
    if (!writes_.take(static_cast<double>(txn.changes.size()), events_.now())) {
        ++counts_.refused;
        return json_reply(429, {});
    }
    counts_.writes += txn.changes.size();
    const auto result = store_.commit(txn);
    if (result.outcome == state::Outcome::no_lease) return malformed("no such lease");
    if (result.outcome == state::Outcome::ok) return json_reply(200, {{"epoch", result.revision}});
    return json_reply(409, {{"failed", json::value_from(result.failed)}, {"epoch", result.revision}});
}

net::Reply StateServer::leases(const net::Request& request, const std::string& path) {
    if (path == "/grants") {
        const auto ttl = wire::parse_object(request.body).at("life_ms").to_number<std::uint64_t>();
        if (ttl < shortest_lease_ms || ttl > longest_lease_ms) return malformed("life_ms: out of range");
        return json_reply(200, {{"permit", store_.grant(std::chrono::milliseconds(ttl))}});
    }
    const auto id = std::stoull(path.substr(lease_prefix.size()));
    if (request.verb == verb::delete_) {
        store_.revoke(id);
        return json_reply(200, {});
    }
    return store_.renew(id) ? json_reply(200, {{"permit", id}}) : json_reply(404, {});
}

awaitable<net::Reply> StateServer::watch(Query query) {
    const auto prefix = query.text("starts");
    const auto from = query.number("from", 0);
    const auto hold =
        std::min<std::chrono::milliseconds>(std::chrono::milliseconds(query.number("hold_ms", 0)), longest_watch);
    const auto until = Clock::now() + hold;
    std::uint64_t looked_at = 0;
    for (bool first = true;; first = false) {
        store_.expire();
        const bool over = Clock::now() >= until;
        if (first || over || store_.revision() != looked_at) {
            looked_at = store_.revision();
            const auto seen = store_.changes(prefix, from);
            if (seen.outcome == state::Outcome::too_old) co_return json_reply(410, {});
            if (!seen.events.empty() || over) {
                json::array events;
                for (std::size_t i = 0; i < seen.events.size(); ++i) {
                    const auto& e = seen.events[i];
                    if (seen.deleted[i])
                        events.push_back(json::object{{"delete", e.key}, {"stamp", e.mod_revision}});
                    else
                        events.push_back(json::object{{"write", e.key}, {"v", e.value}, {"stamp", e.mod_revision}});
                }
                co_return json_reply(200, {{"epoch", seen.revision}, {"events", std::move(events)}});
            }
        }
        co_await net::sleep_for(watch_step);
        events_.advance_to(Clock::now());
    }
}

}  // namespace flintdale::load_test
