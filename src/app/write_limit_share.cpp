#include "app/write_limit_share.hpp"

namespace flintdale::app {

double total_write_demand(double own, const PeerTable& peers, const config::Settings& settings, model::TimePoint now) {
    double total = own;
    for (const auto& configured : settings.peers) {
        const auto* peer = peers.find(configured.member);
        const double last_known = peer ? peer->writes : 0.0;
        const bool recent = peers.find_recent(configured.member, now) != nullptr;
        total += recent ? last_known : std::max(own, last_known);
    }
    return total;
}

}  // namespace flintdale::app
