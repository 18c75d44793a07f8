// What this controller can tell the submission service of a job without asking the state service: from its replica of
// the records, from peers, and from the term that it leads.
#pragma once
#include <optional>
#include <string>
#include <unordered_map>

#include "api/submission_service.hpp"
#include "app/cluster_view.hpp"
#include "peer/cancellations.hpp"
#include "recovery/recovery_coordinator.hpp"

namespace flintdale::app {

class JobInformation {
  public:
    JobInformation(const recovery::RecoveryCoordinator& recovery, const peer::Cancellations& cancellations,
                   const OwnLeadership& leadership)
        : recovery_(recovery), cancellations_(cancellations), leadership_(leadership) {}

    // Tasks done and running, for display only: the leader's count, or what it last told this controller.
    api::DisplayCount display_count(const std::string& uid) const;
    void peer_counts_received(const std::vector<peer::JobCount>& counts);

    // What is remembered of the job, whether or not it is on record in its place.
    std::optional<api::Remembered> remembered(const std::string& uid) const;
    // The first record of an open job, as it was last read; nothing if it has to be read.
    std::optional<state::KeyValue> open_record(const std::string& uid) const;

  private:
    const recovery::RecoveryCoordinator& recovery_;
    const peer::Cancellations& cancellations_;
    const OwnLeadership& leadership_;
    std::unordered_map<std::string, api::DisplayCount> peer_counts_;
};

}  // namespace flintdale::app
