// The interfaces through which one term of leadership uses the controller that runs it: three narrow ones, and a clock.
// The term does not depend on the elector, the recovery coordinator or the connections to other controllers.
#pragma once
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "model/clock.hpp"
#include "state/store.hpp"

namespace flintdale::app {

// The claim to leadership that the term runs under.
class LeadershipClaim {
  public:
    virtual ~LeadershipClaim() = default;
    // Requests a new read of the term's record, because another controller may lead by now.
    virtual void verify() = 0;
    // Ends this term, which no longer matches the records, and campaigns for the next one.
    virtual void restart_term(const char* why) = 0;
    // Whether another controller reaches the state service and may therefore be elected.
    virtual bool any_peer_reaches_store() const = 0;
};

// The records as this controller remembers them, whether or not the state service still holds them.
class RememberedRecords {
  public:
    virtual ~RememberedRecords() = default;
    // Reports evidence that records were lost, possibly also some that this controller does not remember.
    virtual void suspect_loss(const char* why) = 0;
    virtual bool is_over(const std::string& uid) const = 0;
    virtual std::vector<std::string> open_jobs() const = 0;
    // The record was just read or written by any controller.
    virtual void record_observed(const state::KeyValue& record) = 0;
    // After a rebuild of the records, every task that may be on a machine is known again.
    virtual void reconciliation_complete() = 0;
};

// The cancellations that this controller has learned from users, records and other controllers.
class CancellationKnowledge {
  public:
    virtual ~CancellationKnowledge() = default;
    // The time until which all cancellations acknowledged to users are known, provided that all on record at `read_at`
    // are. Returns `read_at` unless reports of the other controllers show a later time.
    virtual model::TimePoint all_known_until(model::TimePoint read_at) const = 0;
    // Whether the job is known to be cancelled.
    virtual bool is_cancelled(const std::string& uid) const = 0;
    // How long ago a job that is over was cancelled, by the time of day on record; 0 if it was not cancelled.
    virtual model::Seconds time_since_cancellation(const std::string& uid) const = 0;
    // A job that was read as open already has an outcome on record.
    virtual void outcome_found(const std::string& uid) = 0;
};

// References stay valid for as long as a loop of the term runs.
struct LeaderTermEnvironment {
    LeadershipClaim& leadership;
    RememberedRecords& remembered;
    CancellationKnowledge& cancellations;
    std::function<std::int64_t()> time_of_day_ms;
};

}  // namespace flintdale::app
