// What this controller knows of the cluster at this moment: who leads, whether the state service and the other
// controllers are reachable, and what follows from that. It decides nothing and owns nothing; each answer holds only
// until the next co_await of whoever asks.
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
    std::shared_ptr<LeaderTerm> current;  // null: no term has begun, though one may have been won
};

class ClusterView {
  public:
    using TimePoint = model::TimePoint;

    // What the view reads; all of it outlives the view.
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

    // Whether this controller leads by its claim; its term may not have begun yet.
    bool leading() const { return sources_.elector.leading(); }
    // Whether the records are being rebuilt. No term begins meanwhile.
    bool recovering() const { return sources_.recovery.recovering(); }
    // The term that has begun here; null if there is none.
    std::shared_ptr<LeaderTerm> leader_term() const { return sources_.leadership.current; }
    std::uint64_t last_won_term() const { return sources_.leadership.last_won.number; }
    // The highest term that was seen anywhere.
    std::uint64_t newest_term() const { return sources_.elector.term(); }
    // Who is believed to lead; empty if nobody is.
    std::string leader() const { return sources_.elector.leader(); }
    // The same, and empty also if it is this controller.
    std::string other_leader() const;

    bool store_is_healthy() const;
    // Whether no leader is heard, and none could be elected from here.
    bool leaderless() const;
    // Whether this controller does not reach the state service, and neither it nor any peer that it hears has read the
    // records since it was started.
    bool cut_off_from_store() const;
    // Whether a controller leads, or may be elected, that knows of all cancellations noted here until then.
    bool cancellations_are_handled(TimePoint noted) const;
    // Why this controller should get no requests from users; nothing if it should.
    std::optional<std::string_view> unready_reason(bool machine_types_known) const;

  private:
    Sources sources_;
};

}  // namespace flintdale::app
