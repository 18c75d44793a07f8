// The key-value store by its protocol, and its faults: outages, late transactions, lost answers, lost data.
#pragma once
#include <deque>
#include <map>

#include "config/settings.hpp"
#include "model/clock.hpp"
#include "simulator/events.hpp"
#include "state/request_limiter.hpp"
#include "state/store.hpp"

namespace flintdale::simulator {

// The keys, their history and the leases.
class KeyValueStore {
  public:
    explicit KeyValueStore(Events& events) : events_(events) {}

    state::TxnResult commit(const state::Txn& txn);
    state::KeyValue get(const std::string& key) const;
    state::RangeResult range(const std::string& prefix, const std::string& after) const;
    // The changes after that revision; `too_old` where not all are kept.
    state::WatchResult changes(const std::string& prefix, std::uint64_t from) const;
    std::uint64_t grant(Seconds ttl);
    bool renew(std::uint64_t lease);
    void revoke(std::uint64_t lease);
    void expire();             // leases that have run out, and their keys
    void extend_leases();      // after an outage: every lease has its full time again
    void expire_all_leases();  // leases, as if nobody had renewed one
    std::uint64_t revision() const { return revision_; }

    // Loss of data. The store gives no sign of it.
    void erase_all();
    void roll_back(Seconds by);                                        // to what it was that long ago
    std::size_t erase(const std::string& prefix);                      // silently
    std::size_t revert(const std::string& prefix, std::size_t most);   // single values are older than they were
    std::size_t corrupt(const std::string& prefix, std::size_t most);  // or no values any more

  private:
    struct Lease {
        Seconds ttl{0};
        TimePoint ends{};
    };
    struct Change {
        std::uint64_t revision;
        TimePoint at;
        std::string key;
        std::optional<state::KeyValue> before, now;
    };
    void put(const std::string& key, std::optional<state::KeyValue> item);

    Events& events_;
    std::map<std::string, state::KeyValue> items_;
    std::map<std::string, std::uint64_t> leased_keys_;  // key -> lease
    std::map<std::uint64_t, Lease> leases_;
    std::deque<Change> history_;
    std::uint64_t revision_ = 0, last_lease_ = 0;
};

// One controller's connection to the store.
class StoreLink : public state::RateLimitedStore {
  public:
    StoreLink(net::Executor ex, Events& events, KeyValueStore& keys, const config::StoreLimits& limits,
              std::size_t nodes);

    // Everyone's outage, or this controller's alone; a cut lets requests vanish instead.
    const bool* outage = nullptr;
    const double* late_now = nullptr;  // share of transactions that are late while that trouble lasts
    bool refused = false, cut = false;
    double late = 0;  // share of transactions that are carried out late, their answers lost
    double slow = 0;  // share of requests that wait on their way there, and of answers that wait on their way back
    Seconds slowest{1};

    net::awaitable<state::GetResult> get(std::string key, state::RequestPriority priority) override;
    net::awaitable<state::RangeResult> range(std::string prefix, std::string after,
                                             state::RequestPriority priority) override;
    net::awaitable<state::TxnResult> commit(state::Txn txn, state::RequestPriority priority) override;
    net::awaitable<state::WatchResult> watch(std::string prefix, std::uint64_t from,
                                             std::chrono::milliseconds hold) override;
    net::awaitable<state::LeaseResult> grant(std::chrono::milliseconds ttl) override;
    net::awaitable<state::Outcome> renew(std::uint64_t lease) override;
    net::awaitable<void> revoke(std::uint64_t lease) override;
    std::size_t preferred_batch_size() const override { return limiter_.preferred_batch_size(); }
    std::chrono::duration<double> write_wait() const override { return limiter_.write_wait(); }
    void set_leading(bool leading) override;
    double take_write_demand() override { return limiter_.take_demand(); }
    void set_write_demand(double, double) override {}
    bool healthy(model::TimePoint now) const override;

  private:
    // The way there: false if the request does not arrive, with what its sender sees.
    net::awaitable<bool> send_request(double writes, state::RequestPriority priority, state::Outcome& seen);
    net::awaitable<void> send_answer();
    net::awaitable<void> delay();

    Events& events_;
    KeyValueStore& store_;
    config::StoreLimits limits_;
    double nodes_;
    state::RequestLimiter limiter_;
    model::TimePoint last_success_{}, last_failure_{};
};

}  // namespace flintdale::simulator
