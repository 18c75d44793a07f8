// Connects a leader's term to the elector and the recovery coordinator, so that LeaderTerm depends on neither.
#pragma once
#include "app/leader_term_environment.hpp"
#include "app/peer_table.hpp"
#include "election/elector.hpp"
#include "recovery/recovery_coordinator.hpp"

namespace flintdale::app {

class ElectorClaim : public LeadershipClaim {
  public:
    ElectorClaim(election::Elector& elector, const PeerTable& peers) : elector_(elector), peers_(peers) {}
    void verify() override { elector_.verify_leadership(); }
    void restart_term(const char* why) override { elector_.restart_term(why); }
    bool any_peer_reaches_store() const override { return peers_.any_reaches_store(model::Clock::now()); }

  private:
    election::Elector& elector_;
    const PeerTable& peers_;
};

class ReplicatedRecords : public RememberedRecords {
  public:
    explicit ReplicatedRecords(recovery::RecoveryCoordinator& recovery) : recovery_(recovery) {}
    void suspect_loss(const char* why) override;
    bool is_over(const std::string& uid) const override { return recovery_.replica().is_over(uid); }
    std::vector<std::string> open_jobs() const override { return recovery_.replica().open_jobs(); }
    void record_observed(const state::KeyValue& record) override { recovery_.reported_to_user(record); }
    void reconciliation_complete() override { recovery_.reconciliation_complete(); }

  private:
    recovery::RecoveryCoordinator& recovery_;
};

}  // namespace flintdale::app
