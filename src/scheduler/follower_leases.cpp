#include "scheduler/follower_leases.hpp"

#include "model/task.hpp"
#include "scheduler/job.hpp"
#include "scheduler/lease_rule.hpp"

namespace flintdale::scheduler {

namespace {
// A worker that is redirected to an unresponsive leader returns within this time: four seconds for the leader, and one
// for each other controller.
constexpr std::chrono::seconds redirect_return_time{20};
constexpr model::Seconds clock_margin{1};         // margin for clocks; the answer is decided when the heartbeat arrives
constexpr double cancellation_expiry_factor = 3;  // multiples of cancel_s for which a cancellation is remembered
constexpr std::size_t max_kill_commands = 300;    // in one answer; the same limit as for leaders
constexpr std::size_t max_machines = 100'000;     // whose last heartbeat is remembered
}  // namespace

void FollowerLeases::outcomes_read(const std::vector<state::KeyValue>& outcomes, model::TimePoint began) {
    last_read_at_ = began;
    for (const auto& item : outcomes)
        if (is_cancelled(item)) cancelled(item.key.substr(item.key.rfind('/') + 1), began);
    while (!cancelled_at_.empty() && began - cancelled_at_.front().first >
                                         model::to_clock(settings_.cancel_deadline * cancellation_expiry_factor)) {
        cancelled_.erase(cancelled_at_.front().second);
        cancelled_at_.pop_front();
    }
}

void FollowerLeases::cancelled(const std::string& uid, model::TimePoint now) {
    if (cancelled_.insert(uid).second) cancelled_at_.emplace_back(now, uid);
}

bool FollowerLeases::may_renew(model::TimePoint now, model::TimePoint cancellations_known_until) const {
    return watched_since_ && last_read_at_ - *watched_since_ >= model::to_clock(settings_.cancel_deadline) &&
           may_answer(settings_, now, std::max(last_read_at_, cancellations_known_until), clock_margin);
}

std::optional<std::vector<model::Command>> FollowerLeases::answer(const model::Heartbeat& heartbeat,
                                                                  model::TimePoint now,
                                                                  model::TimePoint cancellations_known_until) {
    if (last_heartbeats_.size() > max_machines) last_heartbeats_.clear();
    const auto [it, first] = last_heartbeats_.try_emplace(heartbeat.machine, now);
    const bool returned = !first && now - it->second < redirect_return_time;
    it->second = now;
    return returned ? renew(heartbeat, now, cancellations_known_until) : std::nullopt;
}

std::optional<std::vector<model::Command>> FollowerLeases::renew(const model::Heartbeat& heartbeat,
                                                                 model::TimePoint now,
                                                                 model::TimePoint cancellations_known_until) const {
    if (!may_renew(now, cancellations_known_until)) return std::nullopt;
    std::vector<model::Command> commands;
    for (const auto& t : heartbeat.tasks)
        if (t.status != model::TaskStatus::exited && cancelled_.contains(t.id.uid) &&
            commands.size() < max_kill_commands)
            commands.push_back({model::CommandType::kill, t.id, t.attempt, model::Seconds(0)});
    return commands;
}

}  // namespace flintdale::scheduler
