// How long something took, many times: a histogram with logarithmic bins that can be added up over processes.
#pragma once
#include <boost/histogram/axis/regular.hpp>
#include <cstdint>
#include <vector>

#include "model/clock.hpp"

namespace flintdale::load_test {

class Latencies {
  public:
    Latencies() : bins_(static_cast<std::size_t>(axis().size()) + 2) {}
    explicit Latencies(std::vector<std::uint64_t> bins) : bins_(std::move(bins)) {
        bins_.resize(Latencies().bins_.size());
    }

    void add(model::Seconds took) { ++bins_[static_cast<std::size_t>(axis().index(took.count())) + 1]; }
    void add(const Latencies& other) {
        for (std::size_t i = 0; i < bins_.size(); ++i) bins_[i] += other.bins_[i];
    }
    // What was added since that copy was made.
    Latencies since(const Latencies& before) const {
        auto out = *this;
        for (std::size_t i = 0; i < bins_.size(); ++i) out.bins_[i] -= before.bins_[i];
        return out;
    }
    std::uint64_t count() const;
    // The upper end of the bin that holds that share of all; 0 if there is nothing.
    model::Seconds quantile(double share) const;
    const std::vector<std::uint64_t>& bins() const { return bins_; }

  private:
    // 10 us to 100 s; neighbouring bins differ by 4%.
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    static const Axis& axis() {
        static const Axis made(411, 1e-5, 100.0);
        return made;
    }
    std::vector<std::uint64_t> bins_;  // below the range first, above it last
};

}  // namespace flintdale::load_test
