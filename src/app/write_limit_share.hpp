// Shares the state service's write limit among the controllers by their demand.
#pragma once
#include "app/peer_table.hpp"
#include "config/settings.hpp"

namespace flintdale::app {

// The writes per second that all controllers together demand, as far as this one knows. A peer without a recent status
// may still be writing: it counts with its last known demand, and at least with as much as this controller's own.
double total_write_demand(double own, const PeerTable& peers, const config::Settings& settings, model::TimePoint now);

}  // namespace flintdale::app
