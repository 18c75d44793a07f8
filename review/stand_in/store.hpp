// The state service, by the page: keys with stamps, transactions, grants and follows, within its limits.
#pragma once
#include <boost/json.hpp>
#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <vector>

#include "http.hpp"

namespace stand_in {

namespace json = boost::json;

struct StoreLimits {
    double rps = 250, write_rps = 30, value_kb = 16;
    int txn_ops = 24;
};

// Allows bursts of one second's worth.
class Bucket {
  public:
    explicit Bucket(double rate, double burst_s = 1) : rate_(rate), most_(rate * burst_s), left_(most_) {}
    bool take(double n) {
        const auto now = Clock::now();
        left_ = std::min(most_, left_ + Seconds(now - at_).count() * rate_);
        at_ = now;
        if (n > 0 && left_ < std::min(n, most_)) return false;
        left_ -= n;
        return true;
    }

  private:
    double rate_, most_, left_;
    TimePoint at_ = Clock::now();
};

class Store {
  public:
    explicit Store(StoreLimits limits)
        : limits_(limits),
          requests_(limits.rps),
          writes_(limits.write_rps),
          server_([this](const Request& r) { return answer(r); }) {
        std::thread([this] { expire_loop(); }).detach();
    }
    std::string address() const { return server_.address(); }

    // The member that holds the leadership, as recorded by the controllers.
    std::string leader() {
        const std::lock_guard lock(mutex_);
        const auto it = items_.find("lead/holder");
        return it == items_.end() ? "" : std::string(it->second.value.at("member").as_string());
    }
    std::uint64_t refused_by_limits() {
        const std::lock_guard lock(mutex_);
        return too_many_;
    }

  private:
    struct Item {
        json::value value;
        std::uint64_t stamp = 0, permit = 0;
    };
    struct Grant {
        Clock::duration life;
        TimePoint ends;
    };
    struct Change {
        std::uint64_t epoch;
        std::string key;
        bool deleted;
        json::value value;
    };

    static Response reply(int status, const json::value& body) { return {status, json::serialize(body), 0}; }

