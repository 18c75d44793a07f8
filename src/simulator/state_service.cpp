#include "simulator/state_service.hpp"

#include <algorithm>

namespace flintdale::simulator {

using namespace std::chrono_literals;
using state::Outcome;

namespace {
constexpr std::size_t kept_changes = 10'000;
constexpr std::size_t page_items = 500;
constexpr auto request_timeout = 1500ms;  // after which a request is given up
constexpr double limit_share = 0.9;
}  // namespace

void KeyValueStore::put(const std::string& key, std::optional<state::KeyValue> item) {
    const auto it = items_.find(key);
    Change entry{revision_, events_.now(), key, {}, item};
    if (it != items_.end()) entry.before = it->second;
    if (item)
        items_[key] = *item;
    else
        items_.erase(key);
    history_.push_back(std::move(entry));
    if (history_.size() > kept_changes) history_.pop_front();
}

state::TxnResult KeyValueStore::commit(const state::Txn& txn) {
    expire();
    state::TxnResult r;
    r.revision = revision_;
    for (const auto& c : txn.changes)
        if (c.lease && !leases_.contains(c.lease)) {
            r.outcome = Outcome::no_lease;
            return r;
        }
    for (const auto& c : txn.conditions)
        if (get(c.key).mod_revision != c.mod_revision) r.failed.push_back(c.key);
    r.outcome = r.failed.empty() ? Outcome::ok : Outcome::conflict;
    if (!r.failed.empty() || txn.changes.empty()) return r;
    r.revision = ++revision_;
    for (const auto& c : txn.changes) {
        leased_keys_.erase(c.key);
        if (c.lease) leased_keys_[c.key] = c.lease;
        if (c.value)
            put(c.key, state::KeyValue{c.key, *c.value, revision_});
        else if (items_.contains(c.key))
            put(c.key, std::nullopt);
    }
    return r;
}

state::KeyValue KeyValueStore::get(const std::string& key) const {
    const auto it = items_.find(key);
    return it == items_.end() ? state::KeyValue{key, {}, 0} : it->second;
}

state::RangeResult KeyValueStore::range(const std::string& prefix, const std::string& after) const {
    state::RangeResult r;
    r.outcome = Outcome::ok;
    r.revision = revision_;
    for (auto it = after.empty() ? items_.lower_bound(prefix) : items_.upper_bound(after); it != items_.end(); ++it) {
        if (!it->first.starts_with(prefix)) break;
        if (r.items.size() >= page_items) {
            r.more = true;
            break;
        }
        r.items.push_back(it->second);
    }
    return r;
}

state::WatchResult KeyValueStore::changes(const std::string& prefix, std::uint64_t from) const {
    state::WatchResult r;
    r.outcome = Outcome::ok;
    r.revision = revision_;
    if (history_.size() >= kept_changes && from < history_.front().revision) {
        r.outcome = Outcome::too_old;
        return r;
    }
    for (auto it = std::upper_bound(history_.begin(), history_.end(), from,
                                    [](std::uint64_t n, const Change&e) { return n < e.revision; });
         it != history_.end(); ++it) {
        if (!it->key.starts_with(prefix)) continue;
        r.events.push_back(it->now ? *it->now : state::KeyValue{it->key, {}, it->revision});
        r.deleted.push_back(!it->now);
    }
    return r;
}

std::uint64_t KeyValueStore::grant(Seconds ttl) {
    leases_[++last_lease_] = {ttl, events_.now() + model::to_clock(ttl)};
    return last_lease_;
}

bool KeyValueStore::renew(std::uint64_t lease) {
    expire();
    const auto it = leases_.find(lease);
    if (it == leases_.end()) return false;
    it->second.ends = events_.now() + model::to_clock(it->second.ttl);
    return true;
}

void KeyValueStore::revoke(std::uint64_t lease) {
    if (const auto it = leases_.find(lease); it != leases_.end()) it->second.ends = events_.now();
    expire();
}

void KeyValueStore::expire() {
    std::erase_if(leases_, [&](const auto& l) { return l.second.ends <= events_.now(); });
    std::vector<std::string> expired_keys;
    for (const auto& [key, lease] : leased_keys_)
        if (!leases_.contains(lease)) expired_keys.push_back(key);
    if (expired_keys.empty()) return;
    ++revision_;
    for (const auto& key : expired_keys) {
        leased_keys_.erase(key);
        if (items_.contains(key)) put(key, std::nullopt);
    }
}

void KeyValueStore::extend_leases() {
    for (auto& [id, lease] : leases_) lease.ends = events_.now() + model::to_clock(lease.ttl);
}

void KeyValueStore::expire_all_leases() {
    for (auto& [id, lease] : leases_) lease.ends = events_.now();
    expire();
}

void KeyValueStore::erase_all() {
    items_.clear();
    leased_keys_.clear();
    leases_.clear();
    history_.clear();
    revision_ = 0;
}

void KeyValueStore::roll_back(Seconds by) {
    const auto until = events_.now() - model::to_clock(by);
    while (!history_.empty() && history_.back().at > until) {
        const auto& e = history_.back();
        if (e.before)
            items_[e.key] = *e.before;
        else
            items_.erase(e.key);
        revision_ = e.revision - 1;
        history_.pop_back();
    }
    // Leases are not part of a copy; keys that hung on one go.
    leases_.clear();
    for (const auto& [key, lease] : leased_keys_) items_.erase(key);
    leased_keys_.clear();
}

std::size_t KeyValueStore::erase(const std::string& prefix) {
    return std::erase_if(items_, [&](const auto& item) { return item.first.starts_with(prefix); });
}

std::size_t KeyValueStore::revert(const std::string& prefix, std::size_t most) {
    std::size_t n = 0;
    for (auto it = history_.rbegin(); it != history_.rend() && n < most; ++it) {
        const auto item = items_.find(it->key);
        if (!it->key.starts_with(prefix) || !it->before || item == items_.end()) continue;
        if (item->second.mod_revision != it->revision) continue;
        item->second = *it->before;
        ++n;
    }
    return n;
}

std::size_t KeyValueStore::corrupt(const std::string& prefix, std::size_t most) {
    std::size_t n = 0;
    for (auto it = items_.lower_bound(prefix); it != items_.end() && it->first.starts_with(prefix) && n < most; ++it) {
        if (!events_.chance(0.5)) continue;
        it->second.value = "#";
        ++n;
    }
    return n;
}

StoreLink::StoreLink(net::Executor ex, Events& events, KeyValueStore& keys, const config::StoreLimits& limits,
                     std::size_t nodes)
    : events_(events),
      store_(keys),
      limits_(limits),
      nodes_(static_cast<double>(nodes)),
      limiter_(ex, state::TokenBucket(limits.rps * limit_share / nodes_, limits.write_rps * limit_share / nodes_,
                                      events.now())) {
    set_leading(false);
}

// The leader has most of the requests, and half of the writes.
void StoreLink::set_leading(bool leading) {
    const double others = std::max(1.0, nodes_ - 1);
    const double share = nodes_ < 2 ? 1 : leading ? 0.6 : 0.4 / others;
    limiter_.bucket().set_rates(limits_.rps * limit_share * share, limits_.write_rps * limit_share *
                                                                       (nodes_ < 2 ? 1
                                                                        : leading  ? 0.5
                                                                                   : 0.5 / others));
}

bool StoreLink::healthy(model::TimePoint now) const {
    return last_success_ >= last_failure_ || now - last_success_ < 2s;
}

net::awaitable<bool> StoreLink::send_request(double writes, state::RequestPriority priority, Outcome& seen) {
    co_await limiter_.acquire(writes, priority);
    co_await net::sleep_for(model::to_clock(Seconds(events_.uniform(0.001, 0.008))));
    co_await delay();
    if (cut) {
        co_await net::sleep_for(request_timeout);
        seen = Outcome::unknown;
    } else if (refused || (outage && *outage)) {
        seen = Outcome::refused;
    } else {
        store_.expire();
        last_success_ = events_.now();
        co_return true;
    }
    last_failure_ = events_.now();
    co_return false;
}

net::awaitable<void> StoreLink::send_answer() {
    co_await net::sleep_for(model::to_clock(Seconds(events_.uniform(0.001, 0.004))));
    co_await delay();
}

// Requests and answers overtake one another: what was asked first may be answered last, from what was there long since.
net::awaitable<void> StoreLink::delay() {
    if (slow > 0 && events_.chance(slow)) co_await net::sleep_for(model::to_clock(slowest * events_.uniform(0.1, 1)));
}

net::awaitable<state::GetResult> StoreLink::get(std::string key, state::RequestPriority priority) {
    state::GetResult r;
    const bool there = co_await send_request(0, priority, r.outcome);
    if (there) {
        r.outcome = Outcome::ok;
        r.item = store_.get(key);
        co_await send_answer();
    }
    co_return r;
}

net::awaitable<state::RangeResult> StoreLink::range(std::string prefix, std::string after,
                                                    state::RequestPriority priority) {
    state::RangeResult r;
    const bool there = co_await send_request(0, priority, r.outcome);
    if (there) {
        r = store_.range(prefix, after);
        co_await send_answer();
    }
    co_return r;
}

net::awaitable<state::TxnResult> StoreLink::commit(state::Txn txn, state::RequestPriority priority) {
    state::TxnResult r;
    const bool there = co_await send_request(static_cast<double>(txn.changes.size()), priority, r.outcome);
    if (!there) co_return r;
    const bool scenario_delay = late > 0 && events_.chance(late);
    if (scenario_delay || (late_now && *late_now > 0 && events_.chance(*late_now))) {
        // Held on its way, and carried out when nobody waits for it any more.
        auto* keys = &store_;
        events_.after(scenario_delay ? Seconds(events_.uniform(0.1, 20)) : Seconds(events_.uniform(2, 12)),
                      [keys, txn] { keys->commit(txn); });
        co_await net::sleep_for(request_timeout);
        co_return r;
    }
    r = store_.commit(txn);
    co_await send_answer();
    co_return r;
}

net::awaitable<state::WatchResult> StoreLink::watch(std::string prefix, std::uint64_t from,
                                                    std::chrono::milliseconds hold) {
    state::WatchResult r;
    const bool there = co_await send_request(0, state::RequestPriority::leadership, r.outcome);
    if (!there) co_return r;
    const auto until = events_.now() + hold;
    for (;;) {
        if (!cut && !refused && !(outage && *outage)) {
            store_.expire();
            r = store_.changes(prefix, from);
            if (!r.events.empty() || r.outcome != Outcome::ok || events_.now() >= until) break;
        } else if (events_.now() >= until + request_timeout) {
            r = {};
            co_return r;
        }
        co_await net::sleep_for(20ms);
    }
    co_await send_answer();
    co_return r;
}

net::awaitable<state::LeaseResult> StoreLink::grant(std::chrono::milliseconds ttl) {
    state::LeaseResult r;
    const bool there = co_await send_request(0, state::RequestPriority::leadership, r.outcome);
    if (there) {
        r.outcome = Outcome::ok;
        r.lease = store_.grant(ttl);
        co_await send_answer();
    }
    co_return r;
}

net::awaitable<Outcome> StoreLink::renew(std::uint64_t lease) {
    auto seen = Outcome::unknown;
    const bool there = co_await send_request(0, state::RequestPriority::leadership, seen);
    if (!there) co_return seen;
    const bool alive = store_.renew(lease);
    co_await send_answer();
    co_return alive ? Outcome::ok : Outcome::no_lease;
}

net::awaitable<void> StoreLink::revoke(std::uint64_t lease) {
    auto seen = Outcome::unknown;
    const bool there = co_await send_request(0, state::RequestPriority::bookkeeping, seen);
    if (there) store_.revoke(lease);
}

}  // namespace flintdale::simulator
