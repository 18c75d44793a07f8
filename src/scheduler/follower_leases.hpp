// Renews the leases of workers that reach this controller and no leader: of a zone that is cut off, or while the store
// is unreachable and the leader has ended. It starts no task and loses none: it only stops what was cancelled.
//
// Why that is safe: a renewed lease places no task, and nobody takes time for evidence that a task is gone. What time
// does bound is cancelled work, and there this controller is bound by the leader's own rule (lease_rule.hpp): what it
// knows of cancellations is as recent as the start of its last complete read of the outcomes, and it must have watched
// without a gap for the cancel deadline, so that whatever was cancelled before has gone.
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

    // A read of the outcomes that began then showed these changes since the one before, and no others were missed.
    void outcomes_read(const std::vector<state::KeyValue>& outcomes, model::TimePoint began);
    // Changes before then may have been missed.
    void watch_interrupted(model::TimePoint now) { since_ = now; }
    // Every outcome on record was among those passed to outcomes_read().
    void watch_complete(model::TimePoint now) { since_ = now - model::to_clock(settings_.cancel_deadline); }

    // A peer reports that the job is cancelled; cancellations_known_until says what else that covers.
    void cancelled(const std::string& uid, model::TimePoint now);
    // When the last read of the outcomes began.
    model::TimePoint last_read_at() const { return fresh_; }

    // Commands for a worker that no leader answers, or nothing if it must be redirected: the first time to the leader,
    // for it may reach that one; always, while what is known is not enough. `cancellations_known_until`: every
    // cancellation acknowledged before then is known here, beyond what the reads have shown.
    std::optional<std::vector<model::Command>> answer(const model::Heartbeat& report, model::TimePoint now,
                                                      model::TimePoint cancellations_known_until = {});

    // The same from a leader that rebuilds the records and has no other controller to redirect the worker to.
    std::optional<std::vector<model::Command>> renew(const model::Heartbeat& report, model::TimePoint now,
                                                     model::TimePoint cancellations_known_until = {}) const;

  private:
    bool knows_enough(model::TimePoint now, model::TimePoint cancellations_known_until) const;

    const config::Settings& settings_;
    std::optional<model::TimePoint> since_;  // when the unbroken watch began
    model::TimePoint fresh_{};               // when the last read began
    std::unordered_set<std::string> cancelled_;
    std::deque<std::pair<model::TimePoint, std::string>> cancelled_at_;  // in the order of time, to forget them
    std::unordered_map<std::string, model::TimePoint> sent_on_;          // machines, when they were last here
};

}  // namespace flintdale::scheduler
