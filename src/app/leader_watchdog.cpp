#include "app/leader_watchdog.hpp"

#include <spdlog/spdlog.h>

namespace flintdale::app {

namespace {
// The leader resigns if the peers redirect more heartbeats than it receives, by this share of the expected machines.
constexpr double clear_excess_share = 0.25;
}  // namespace

bool must_resign(const scheduler::HeartbeatCoverage& coverage, const PeerTable& peers, const config::Settings& settings,
                 model::TimePoint now) {
    if (!coverage.cut_off_from_workers()) return false;
    // A leader that receives from no worker and no peer is cut off; this needs no other evidence. With a few workers
    // left it stays: when a zone is cut off together with the other controllers, a new leader receives only few
    // heartbeats at first.
    const bool isolated = !settings.peers.empty() && coverage.reporting == 0 && !peers.has_recent_peer(now);
    const double redirects = peers.recent_redirects(now);
    spdlog::debug("event=few_heartbeats expected={} heard={} redirected={:.0f}", coverage.expected, coverage.reporting,
                  redirects);
    const auto received = static_cast<double>(coverage.reporting);
    const auto expected = static_cast<double>(coverage.expected);
    if (!isolated && redirects < received + expected * clear_excess_share) return false;
    spdlog::info("event=cut_off_from_workers expected={} heard={} redirected={:.0f}", coverage.expected,
                 coverage.reporting, redirects);
    return true;
}

}  // namespace flintdale::app
