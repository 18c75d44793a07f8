// HTTP client of the store. It keeps to this controller's share of the store's published request limits.
#pragma once
#include "config/settings.hpp"
#include "model/clock.hpp"
#include "net/http_client.hpp"
#include "state/record_format.hpp"
#include "state/request_limiter.hpp"
#include "state/store.hpp"

namespace flintdale::state {

// See Store for the operations. An answer that violates the protocol counts as no answer (`unknown`).
class HttpStore : public RateLimitedStore {
  public:
    // `record_format` is notified when a rejection shows that the store's limits were lowered; it must outlive this.
    HttpStore(net::Executor ex, const config::Settings& settings, RecordFormat& record_format);

    // The shares of all controllers add up to at most the limits. The leader gets the largest share. A part of the
    // write limit is divided by recent demand, so that a burst of submissions at one controller can use what the other
    // controllers leave unused.
    void set_leading(bool leading) override;
    double take_write_demand() override { return limiter_.take_demand(); }
    void set_write_demand(double own, double all) override;

    // True if the last request was answered, and for two seconds after the last answer. No answer and status 503 count
    // as failures.
    bool healthy(model::TimePoint now) const override;

    awaitable<GetResult> get(std::string key, RequestPriority priority) override;
    awaitable<RangeResult> range(std::string prefix, std::string after, RequestPriority priority) override;
    awaitable<TxnResult> commit(Txn txn, RequestPriority priority) override;
    awaitable<WatchResult> watch(std::string prefix, std::uint64_t from, std::chrono::milliseconds hold) override;
    awaitable<LeaseResult> grant(std::chrono::milliseconds ttl) override;
    awaitable<Outcome> renew(std::uint64_t lease) override;
    awaitable<void> revoke(std::uint64_t lease) override;
    std::size_t preferred_batch_size() const override { return limiter_.preferred_batch_size(); }
    std::chrono::duration<double> write_wait() const override { return limiter_.write_wait(); }

  private:
    void set_rates();
    // The size in bytes of the largest value; 0 once the newest format is in use, where it is not needed.
    std::size_t largest_value(const Txn& txn) const;
    void transaction_rejected(const Txn& txn, std::size_t largest_value, const std::string& answer);
    // Waits for the rate limiter and sends the request. `writes`: number of changes; 0 for reads. Status 503 if the
    // connection failed: the request was not sent, so it cannot have taken effect.
    awaitable<net::HttpAnswer> call(net::http::verb verb, std::string target, std::string body, double writes,
                                    RequestPriority priority, model::Clock::duration timeout);

    RecordFormat& record_format_;
    std::size_t controllers_;
    net::HttpClient http_, watches_;
    RequestLimiter limiter_;
    bool leading_ = false;
    double demand_share_ = 0;  // this controller's share of the demand-driven writes, from 0 to 1
    model::Clock::time_point last_answer_, last_failure_;
};

}  // namespace flintdale::state
