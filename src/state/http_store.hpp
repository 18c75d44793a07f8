// The store over HTTP, within this controller's share of the published request limits.
#pragma once
#include "config/settings.hpp"
#include "model/clock.hpp"
#include "net/http_client.hpp"
#include "state/record_format.hpp"
#include "state/request_limiter.hpp"
#include "state/store.hpp"

namespace flintdale::state {

// See Store for the operations. An answer that the protocol does not allow counts as no answer.
class HttpStore : public RateLimitedStore {
  public:
    // `record_format` is informed when the store shows that its limits have changed; it must outlive the store.
    HttpStore(net::Executor ex, const config::Settings& settings, RecordFormat& record_format);

    // The shares of all controllers together stay within the limits. The leader does most of the work; of the writes
    // a part follows what each has lately asked for, so that a crowd of submissions at one of them need not wait for
    // what the others leave unused.
    void set_leading(bool leading) override;
    double take_write_demand() override { return limiter_.take_demand(); }
    void set_write_demand(double own, double all) override;

    // True while the last answer was a usable one, and for two seconds after such an answer.
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
    // The size in bytes of the largest value, which only matters while the format is not the newest; otherwise 0.
    std::size_t largest_value(const Txn& txn) const;
    void transaction_rejected(const Txn& txn, std::size_t largest_value, const std::string& answer);
    // Waits for its turn and sends the request. `writes`: number of changes; 0 for reads. Status 503 if no connection
    // came about, for then nothing can have been carried out.
    awaitable<net::HttpAnswer> call(net::http::verb verb, std::string target, std::string body, double writes,
                                    RequestPriority priority, model::Clock::duration limit);

    RecordFormat& record_format_;
    std::size_t controllers_;
    net::HttpClient http_, watches_;
    RequestLimiter limiter_;
    bool leading_ = false;
    double demand_share_ = 0;  // of the writes that are shared by demand, from 0 to 1
    model::Clock::time_point last_answer_, last_failure_;
};

}  // namespace flintdale::state
