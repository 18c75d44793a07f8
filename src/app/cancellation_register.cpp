#include "app/cancellation_register.hpp"

#include <algorithm>

namespace flintdale::app {

using model::Clock;
using model::Seconds;

namespace {
// Share of the cancel deadline that is assumed to have passed since a cancellation whose time is not on record.
constexpr double assumed_elapsed_share = 0.5;
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
    const auto cancelled_ago = std::min(time_since_end(uid).value_or(Seconds(0)), settings_.cancel_deadline);
    fencer_.cancelled(uid, now - model::to_clock(cancelled_ago));
    return true;
}

model::TimePoint CancellationRegister::all_known_until(model::TimePoint read_at) const {
    return cancellations_.all_known_until(read_at, Clock::now());
}

Seconds CancellationRegister::time_since_cancellation(const std::string& uid) const {
    if (!is_cancelled_on_record(uid)) return Seconds(0);
    // Earlier versions did not record the time of a cancellation; it may be long ago.
    return time_since_end(uid).value_or(settings_.cancel_deadline * assumed_elapsed_share);
}

// A new leader may have too little time left to wait until a heartbeat is overdue, so the fencer probes the machines.
void CancellationRegister::outcome_found(const std::string& uid) {
    if (!is_cancelled_on_record(uid)) return;
    const auto elapsed = time_since_end(uid);
    if (elapsed && *elapsed < settings_.cancel_deadline)
        fencer_.cancelled(uid, Clock::now() - model::to_clock(*elapsed));
}

std::optional<Seconds> CancellationRegister::time_since_end(const std::string& uid) const {
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
