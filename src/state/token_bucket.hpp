// This controller's share of the store's request and write limits.
#pragma once
#include <algorithm>

#include "model/clock.hpp"
#include "state/store.hpp"

namespace flintdale::state {

// Two token buckets, for requests and for writes, which hold one second's worth each. Less urgent requests leave a
// reserve for more urgent ones. Pure: the caller tells the time.
class TokenBucket {
  public:
    using TimePoint = model::Clock::time_point;

    // Starts full.
    TokenBucket(double requests_per_s, double writes_per_s, TimePoint now) : last_refill_(now) {
        set_rates(requests_per_s, writes_per_s);
        requests_ = request_rate_;
        writes_ = write_rate_;
    }

    // How many writes users' requests may take beyond what is there, from the seconds to come.
    void set_borrowing(double writes) { borrowable_ = writes; }

    void set_rates(double requests_per_s, double writes_per_s) {
        request_rate_ = requests_per_s;
        write_rate_ = writes_per_s;
        requests_ = std::min(requests_, request_rate_);
        writes_ = std::min(writes_, write_rate_);
    }

    // Writes a second.
    double write_rate() const { return write_rate_; }

    // Takes one request with this number of writes and returns zero; or takes nothing and returns how long to wait
    // before the next try, from a millisecond to two seconds.
    std::chrono::duration<double> take(double writes, RequestPriority priority, TimePoint now) {
        refill(now);
        const double reserve = reserves[static_cast<std::size_t>(priority)];
        const double missing_requests = 1 + reserve * request_rate_ - requests_;
        const double missing_writes = writes > 0 ? required_writes(writes, priority, reserve) - writes_ : 0;
        if (missing_requests <= rounding && missing_writes <= rounding) {
            requests_ -= 1;
            writes_ -= writes;
            return std::chrono::duration<double>(0);
        }
        const double wait = std::max(missing_requests / request_rate_, missing_writes / write_rate_);
        return std::chrono::duration<double>(std::clamp(wait, 0.001, 2.0));
    }

  private:
    static constexpr double reserves[] = {0.0, 0.1, 0.3, 0.8};  // of a second's worth, by priority
    static constexpr double rounding = 1e-9;

    void refill(TimePoint now) {
        const double passed_s = std::chrono::duration<double>(now - last_refill_).count();
        last_refill_ = now;
        requests_ = std::min(request_rate_, requests_ + passed_s * request_rate_);
        writes_ = std::min(write_rate_, writes_ + passed_s * write_rate_);
    }

    // How many writes must be there. A transaction may hold more writes than a whole second's share: then the bucket
    // goes into debt. A user's write may borrow as well: submissions come in twos and threes, and a small share refills
    // slowly.
    double required_writes(double writes, RequestPriority priority, double reserve) const {
        if (priority == RequestPriority::user) return std::min(writes, write_rate_) - borrowable_;
        return std::min(writes + reserve * write_rate_, write_rate_);
    }

    TimePoint last_refill_;
    double request_rate_ = 1, write_rate_ = 1;  // a second
    double requests_ = 0, writes_ = 0;          // that may be taken now; writes below 0: debt
    double borrowable_ = 0;
};

}  // namespace flintdale::state
