#include "app/planning_loop.hpp"

#include <spdlog/spdlog.h>

namespace flintdale::app {

using namespace std::chrono_literals;
using model::Clock;

namespace {
constexpr auto minimum_interval = 200ms;
constexpr auto placement_interval = 500ms;  // placement windows may close without any change
constexpr auto relocation_interval = 1s;
constexpr auto summary_interval = 10s;
}  // namespace

awaitable<void> PlanningLoop::run() {
    next_placement_ = next_relocation_ = next_summary_ = Clock::now();
    while (!context_.stopped) {
        co_await context_.planning_wakeup.wait(placement_interval);
        if (context_.stopped) break;
        const auto now = context_.now_checking_for_pause();
        if (context_.loaded) {
            place_if_due(now);
            relocate_if_due(now);
        }
        log_summary_if_due(now);
        co_await net::sleep_for(minimum_interval);
    }
}

void PlanningLoop::place_if_due(TermContext::TimePoint now) {
    if (!context_.planning_requested && now < next_placement_) return;
    context_.planning_requested = false;
    if (now >= next_placement_) next_placement_ = now + placement_interval;
    if (context_.scheduler.place(now)) context_.commit_wakeup.notify();
    if (context_.scheduler.dirty()) context_.commit_wakeup.notify();
}

void PlanningLoop::relocate_if_due(TermContext::TimePoint now) {
    if (now < next_relocation_) return;
    next_relocation_ = now + relocation_interval;
    context_.scheduler.relocate(now);
    if (context_.scheduler.dirty()) context_.commit_wakeup.notify();
}

void PlanningLoop::log_summary_if_due(TermContext::TimePoint now) {
    if (now < next_summary_ || !spdlog::should_log(spdlog::level::debug)) return;
    next_summary_ = now + summary_interval;
    spdlog::debug("event=load {}", context_.scheduler.summary(now));
}

}  // namespace flintdale::app
