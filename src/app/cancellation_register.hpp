// Brings together what this controller learns of cancellations, from users, records and peers: it notes each once, and
// tells the leases of workers without a leader and the fencer. For a leader's term it answers what is known of them.
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

    // A user is about to be told that the job is cancelled, a record says so, or a peer. False if that was known.
    bool note(const std::string& uid);

    model::TimePoint all_known_until(model::TimePoint read_at) const override;
    bool is_cancelled(const std::string& uid) const override { return cancellations_.knows(uid); }
    model::Seconds cancelled_for(const std::string& uid) const override;
    void found_over(const std::string& uid) override;

  private:
    // For how long a job has been over, by the time of day on record; nothing if that is not known.
    std::optional<model::Seconds> over_for(const std::string& uid) const;
    bool is_cancelled_on_record(const std::string& uid) const;

    const config::Settings& settings_;
    peer::Cancellations& cancellations_;
    scheduler::FollowerLeases& follower_leases_;
    Fencer& fencer_;
    const recovery::RecoveryCoordinator& recovery_;
    std::function<std::int64_t()> time_of_day_ms_;
};

}  // namespace flintdale::app
