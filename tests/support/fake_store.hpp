// The state service as a Store for coroutines: the same keys as in world.hpp, with leases and failures on demand.
#pragma once
#include "model/clock.hpp"
#include "support/scheduler_harness.hpp"

namespace flintdale::test {

class FakeStore : public state::Store {
  public:
    Keys keys;
    bool refuse = false;         // an outage, or a refusal of this controller alone
    int lose_answers = 0;        // so many transactions are carried out, but their answers are lost
    int stall = 0;               // so many transactions are carried out, and their answers never come
    std::string refuse_changes;  // with this prefix, as under a limit on writes
    int commits = 0, gets = 0;
    std::optional<state::WatchResult> tell;  // what the next watch is told
    bool quiet_watches = false;              // watches tell that nothing has changed
    std::chrono::duration<double> wait_for_writes{0};

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
        co_await net::asio::post(ex, net::asio::use_awaitable);  // an answer takes a while; others come meanwhile
        state::TxnResult r;
        r.outcome = state::Outcome::refused;
        if (refuse) co_return r;
        if (!refuse_changes.empty())
            for (const auto& c : txn.changes)
                if (c.key.starts_with(refuse_changes)) co_return r;
        r = keys.commit(txn);
        if (stall > 0) {
            --stall;
            net::Timer never(ex);
            never.expires_at(model::TimePoint::max());
            auto [ec] = co_await never.async_wait(net::quietly);
            (void)ec;
        }
        if (lose_answers > 0) {
            --lose_answers;
            r = state::TxnResult{};
        }
        co_return r;
    }
    net::awaitable<state::WatchResult> watch(std::string, std::uint64_t, std::chrono::milliseconds) override {
        state::WatchResult r;
        r.outcome = state::Outcome::refused;
        if (tell) r = *std::exchange(tell, std::nullopt);
        if (quiet_watches && !refuse) r = {state::Outcome::ok, {}, {}, keys.revision()};
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
    std::chrono::duration<double> write_wait() const override { return wait_for_writes; }

  private:
    std::uint64_t leases_ = 0;
};

}  // namespace flintdale::test
