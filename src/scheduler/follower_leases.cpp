#include "scheduler/follower_leases.hpp"

#include "model/task.hpp"
#include "scheduler/job.hpp"
#include "scheduler/lease_rule.hpp"

namespace flintdale::scheduler {

namespace {
// Whoever was sent to a leader that does not answer is back by then: four seconds and one for each other controller.
constexpr std::chrono::seconds back_within{20};
constexpr model::Seconds drift{1};       // of clocks; the answer is decided when the report arrives
constexpr double kept_for = 3;           // times cancel_s that a cancellation is remembered
constexpr std::size_t max_orders = 300;  // of an answer, as from a leader
constexpr std::size_t max_machines = 100'000;
}  // namespace

void FollowerLeases::outcomes_read(const std::vector<state::KeyValue>& outcomes, model::TimePoint began) {
    fresh_ = began;
    for (const auto& item : outcomes)
        if (is_cancelled(item)) cancelled(item.key.substr(item.key.rfind('/') + 1), began);
    while (!cancelled_at_.empty() &&
           began - cancelled_at_.front().first > model::to_clock(settings_.cancel_deadline * kept_for)) {
        cancelled_.erase(cancelled_at_.front().second);
        cancelled_at_.pop_front();
    }
}

void FollowerLeases::cancelled(const std::string& uid, model::TimePoint now) {
    if (cancelled_.insert(uid).second) cancelled_at_.emplace_back(now, uid);
}

bool FollowerLeases::knows_enough(model::TimePoint now, model::TimePoint cancellations_known_until) const {
    return since_ && fresh_ - *since_ >= model::to_clock(settings_.cancel_deadline) &&
           may_answer(settings_, now, std::max(fresh_, cancellations_known_until), drift);
}

std::optional<std::vector<model::Command>> FollowerLeases::answer(const model::Heartbeat& report, model::TimePoint now,
                                                                  model::TimePoint cancellations_known_until) {
    if (sent_on_.size() > max_machines) sent_on_.clear();
    const auto [it, first] = sent_on_.try_emplace(report.machine, now);
    const bool back = !first && now - it->second < back_within;
    it->second = now;
    return back ? renew(report, now, cancellations_known_until) : std::nullopt;
}

std::optional<std::vector<model::Command>> FollowerLeases::renew(const model::Heartbeat& report, model::TimePoint now,
                                                                 model::TimePoint cancellations_known_until) const {
    if (!knows_enough(now, cancellations_known_until)) return std::nullopt;
    std::vector<model::Command> commands;
    for (const auto& t : report.tasks)
        if (t.status != model::TaskStatus::exited && cancelled_.contains(t.id.uid) && commands.size() < max_orders)
            commands.push_back({model::CommandType::kill, t.id, t.attempt, model::Seconds(0)});
    return commands;
}

}  // namespace flintdale::scheduler
