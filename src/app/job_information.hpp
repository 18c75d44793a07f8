// What this controller can tell the submission service of a job without asking the state service: from its replica of
// the records, from peers, and from the term that it leads.
#pragma once
#include <optional>
#include <string>
#include <unordered_map>

#include "api/job_memory.hpp"
#include "app/cluster_view.hpp"
#include "peer/cancellations.hpp"
#include "recovery/recovery_coordinator.hpp"

namespace flintdale::app {

class JobInformation : public api::JobMemory {
  public:
    JobInformation(const recovery::RecoveryCoordinator& recovery, const peer::Cancellations& cancellations,
                   const OwnLeadership& leadership)
        : recovery_(recovery), cancellations_(cancellations), leadership_(leadership) {}

    // The count of the term that runs here, or else what the leader last said.
    api::DisplayCount display_count(const std::string& uid) const override;
    void peer_counts_received(const std::vector<peer::JobCount>& counts);

    std::optional<api::RememberedJob> remembered(const std::string& uid) const override;
    bool knows_all_jobs() const override { return recovery_.knows_all_jobs(); }
    std::optional<state::KeyValue> open_record(const std::string& uid) const override;

  private:
    const recovery::RecoveryCoordinator& recovery_;
    const peer::Cancellations& cancellations_;
    const OwnLeadership& leadership_;
    std::unordered_map<std::string, api::DisplayCount> peer_counts_;
};

}  // namespace flintdale::app
