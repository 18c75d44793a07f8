// Collects the cancellations that this controller learns from users, records and peers. It notes each once and passes
// it to the fencer and to the leases that are renewed without a leader. A leader's term reads the cancellations from
// here.
#pragma once
#include <functional>
#include <optional>

#include "app/fencer.hpp"
#include "app/leader_term_environment.hpp"
#include "config/settings.hpp"
#include "peer/cancellations.hpp"
#include "recovery/recovery_coordinator.hpp"
#include "scheduler/follower_leases.hpp"

namespace flintdale::app {

class CancellationRegister : public CancellationKnowledge {
  public:
    CancellationRegister(const config::Settings& settings, peer::Cancellations& cancellations,
                         scheduler::FollowerLeases& follower_leases, Fencer& fencer,
                         const recovery::RecoveryCoordinator& recovery, std::function<std::int64_t()> time_of_day_ms);

    // The job is cancelled, by a record or a peer, or the cancellation is about to be acknowledged to a user. Returns
    // false if that was known already.
    bool note(const std::string& uid);

    model::TimePoint all_known_until(model::TimePoint read_at) const override;
    bool is_cancelled(const std::string& uid) const override { return cancellations_.knows(uid); }
    model::Seconds time_since_cancellation(const std::string& uid) const override;
    void outcome_found(const std::string& uid) override;

  private:
    // How long ago a job ended, by the time of day on record; nullopt if that is not known.
    std::optional<model::Seconds> time_since_end(const std::string& uid) const;
    bool is_cancelled_on_record(const std::string& uid) const;

    const config::Settings& settings_;
    peer::Cancellations& cancellations_;
    scheduler::FollowerLeases& follower_leases_;
    Fencer& fencer_;
    const recovery::RecoveryCoordinator& recovery_;
    std::function<std::int64_t()> time_of_day_ms_;
};

}  // namespace flintdale::app
