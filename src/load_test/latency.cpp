#include "load_test/latency.hpp"

#include <numeric>

namespace flintdale::load_test {

std::uint64_t Latencies::count() const { return std::accumulate(bins_.begin(), bins_.end(), std::uint64_t{0}); }

model::Seconds Latencies::quantile(double share) const {
    const auto wanted = static_cast<double>(count()) * share;
    if (wanted <= 0) return model::Seconds(0);
    double seen = 0;
    for (std::size_t i = 0; i < bins_.size(); ++i) {
        seen += static_cast<double>(bins_[i]);
        const auto bin = std::min(static_cast<int>(i), axis().size());
        if (seen >= wanted) return model::Seconds(axis().value(bin));
    }
    return model::Seconds(axis().value(axis().size()));
}

}  // namespace flintdale::load_test
