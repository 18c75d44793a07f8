// Keeps the leases of workers alive that reach this controller and no leader: of a zone that is cut off, or while the
// state service is away and the leader has ended. It gives no work and takes none: it only stops what was cancelled.
//
// Why that is safe: a renewed lease puts no task anywhere, and nobody takes time for evidence that a task is gone. What
// time does bound is cancelled work, and there this controller is held to the leader's own rule (lease_rule.hpp): what
// it knows of cancellations is as young as its last whole look at the outcomes, dated when that look began, and it must
// have watched without a gap for cancel_s, so that whatever was cancelled before has gone.
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

    // A look at the outcomes that began then told these changes since the one before, and no others were missed.
    void watched(const std::vector<state::KeyValue>& outcomes, model::TimePoint began);
    // Changes before then may have been missed.
    void lost_track(model::TimePoint now) { since_ = now; }
    // All outcomes there are were among those that have been told.
    void knows_all(model::TimePoint now) { since_ = now - model::to_clock(settings_.cancel_deadline); }

    // The job is cancelled, by a peer's word: cancellations_known_until says what else that covers.
    void cancelled(const std::string& uid, model::TimePoint now);
    // When the last look at the outcomes began.
    model::TimePoint looked_at() const { return fresh_; }

    // `cancellations_known_until`: all that users were told before then is known here, beyond what the looks have
    // shown. Commands for a worker that no leader answers, or nothing if it must be sent on: the first time to the
    // leader, for it may reach that one; always, while what is known is not enough.
    std::optional<std::vector<model::Command>> answer(const model::Heartbeat& report, model::TimePoint now,
                                                      model::TimePoint cancellations_known_until = {});

    // The same from a leader that rebuilds the records and has nobody to send the worker to.
    std::optional<std::vector<model::Command>> keep(const model::Heartbeat& report, model::TimePoint now,
                                                    model::TimePoint cancellations_known_until = {}) const;

  private:
    bool knows_enough(model::TimePoint now, model::TimePoint cancellations_known_until) const;

    const config::Settings& settings_;
    std::optional<model::TimePoint> since_;  // when the unbroken watch began
    model::TimePoint fresh_{};               // when the last look began
    std::unordered_set<std::string> cancelled_;
    std::deque<std::pair<model::TimePoint, std::string>> cancelled_at_;  // in the order of time, to forget them
    std::unordered_map<std::string, model::TimePoint> sent_on_;          // machines, when they were last here
};

}  // namespace flintdale::scheduler
