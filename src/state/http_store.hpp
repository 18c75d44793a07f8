#pragma once
#include "config/settings.hpp"
#include "net/http_client.hpp"
#include "state/budget.hpp"
#include "state/store.hpp"

namespace flintdale::state {

class HttpStore : public Store {
  public:
    HttpStore(net::Executor ex, const config::Settings& settings);

    // The leader does most of the writing; the shares of all controllers together stay within the limits.
    void set_leading(bool leading);

    // Whether the service answered this controller lately; for /ready and for the peers.
    bool healthy(std::chrono::steady_clock::time_point now) const;

    awaitable<GetResult> get(std::string key, Urgency urgency) override;
    awaitable<RangeResult> range(std::string prefix, std::string after, Urgency urgency) override;
    awaitable<TxnResult> commit(Txn txn, Urgency urgency) override;
    awaitable<FollowResult> follow(std::string prefix, std::uint64_t from, std::chrono::milliseconds hold) override;
    awaitable<LeaseResult> grant(std::chrono::milliseconds life) override;
    awaitable<Outcome> renew(std::uint64_t lease) override;
    awaitable<void> revoke(std::uint64_t lease) override;

  private:
    awaitable<net::HttpAnswer> call(net::http::verb verb, std::string target, std::string body, double writes,
                                    Urgency urgency, std::chrono::steady_clock::duration limit);

    double rps_, write_rps_;
    std::size_t nodes_;
    net::HttpClient http_, watches_;
    Budget budget_;
    std::chrono::steady_clock::time_point last_good_, last_bad_;
};

}  // namespace flintdale::state
