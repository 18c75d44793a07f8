#include "app/cluster_view.hpp"

namespace flintdale::app {

using model::Clock;

std::string ClusterView::other_leader() const {
    auto member = leader();
    return member == sources_.settings.member ? std::string() : member;
}

bool ClusterView::store_is_healthy() const { return sources_.store.healthy(Clock::now()); }

bool ClusterView::leaderless() const {
    const auto now = Clock::now();
    return !sources_.store.healthy(now) && !sources_.peers.any_leading(now);
}

bool ClusterView::cut_off_from_store() const {
    const auto now = Clock::now();
    if (sources_.recovery.ready() || sources_.store.healthy(now)) return false;
    return !sources_.peers.any_recent(
        now, [](const std::string&, const PeerStatus& peer) { return peer.reaches_store || peer.has_read_records; });
}

// While the state service responds, any leader reads the cancellations from it. Otherwise a leader handles a
// cancellation if its messages confirm that it received it. A term of this controller handles cancellations only after
// it has read the records, because it does not know earlier which machines hold the tasks.
bool ClusterView::cancellations_are_handled(TimePoint noted) const {
    const auto now = Clock::now();
    const auto& term = sources_.leadership.current;
    if (term && term->loaded()) return term->missing_heartbeats_are_overdue();
    if (sources_.store.healthy(now)) return true;
    return sources_.peers.any_recent(now, [&](const std::string& member, const PeerStatus& peer) {
        return peer.reaches_store || (peer.leading && sources_.cancellations.has_received(member, noted));
    });
}

// A controller that alone cannot reach the state service leaves user requests to the other controllers. In an outage
// that affects all of them no other controller is better, and the load balancer is slow to add back a controller that
// it has removed.
std::optional<std::string_view> ClusterView::unready_reason(bool machine_types_known) const {
    const auto now = Clock::now();
    const bool store_healthy = sources_.store.healthy(now);
    if (!store_healthy) {
        if (sources_.peers.any_reaches_store(now)) return "the state service cannot be reached from here";
        // Without a recent status of any peer this may be no outage: this controller may be cut off alone, while users
        // still reach it.
        if (!sources_.settings.peers.empty() && !sources_.peers.has_recent_peer(now))
            return "neither the state service nor another controller is heard";
    }
    // In a rolling upgrade a controller must be enrolled before it serves. In an outage it cannot enroll.
    const bool enrolled = sources_.members.enrolled() && sources_.recovery.ready();
    if (!enrolled && store_healthy) return "not enrolled yet";
    if (!machine_types_known) return "the machine types are not known yet";
    return std::nullopt;
}

}  // namespace flintdale::app
