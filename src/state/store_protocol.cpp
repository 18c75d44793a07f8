#include "state/store_protocol.hpp"

#include "state/record_fields.hpp"

namespace flintdale::state::protocol {

namespace {

constexpr unsigned http_ok = 200, http_bad_request = 400, http_not_found = 404, http_conflict = 409, http_gone = 410,
                   http_too_many_requests = 429, http_unavailable = 503;
constexpr const char* page_size = "500";  // keys a page

Outcome outcome_of(unsigned status) {
    switch (status) {
        case http_ok:
            return Outcome::ok;
        case http_conflict:
            return Outcome::conflict;
        case http_gone:
            return Outcome::too_old;
        case http_too_many_requests:
        case http_unavailable:
            return Outcome::refused;
        default:
            return Outcome::unknown;
    }
}

// 0 if the field is absent or not a number. Throws boost::system::system_error if it is not an unsigned 64-bit integer.
std::uint64_t number(const json::object& object, std::string_view field) {
    const auto* value = object.if_contains(field);
    return value && value->is_number() ? value->to_number<std::uint64_t>() : 0;
}

std::optional<json::object> parse_body(const std::string& body) {
    json::error_code failed;
    auto value = json::parse(body, failed);
    if (failed || !value.is_object()) return std::nullopt;
    return std::move(value.get_object());
}

KeyValue parse_item(const json::object& object) {
    KeyValue item;
    item.key = text_or_empty(object, "key");
    if (const auto* value = object.if_contains("v")) item.value = *value;
    item.mod_revision = number(object, "stamp");
    return item;
}

void parse_event(const json::object& event, WatchResult& into) {
    KeyValue item;
    const bool deleted = event.if_contains("delete") != nullptr;
    item.key = text_or_empty(event, deleted ? "delete" : "write");
    if (const auto* value = event.if_contains("v")) item.value = *value;
    item.mod_revision = number(event, "stamp");
    into.events.push_back(std::move(item));
    into.deleted.push_back(deleted);
}

json::object change_json(Change& change) {
    json::object out;
    if (!change.value) {
        out["delete"] = change.key;
        return out;
    }
    out["write"] = change.key;
    out["v"] = std::move(*change.value);
    if (change.lease) out["permit"] = change.lease;
    return out;
}

// The meaning of status 400: the transaction names a lease that does not exist, or it is permanently rejected.
Outcome rejection(const net::HttpAnswer& answer, const std::optional<json::object>& body) {
    const bool names_lease = body && text_or_empty(*body, "error").find("lease") != std::string::npos;
    const bool no_lease = names_lease || answer.body.find("no such lease") != std::string::npos;
    return no_lease ? Outcome::no_lease : Outcome::too_large;
}

}  // namespace

std::string get_target(const std::string& key) { return "/kv/" + key; }

std::string range_target(const std::string& prefix, const std::string& after) {
    std::string target = "/kv?starts=" + prefix + "&page=" + page_size;
    if (!after.empty()) target += "&from=" + after;
    return target;
}

std::string watch_target(const std::string& prefix, std::uint64_t from, std::chrono::milliseconds hold) {
    return "/follow?starts=" + prefix + "&from=" + std::to_string(from) + "&hold_ms=" + std::to_string(hold.count());
}

std::string renew_target(std::uint64_t lease) { return "/grants/" + std::to_string(lease) + "/renew"; }

std::string revoke_target(std::uint64_t lease) { return "/grants/" + std::to_string(lease); }

std::string commit_body(Txn& txn) {
    json::array conditions;
    for (const auto& condition : txn.conditions)
        conditions.push_back(json::object{{"key", condition.key}, {"stamp", condition.mod_revision}});
    json::array changes;
    for (auto& change : txn.changes) changes.push_back(change_json(change));
    json::object body;
    body["if"] = std::move(conditions);
    if (!changes.empty()) body["apply"] = std::move(changes);
    return json::serialize(body);
}

std::string grant_body(std::chrono::milliseconds ttl) {
    return json::serialize(json::object{{"life_ms", ttl.count()}});
}

GetResult parse_get(const net::HttpAnswer& answer, std::string key) {
    GetResult result;
    if (answer.status == http_not_found) {
        result.outcome = Outcome::ok;
        result.item.key = std::move(key);
        return result;
    }
    result.outcome = outcome_of(answer.status);
    if (result.outcome != Outcome::ok) return result;
    if (const auto body = parse_body(answer.body))
        result.item = parse_item(*body);
    else
        result.outcome = Outcome::unknown;
    return result;
}

RangeResult parse_range(const net::HttpAnswer& answer) {
    RangeResult result;
    result.outcome = outcome_of(answer.status);
    if (result.outcome != Outcome::ok) return result;
    const auto body = parse_body(answer.body);
    const auto* items = body ? body->if_contains("items") : nullptr;
    if (!items || !items->is_array()) {
        result.outcome = Outcome::unknown;
        return result;
    }
    for (const auto& item : items->get_array())
        if (item.is_object()) result.items.push_back(parse_item(item.get_object()));
    result.more = flag_or_false(*body, "truncated");
    result.revision = number(*body, "epoch");
    return result;
}

TxnResult parse_commit(const net::HttpAnswer& answer) {
    TxnResult result;
    result.outcome = outcome_of(answer.status);
    const auto body = parse_body(answer.body);
    if (answer.status == http_bad_request) result.outcome = rejection(answer, body);
    if (result.outcome != Outcome::ok && result.outcome != Outcome::conflict) return result;
    if (!body) {
        result.outcome = Outcome::unknown;
        return result;
    }
    result.revision = number(*body, "epoch");
    const auto* failed = body->if_contains("failed");
    if (!failed || !failed->is_array()) return result;
    for (const auto& key : failed->get_array())
        if (key.is_string()) result.failed.emplace_back(key.get_string());
    return result;
}

WatchResult parse_watch(const net::HttpAnswer& answer) {
    WatchResult result;
    result.outcome = outcome_of(answer.status);
    if (result.outcome != Outcome::ok) return result;
    const auto body = parse_body(answer.body);
    if (!body) {
        result.outcome = Outcome::unknown;
        return result;
    }
    result.revision = number(*body, "epoch");
    const auto* events = body->if_contains("events");
    if (!events || !events->is_array()) return result;
    for (const auto& event : events->get_array())
        if (event.is_object()) parse_event(event.get_object(), result);
    return result;
}

LeaseResult parse_grant(const net::HttpAnswer& answer) {
    LeaseResult result;
    result.outcome = outcome_of(answer.status);
    if (result.outcome != Outcome::ok) return result;
    if (const auto body = parse_body(answer.body)) result.lease = number(*body, "permit");
    if (!result.lease) result.outcome = Outcome::unknown;
    return result;
}

Outcome parse_renew(const net::HttpAnswer& answer) {
    return answer.status == http_not_found ? Outcome::no_lease : outcome_of(answer.status);
}

}  // namespace flintdale::state::protocol
