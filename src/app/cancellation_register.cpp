#include "app/cancellation_register.hpp"

#include <algorithm>

namespace flintdale::app {

using model::Clock;
using model::Seconds;

namespace {
// Of the cancel deadline: for how long a job is taken to have been cancelled if its record does not say.
constexpr double assumed_share = 0.5;
}  // namespace

CancellationRegister::CancellationRegister(const config::Settings& settings, peer::Cancellations& cancellations,
                                           scheduler::FollowerLeases& follower_leases, Fencer& fencer,
                                           const recovery::RecoveryCoordinator& recovery,
                                           std::function<std::int64_t()> time_of_day_ms)
    : settings_(settings),
      cancellations_(cancellations),
      follower_leases_(follower_leases),
      fencer_(fencer),
      recovery_(recovery),
      time_of_day_ms_(std::move(time_of_day_ms)) {}

bool CancellationRegister::note(const std::string& uid) {
    const auto now = Clock::now();
    if (!cancellations_.note(uid, now)) return false;
    follower_leases_.cancelled(uid, now);
    const auto cancelled_ago = std::min(over_for(uid).value_or(Seconds(0)), settings_.cancel_deadline);
    fencer_.cancelled(uid, now - model::to_clock(cancelled_ago));
    return true;
}

model::TimePoint CancellationRegister::all_known_until(model::TimePoint read_at) const {
    return cancellations_.all_known_until(read_at, Clock::now());
}

Seconds CancellationRegister::cancelled_for(const std::string& uid) const {
    if (!is_cancelled_on_record(uid)) return Seconds(0);
    // Earlier versions did not record when: it may be long ago.
    return over_for(uid).value_or(settings_.cancel_deadline * assumed_share);
}

// A leader that came late may have no time left to wait until a heartbeat is overdue, so the fencer asks the machines.
void CancellationRegister::found_over(const std::string& uid) {
    if (!is_cancelled_on_record(uid)) return;
    const auto ago = over_for(uid);
    if (ago && *ago < settings_.cancel_deadline) fencer_.cancelled(uid, Clock::now() - model::to_clock(*ago));
}

std::optional<Seconds> CancellationRegister::over_for(const std::string& uid) const {
    const auto since = recovery_.replica().over_since_ms(uid);
    if (!since) return std::nullopt;
    const std::chrono::milliseconds elapsed(time_of_day_ms_() - *since);
    return std::max(Seconds(0), Seconds(elapsed));
}

bool CancellationRegister::is_cancelled_on_record(const std::string& uid) const {
    const auto outcome = recovery_.outcome_of(uid);
    return outcome && outcome->state == model::JobState::cancelled;
}

}  // namespace flintdale::app
