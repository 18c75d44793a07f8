// An in-memory implementation of Store, with leases and failures on demand.
#pragma once
#include "model/clock.hpp"
#include "support/scheduler_harness.hpp"

namespace flintdale::test {

class FakeStore : public state::Store {
  public:
    InMemoryStore keys;
    bool refuse = false;          // requests are refused, as in an outage
    int lost_commit_answers = 0;  // number of next transactions that are carried out, but whose answers are lost
    int hanging_commits = 0;      // number of next transactions that are carried out, but whose answers never arrive
    std::string refused_prefix;   // changes of keys with this prefix are refused, as by a limit on writes
    int commits = 0, gets = 0;
    std::optional<state::WatchResult> next_watch_result;  // the result of the next watch
    bool empty_watches = false;                           // watches succeed and report no changes
    std::chrono::duration<double> write_wait_time{0};

    net::awaitable<state::GetResult> get(std::string key, state::RequestPriority) override {
        ++gets;
        state::GetResult r;
        r.outcome = refuse ? state::Outcome::refused : state::Outcome::ok;
        if (!refuse) r.item = keys.get(key);
        co_return r;
    }
    net::awaitable<state::RangeResult> range(std::string prefix, std::string, state::RequestPriority) override {
        state::RangeResult r;
        r.outcome = refuse ? state::Outcome::refused : state::Outcome::ok;
        if (!refuse) r.items = keys.range(prefix);
        r.revision = keys.revision();
        co_return r;
    }
    net::awaitable<state::TxnResult> commit(state::Txn txn, state::RequestPriority) override {
        ++commits;
        auto ex = co_await net::asio::this_coro::executor;
        co_await net::asio::post(ex, net::asio::use_awaitable);  // other requests may be answered before this one
        state::TxnResult r;
        r.outcome = state::Outcome::refused;
        if (refuse) co_return r;
        if (!refused_prefix.empty())
            for (const auto& c : txn.changes)
                if (c.key.starts_with(refused_prefix)) co_return r;
        r = keys.commit(txn);
        if (hanging_commits > 0) {
            --hanging_commits;
            net::Timer never(ex);
            never.expires_at(model::TimePoint::max());
            auto [ec] = co_await never.async_wait(net::use_nothrow_awaitable);
            (void)ec;
        }
        if (lost_commit_answers > 0) {
            --lost_commit_answers;
            r = state::TxnResult{};
        }
        co_return r;
    }
    net::awaitable<state::WatchResult> watch(std::string, std::uint64_t, std::chrono::milliseconds) override {
        state::WatchResult r;
        r.outcome = state::Outcome::refused;
        if (next_watch_result) r = *std::exchange(next_watch_result, std::nullopt);
        if (empty_watches && !refuse) r = {state::Outcome::ok, {}, {}, keys.revision()};
        co_return r;
    }
    net::awaitable<state::LeaseResult> grant(std::chrono::milliseconds) override {
        state::LeaseResult r;
        r.outcome = refuse ? state::Outcome::refused : state::Outcome::ok;
        r.lease = ++leases_;
        co_return r;
    }
    net::awaitable<state::Outcome> renew(std::uint64_t) override { co_return state::Outcome::ok; }
    net::awaitable<void> revoke(std::uint64_t lease) override {
        const auto holder = keys.get(election::holder_key);
        if (!holder.mod_revision || holder.value.as_object().at("lease").to_number<std::uint64_t>() != lease) co_return;
        state::Txn txn;
        txn.changes.push_back({election::holder_key, std::nullopt, 0});
        keys.commit(txn);
    }
    std::chrono::duration<double> write_wait() const override { return write_wait_time; }

  private:
    std::uint64_t leases_ = 0;
};

}  // namespace flintdale::test
