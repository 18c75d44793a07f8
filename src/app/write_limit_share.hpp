// Shares the state service's write limit among the controllers by their demand.
#pragma once
#include "app/peer_table.hpp"
#include "config/settings.hpp"

namespace flintdale::app {

// The writes a second that all controllers together ask for, by what this one knows. A peer that is not heard may go on
// writing: its last known demand keeps counting, and at least as much as this controller's own.
double total_write_demand(double own, const PeerTable& peers, const config::Settings& settings, model::TimePoint now);

}  // namespace flintdale::app
