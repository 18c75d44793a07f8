// A read-only view of the cluster as this controller knows it: which member leads, whether the state service and the
// other controllers are reachable, and what follows from that. Each result is valid only until the caller's next
// co_await.
#pragma once
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "app/leader_term.hpp"
#include "app/peer_table.hpp"
#include "config/settings.hpp"
#include "election/elector.hpp"
#include "election/members.hpp"
#include "peer/cancellations.hpp"
#include "recovery/recovery_coordinator.hpp"
#include "state/store.hpp"

namespace flintdale::app {

// This controller's own leadership.
struct OwnLeadership {
    election::Term last_won;
    std::shared_ptr<LeaderTerm> current;  // null: no term has begun; one may have been won
};

class ClusterView {
  public:
    using TimePoint = model::TimePoint;

    // The objects that the view reads; all must outlive it.
    struct Sources {
        const config::Settings& settings;
        const state::RateLimitedStore& store;
        const election::Elector& elector;
        const election::Members& members;
        const recovery::RecoveryCoordinator& recovery;
        const PeerTable& peers;
        const peer::Cancellations& cancellations;
        const OwnLeadership& leadership;
    };
    explicit ClusterView(Sources sources) : sources_(sources) {}

    // Whether this controller holds the claim to leadership; its term may not have begun yet.
    bool leading() const { return sources_.elector.leading(); }
    // Whether the records are being rebuilt; no term begins meanwhile.
    bool recovering() const { return sources_.recovery.recovering(); }
    // The term that has begun here; null if there is none.
    std::shared_ptr<LeaderTerm> leader_term() const { return sources_.leadership.current; }
    std::uint64_t last_won_term() const { return sources_.leadership.last_won.number; }
    // The highest term that was seen anywhere.
    std::uint64_t newest_term() const { return sources_.elector.term(); }
    // The member believed to lead; empty if none is.
    std::string leader() const { return sources_.elector.leader(); }
    // Like leader(), but also empty if it is this controller.
    std::string other_leader() const;

    bool store_is_healthy() const;
    // Whether no peer with a recent status leads, and this controller cannot be elected for want of the state service.
    bool leaderless() const;
    // Whether this controller cannot reach the state service and has not read the records since it started, and no peer
    // with a recent status can reach the service or has read them.
    bool cut_off_from_store() const;
    // Whether a controller that knows all cancellations noted here until `noted` leads, or may be elected.
    bool cancellations_are_handled(TimePoint noted) const;
    // The reason why this controller should receive no requests from users; nullopt if it should receive them.
    std::optional<std::string_view> unready_reason(bool machine_types_known) const;

  private:
    Sources sources_;
};

}  // namespace flintdale::app
