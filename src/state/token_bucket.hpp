// Token buckets for this controller's share of the store's request and write limits.
#pragma once
#include <algorithm>

#include "model/clock.hpp"
#include "state/store.hpp"

namespace flintdale::state {

// Two token buckets, for requests and for writes, each with a capacity of one second's rate. Requests of lower priority
// leave a reserve for higher ones. Reads no clock: the caller passes the time.
class TokenBucket {
  public:
    using TimePoint = model::Clock::time_point;

    // Starts full.
    TokenBucket(double requests_per_s, double writes_per_s, TimePoint now) : last_refill_(now) {
        set_rates(requests_per_s, writes_per_s);
        requests_ = request_rate_;
        writes_ = write_rate_;
    }

    // The number of writes by which user requests may overdraw the bucket.
    void set_borrowing(double writes) { borrowable_ = writes; }

    void set_rates(double requests_per_s, double writes_per_s) {
        request_rate_ = requests_per_s;
        write_rate_ = writes_per_s;
        requests_ = std::min(requests_, request_rate_);
        writes_ = std::min(writes_, write_rate_);
    }

    // Writes a second.
    double write_rate() const { return write_rate_; }

    // Takes one request with this number of writes and returns zero, or takes nothing and returns the wait before the
    // next attempt, between one millisecond and two seconds.
    std::chrono::duration<double> take(double writes, RequestPriority priority, TimePoint now) {
        refill(now);
        const double reserve = reserves[static_cast<std::size_t>(priority)];
        const double missing_requests = 1 + reserve * request_rate_ - requests_;
        const double missing_writes = writes > 0 ? required_writes(writes, priority, reserve) - writes_ : 0;
        if (missing_requests <= rounding_tolerance && missing_writes <= rounding_tolerance) {
            requests_ -= 1;
            writes_ -= writes;
            return std::chrono::duration<double>(0);
        }
        const double wait = std::max(missing_requests / request_rate_, missing_writes / write_rate_);
        return std::chrono::duration<double>(std::clamp(wait, 0.001, 2.0));
    }

  private:
    static constexpr double reserves[] = {0.0, 0.1, 0.3, 0.8};  // fraction of the capacity, by RequestPriority
    static constexpr double rounding_tolerance = 1e-9;          // tolerance for floating-point errors, in tokens

    void refill(TimePoint now) {
        const double passed_s = std::chrono::duration<double>(now - last_refill_).count();
        last_refill_ = now;
        requests_ = std::min(request_rate_, requests_ + passed_s * request_rate_);
        writes_ = std::min(write_rate_, writes_ + passed_s * write_rate_);
    }

    // The number of write tokens that must be available. A transaction may contain more writes than the bucket's
    // capacity; the bucket then goes into debt. User requests may also borrow, because submissions arrive in bursts of
    // two or three and a small share refills slowly.
    double required_writes(double writes, RequestPriority priority, double reserve) const {
        if (priority == RequestPriority::user) return std::min(writes, write_rate_) - borrowable_;
        return std::min(writes + reserve * write_rate_, write_rate_);
    }

    TimePoint last_refill_;
    double request_rate_ = 1, write_rate_ = 1;  // per second
    double requests_ = 0, writes_ = 0;          // available tokens; negative writes are debt
    double borrowable_ = 0;
};

}  // namespace flintdale::state
