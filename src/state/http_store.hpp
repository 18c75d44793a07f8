#pragma once
#include "config/settings.hpp"
#include "model/clock.hpp"
#include "net/http_client.hpp"
#include "state/record_format.hpp"
#include "state/request_limiter.hpp"
#include "state/store.hpp"

namespace flintdale::state {

class HttpStore : public Service {
  public:
    // `form` is told when the service shows that its limits have changed.
    HttpStore(net::Executor ex, const config::Settings& settings, RecordFormat& record_format);

    // The shares of all controllers together stay within the limits. The leader does most of the work; of the writes
    // a part follows what each has lately asked for, so that a crowd of submissions at one of them need not wait for
    // what the others leave unused.
    void set_leading(bool leading) override;
    double take_write_demand() override { return limiter_.take_demand(); }
    void set_write_demand(double own, double all) override;

    // Whether the service answered this controller lately; for /ready and for the peers.
    bool healthy(model::TimePoint now) const override;

    awaitable<GetResult> get(std::string key, RequestPriority priority) override;
    awaitable<RangeResult> range(std::string prefix, std::string after, RequestPriority priority) override;
    awaitable<TxnResult> commit(Txn txn, RequestPriority priority) override;
    awaitable<WatchResult> watch(std::string prefix, std::uint64_t from, std::chrono::milliseconds hold) override;
    awaitable<LeaseResult> grant(std::chrono::milliseconds ttl) override;
    awaitable<Outcome> renew(std::uint64_t lease) override;
    awaitable<void> revoke(std::uint64_t lease) override;
    std::size_t write_portion() const override { return limiter_.write_portion(); }
    std::chrono::duration<double> write_wait() const override { return limiter_.write_wait(); }

  private:
    void set_rates();
    awaitable<net::HttpAnswer> call(net::http::verb verb, std::string target, std::string body, double writes,
                                    RequestPriority priority, model::Clock::duration limit);

    RecordFormat& record_format_;
    std::size_t nodes_;
    net::HttpClient http_, watches_;
    RequestLimiter limiter_;
    bool leading_ = false;
    double demand_share_ = 0;  // of the writes that are shared by demand
    model::Clock::time_point last_good_, last_bad_;
};

}  // namespace flintdale::state
