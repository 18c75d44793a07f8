// This controller's share of the state service's request and write limits.
#pragma once
#include <algorithm>

#include "model/clock.hpp"
#include "state/store.hpp"

namespace flintdale::state {

// Two token buckets of one second's worth. Less urgent callers leave a reserve for the more urgent ones.
class TokenBucket {
  public:
    using TimePoint = model::Clock::time_point;

    TokenBucket(double requests_per_s, double writes_per_s, TimePoint now) : last_(now) {
        set_rates(requests_per_s, writes_per_s);
        requests_ = request_rate_;
        writes_ = write_rate_;
    }

    // So many writes may users' requests borrow from the seconds to come.
    void set_borrowing(double writes) { borrowed_ = writes; }

    void set_rates(double requests_per_s, double writes_per_s) {
        request_rate_ = requests_per_s;
        write_rate_ = writes_per_s;
        requests_ = std::min(requests_, request_rate_);
        writes_ = std::min(writes_, write_rate_);
    }

    double write_rate() const { return write_rate_; }

    // Takes and returns zero, or returns how long to wait before asking again.
    std::chrono::duration<double> take(double writes, RequestPriority priority, TimePoint now) {
        const double passed = std::chrono::duration<double>(now - last_).count();
        last_ = now;
        requests_ = std::min(request_rate_, requests_ + passed * request_rate_);
        writes_ = std::min(write_rate_, writes_ + passed * write_rate_);
        constexpr double reserve[] = {0.0, 0.1, 0.3, 0.8};  // of a second's worth, by urgency
        const double kept = reserve[static_cast<std::size_t>(priority)];
        // A transaction may hold more writes than a whole second's share: let it run the bucket into debt. A user's
        // write may borrow as well: submissions come in twos and threes, and a small share refills slowly.
        const double want = priority == RequestPriority::user ? std::min(writes, write_rate_) - borrowed_
                                                              : std::min(writes + kept * write_rate_, write_rate_);
        const double short_requests = 1 + kept * request_rate_ - requests_;
        const double short_writes = writes > 0 ? want - writes_ : 0;
        if (short_requests <= 1e-9 && short_writes <= 1e-9) {
            requests_ -= 1;
            writes_ -= writes;
            return std::chrono::duration<double>(0);
        }
        const double wait = std::max(short_requests / request_rate_, short_writes / write_rate_);
        return std::chrono::duration<double>(std::clamp(wait, 0.001, 2.0));
    }

  private:
    TimePoint last_;
    double request_rate_ = 1, write_rate_ = 1, requests_ = 0, writes_ = 0, borrowed_ = 0;
};

}  // namespace flintdale::state
