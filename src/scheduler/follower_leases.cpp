#include "scheduler/follower_leases.hpp"

#include "scheduler/job.hpp"
#include "scheduler/lease_rule.hpp"

namespace flintdale::scheduler {

namespace {
// Whoever was sent to a leader that does not answer is back by then: four seconds and one for each other controller.
constexpr std::chrono::seconds back_within{20};
constexpr wire::Seconds drift{1};        // of clocks; the answer is decided when the report arrives
constexpr double kept_for = 3;           // times cancel_s that a cancellation is remembered
constexpr std::size_t max_orders = 300;  // of an answer, as from a leader
constexpr std::size_t max_machines = 100'000;
}  // namespace

void FollowerLeases::watched(const std::vector<state::Item>& outcomes, wire::TimePoint began) {
    fresh_ = began;
    for (const auto& item : outcomes)
        if (is_cancelled(item)) cancelled(item.key.substr(item.key.rfind('/') + 1), began);
    while (!cancelled_at_.empty() &&
           began - cancelled_at_.front().first > wire::to_clock(settings_.cancel * kept_for)) {
        cancelled_.erase(cancelled_at_.front().second);
        cancelled_at_.pop_front();
    }
}

void FollowerLeases::cancelled(const std::string& uid, wire::TimePoint now) {
    if (cancelled_.insert(uid).second) cancelled_at_.emplace_back(now, uid);
}

bool FollowerLeases::knows_enough(wire::TimePoint now, wire::TimePoint told_until) const {
    return since_ && fresh_ - *since_ >= wire::to_clock(settings_.cancel) &&
           may_answer(settings_, now, std::max(fresh_, told_until), drift);
}

std::optional<std::vector<wire::Order>> FollowerLeases::answer(const wire::WorkerReport& report, wire::TimePoint now,
                                                               wire::TimePoint told_until) {
    if (sent_on_.size() > max_machines) sent_on_.clear();
    const auto [it, first] = sent_on_.try_emplace(report.machine, now);
    const bool back = !first && now - it->second < back_within;
    it->second = now;
    return back ? keep(report, now, told_until) : std::nullopt;
}

std::optional<std::vector<wire::Order>> FollowerLeases::keep(const wire::WorkerReport& report, wire::TimePoint now,
                                                             wire::TimePoint told_until) const {
    if (!knows_enough(now, told_until)) return std::nullopt;
    std::vector<wire::Order> orders;
    for (const auto& t : report.tasks)
        if (t.status != wire::TaskStatus::exited && cancelled_.contains(t.id.uid) && orders.size() < max_orders)
            orders.push_back({wire::Verb::kill, t.id, t.attempt, wire::Seconds(0)});
    return orders;
}

}  // namespace flintdale::scheduler
