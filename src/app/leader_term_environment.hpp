// What one term of leadership asks of the controller that runs it: three narrow interfaces and a clock. The term knows
// neither the elector, nor the recovery coordinator, nor the other controllers.
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
    // Something suggests that another controller may lead by now: the term's record is to be read again.
    virtual void verify() = 0;
    // This term no longer matches the records. It ends, and the next one begins.
    virtual void restart_term(const char* why) = 0;
    // Whether another controller reaches the state service, so that it may be elected.
    virtual bool others_reach_store() const = 0;
};

// What this controller remembers of the records, whether or not they are in their places.
class RememberedRecords {
  public:
    virtual ~RememberedRecords() = default;
    // Something shows that records were lost, and possibly more than this controller remembers.
    virtual void suspect_loss(const char* why) = 0;
    virtual bool is_over(const std::string& uid) const = 0;
    virtual std::vector<std::string> open_jobs() const = 0;
    // The record was just read or written by any controller.
    virtual void record_observed(const state::KeyValue& record) = 0;
    // Every task that may be on a machine is known again after the records were rebuilt.
    virtual void reconciliation_complete() = 0;
};

// What this controller knows of cancellations, from users, records and other controllers.
class CancellationKnowledge {
  public:
    virtual ~CancellationKnowledge() = default;
    // Until when all cancellations that users were told of are known, given that all on record at `read_at` are.
    // Returns `read_at` if the other controllers have not said more.
    virtual model::TimePoint all_known_until(model::TimePoint read_at) const = 0;
    // Whether the job is known to be cancelled.
    virtual bool is_cancelled(const std::string& uid) const = 0;
    // For how long a job that is over has been cancelled, by the time of day on record; 0 if it is done.
    virtual model::Seconds cancelled_for(const std::string& uid) const = 0;
    // A job that was read as open has an outcome on record already.
    virtual void found_over(const std::string& uid) = 0;
};

// References stay valid for as long as a loop of the term runs.
struct LeaderTermEnvironment {
    LeadershipClaim& leadership;
    RememberedRecords& remembered;
    CancellationKnowledge& cancellations;
    std::function<std::int64_t()> time_of_day_ms;
};

}  // namespace flintdale::app