    Response answer(const Request& request) {
        std::unique_lock lock(mutex_);
        if (!requests_.take(1)) {
            ++too_many_;
            return reply(429, json::object{});
        }
        const Target target(request.target);
        if (target.path == "/follow") return follow(target, lock);
        if (target.path == "/multi") return multi(request.body);
        if (target.path == "/kv") return range(target);
        if (target.path.starts_with("/kv/")) return get(target.path.substr(4));
        if (target.path == "/grants") {
            const auto life = std::chrono::milliseconds(json::parse(request.body).at("life_ms").to_number<int>());
            if (life.count() < 100 || life.count() > 600'000) return reply(400, {{"error", "life_ms"}});
            const auto id = ++last_grant_;
            grants_[id] = {life, Clock::now() + life};
            return reply(200, {{"permit", id}});
        }
        if (target.path.starts_with("/grants/")) return grant(request.method, target.path.substr(8));
        return reply(404, json::object{});
    }

    Response grant(const std::string& method, const std::string& rest) {
        const auto id = std::stoull(rest);
        if (method == "DELETE") {
            end_grant(id);
            return reply(200, json::object{});
        }
        const auto it = grants_.find(id);
        if (it == grants_.end()) return reply(404, json::object{});
        it->second.ends = Clock::now() + it->second.life;
        return reply(200, {{"permit", id}});
    }

    Response get(const std::string& key) {
        const auto it = items_.find(key);
        if (it == items_.end()) return reply(404, {{"epoch", epoch_}});
        json::object out{{"key", key}, {"v", it->second.value}, {"stamp", it->second.stamp}};
        if (it->second.permit) out["permit"] = it->second.permit;
        return reply(200, out);
    }

    Response range(const Target& target) {
        const auto starts = target.text("starts"), from = target.text("from");
        const auto page = std::min<std::uint64_t>(target.number("page", 1000), 1000);
        json::array found;
        bool truncated = false;
        std::size_t bytes = 0;
        for (auto it = from < starts ? items_.lower_bound(starts) : items_.upper_bound(from);
             it != items_.end() && it->first.starts_with(starts); ++it) {
            json::object item{{"key", it->first}, {"v", it->second.value}, {"stamp", it->second.stamp}};
            bytes += json::serialize(item).size();
            if (found.size() >= page || (bytes > 512 * 1024 && !found.empty())) {
                truncated = true;
                break;
            }
            found.push_back(std::move(item));
        }
        return reply(200, {{"items", std::move(found)}, {"truncated", truncated}, {"epoch", epoch_}});
    }

    Response multi(const std::string& body) {
        if (body.size() > 64 * 1024) return reply(400, {{"error", "too large"}});
        const auto parsed = json::parse(body).as_object();
        const auto* conditions = parsed.if_contains("if");
        const auto* changes = parsed.if_contains("apply");
        const auto n = changes ? changes->as_array().size() : 0;
        if (n > static_cast<std::size_t>(limits_.txn_ops)) return reply(400, {{"error", "too many changes"}});
        if (conditions && conditions->as_array().size() > static_cast<std::size_t>(limits_.txn_ops) * 4)
            return reply(400, {{"error", "too many conditions"}});
        if (changes)
            for (const auto& change : changes->as_array())
                if (const auto* v = change.as_object().if_contains("v");
                    v && static_cast<double>(json::serialize(*v).size()) > limits_.value_kb * 1024)
                    return reply(400, {{"error", "value too large"}});
        if (!writes_.take(static_cast<double>(n))) {
            ++too_many_;
            return reply(429, json::object{});
        }
        json::array failed;
        if (conditions)
            for (const auto& condition : conditions->as_array()) {
                const std::string key(condition.at("key").as_string());
                const auto it = items_.find(key);
                if ((it == items_.end() ? 0 : it->second.stamp) != condition.at("stamp").to_number<std::uint64_t>())
                    failed.emplace_back(key);
            }
        if (!failed.empty()) return reply(409, {{"failed", std::move(failed)}, {"epoch", epoch_}});
        if (n == 0) return reply(200, {{"epoch", epoch_}});
        for (const auto& change : changes->as_array())
            if (const auto* permit = change.as_object().if_contains("permit");
                permit && !grants_.contains(permit->to_number<std::uint64_t>()))
                return reply(400, {{"error", "no such lease"}});
        ++epoch_;
        for (const auto& change : changes->as_array()) {
            const auto& object = change.as_object();
            if (const auto* removed = object.if_contains("delete")) {
                remove(std::string(removed->as_string()));
                continue;
            }
            const std::string key(object.at("write").as_string());
            const auto* permit = object.if_contains("permit");
            items_[key] = {object.at("v"), epoch_, permit ? permit->to_number<std::uint64_t>() : 0};
            history_.push_back({epoch_, key, false, object.at("v")});
        }
        trim();
        changed_.notify_all();
        return reply(200, {{"epoch", epoch_}});
    }

    void remove(const std::string& key) {
        if (items_.erase(key)) history_.push_back({epoch_, key, true, {}});
    }
    void trim() {
        for (; history_.size() > 10'000; history_.pop_front()) forgotten_ = history_.front().epoch;
    }

    Response follow(const Target& target, std::unique_lock<std::mutex>& lock) {
        const auto starts = target.text("starts");
        const auto from = target.number("from", 0);
        const auto hold = std::min<std::uint64_t>(target.number("hold_ms", 0), 60'000);
        const auto until = Clock::now() + std::chrono::milliseconds(hold);
        for (;;) {
            if (from < forgotten_) return reply(410, json::object{});
            json::array events;
            auto it = std::lower_bound(history_.begin(), history_.end(), from + 1,
                                       [](const Change& c, std::uint64_t epoch) { return c.epoch < epoch; });
            for (; it != history_.end(); ++it) {
                if (!it->key.starts_with(starts)) continue;
                if (it->deleted)
                    events.push_back(json::object{{"delete", it->key}, {"stamp", it->epoch}});
                else
                    events.push_back(json::object{{"write", it->key}, {"v", it->value}, {"stamp", it->epoch}});
            }
            if (!events.empty() || Clock::now() >= until)
                return reply(200, {{"epoch", epoch_}, {"events", std::move(events)}});
            changed_.wait_until(lock, until);
        }
    }

    void end_grant(std::uint64_t id) {
        if (!grants_.erase(id)) return;
        std::vector<std::string> attached;
        for (const auto& [key, item] : items_)
            if (item.permit == id) attached.push_back(key);
        if (attached.empty()) return;
        ++epoch_;
        for (const auto& key : attached) remove(key);
        changed_.notify_all();
    }
    void expire_loop() {
        for (;;) {
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
            const std::lock_guard lock(mutex_);
            std::vector<std::uint64_t> over;
            for (const auto& [id, grant] : grants_)
                if (Clock::now() >= grant.ends) over.push_back(id);
            for (const auto id : over) end_grant(id);
        }
    }

    StoreLimits limits_;
    Bucket requests_, writes_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, Item> items_;
    std::map<std::uint64_t, Grant> grants_;
    std::deque<Change> history_;
    std::uint64_t epoch_ = 0, forgotten_ = 0, last_grant_ = 0, too_many_ = 0;
    HttpServer server_;
};

}  // namespace stand_in
