#include "app/leader_watchdog.hpp"

#include <spdlog/spdlog.h>

namespace flintdale::app {

namespace {
// Of the machines that should report: so many redirected heartbeats beyond those received here are clearly more.
constexpr double clear_excess_share = 0.25;
}  // namespace

bool must_resign(const scheduler::HeartbeatCoverage& coverage, const PeerTable& peers, const config::Settings& settings,
                 model::TimePoint now) {
    if (!coverage.cut_off_from_workers()) return false;
    // A controller that hears no worker and no peer is cut off, which needs no other evidence. A few workers, as a new
    // leader hears at first when a zone is cut off together with the other controllers, are reason enough to stay.
    const bool isolated = !settings.peers.empty() && coverage.reporting == 0 && !peers.hears_any(now);
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
