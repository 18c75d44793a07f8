// Renews the leases of workers that reach this controller but no leader, because their zone is cut off, or because the
// store is unreachable and the leader has ended. It never starts a task; it only stops cancelled ones.
//
// This is safe because a renewed lease places no task, and elapsed time is never used as evidence that a task is gone.
// Only cancelled work has a time limit, for which the leader's rule in lease_rule.hpp applies. The known cancellations
// are as recent as the start of the last complete read of the outcomes. This controller must also have watched them
// without a gap for the cancel deadline, so that work cancelled earlier is gone.
#pragma once
#include <deque>
#include <optional>
#include <unordered_map>
#include <unordered_set>

#include "config/settings.hpp"
#include "model/clock.hpp"
#include "model/command.hpp"
#include "model/heartbeat.hpp"
#include "state/store.hpp"

namespace flintdale::scheduler {

class FollowerLeases {
  public:
    explicit FollowerLeases(const config::Settings& settings) : settings_(settings) {}

    // A read of the outcomes that started at `began` returned all changes since the previous read.
    void outcomes_read(const std::vector<state::KeyValue>& outcomes, model::TimePoint began);
    // Changes before `now` may have been missed.
    void watch_interrupted(model::TimePoint now) { watched_since_ = now; }
    // All outcomes on record have been passed to outcomes_read().
    void watch_complete(model::TimePoint now) { watched_since_ = now - model::to_clock(settings_.cancel_deadline); }

    // A peer reports that the job is cancelled. `cancellations_known_until` below covers how complete these reports
    // are.
    void cancelled(const std::string& uid, model::TimePoint now);
    // When the last read of the outcomes started.
    model::TimePoint last_read_at() const { return last_read_at_; }

    // The commands for a worker that no leader answers, or nothing if the worker must be redirected. Its first
    // heartbeat is always redirected, because the worker may be able to reach the leader; later ones are while too
    // little is known of cancellations. `cancellations_known_until`: every cancellation acknowledged before then is
    // known here, even if the reads have not returned it.
    std::optional<std::vector<model::Command>> answer(const model::Heartbeat& heartbeat, model::TimePoint now,
                                                      model::TimePoint cancellations_known_until = {});

    // The same for a leader that is still rebuilding the records and knows no controller to redirect the worker to.
    std::optional<std::vector<model::Command>> renew(const model::Heartbeat& heartbeat, model::TimePoint now,
                                                     model::TimePoint cancellations_known_until = {}) const;

  private:
    bool may_renew(model::TimePoint now, model::TimePoint cancellations_known_until) const;

    const config::Settings& settings_;
    std::optional<model::TimePoint> watched_since_;  // start of the watch without a gap
    model::TimePoint last_read_at_{};                // start of the last read
    std::unordered_set<std::string> cancelled_;
    std::deque<std::pair<model::TimePoint, std::string>> cancelled_at_;  // in the order of time, for their expiry
    std::unordered_map<std::string, model::TimePoint> last_heartbeats_;  // last heartbeat of each machine
};

}  // namespace flintdale::scheduler
