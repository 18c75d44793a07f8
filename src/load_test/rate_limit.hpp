// A limit on calls a second that allows bursts of so many seconds' worth.
#pragma once
#include <algorithm>

#include "model/clock.hpp"

namespace flintdale::load_test {

class RateLimit {
  public:
    RateLimit(double a_second, double burst_s, model::TimePoint now)
        : rate_(a_second), most_(a_second * burst_s), left_(most_), last_(now) {}
    // False if that is over the limit; then nothing is taken.
    bool take(double amount, model::TimePoint now) {
        left_ = std::min(most_, left_ + model::Seconds(now - last_).count() * rate_);
        last_ = now;
        if (left_ < amount) return false;
        left_ -= amount;
        return true;
    }

  private:
    double rate_, most_, left_;
    model::TimePoint last_;
};

}  // namespace flintdale::load_test
