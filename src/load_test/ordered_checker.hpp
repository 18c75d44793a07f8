// The rules' checker over several processes: what they tell is checked in the order in which it happened, once nobody
// can tell of anything earlier any more.
#pragma once
#include <functional>

#include "model/clock.hpp"
#include "model/job.hpp"
#include "simulator/checker.hpp"

namespace flintdale::load_test {

class OrderedChecker {
  public:
    OrderedChecker(const config::Settings& settings, model::TimePoint start)
        : events_(1, start), checker_(events_, settings) {}

    using Step = std::function<void(simulator::Checker&)>;
    void at(model::TimePoint when, Step step) { waiting_.emplace(when, std::move(step)); }
    // All that happened up to then has been told.
    void settle(model::TimePoint until) {
        while (!waiting_.empty() && waiting_.begin()->first <= until) {
            events_.advance_to(waiting_.begin()->first);
            const auto step = std::move(waiting_.begin()->second);
            waiting_.erase(waiting_.begin());
            step(checker_);
        }
        events_.advance_to(until);
        if (until - looked_ < look_gap) return;
        looked_ = until;
        checker_.check_deadlines();
    }
    void submitted(const model::JobSpec& spec) { checker_.submitted(spec); }
    const simulator::Checker& checker() const { return checker_; }

  private:
    static constexpr std::chrono::milliseconds look_gap{500};
    simulator::Events events_;
    simulator::Checker checker_;
    std::multimap<model::TimePoint, Step> waiting_;
    model::TimePoint looked_{};
};

}  // namespace flintdale::load_test
