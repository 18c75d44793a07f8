// Decides whether this leader must resign because workers do not reach it.
//
// A leader that reaches the state service and not the workers would keep its claim while every worker's lease expires.
// Workers that it does not answer turn to the other controllers, and in vain, for those redirect them here. So where
// the others receive clearly more heartbeats than this leader does, one of them is to lead.
#pragma once
#include "app/peer_table.hpp"
#include "config/settings.hpp"
#include "scheduler/scheduler.hpp"

namespace flintdale::app {

bool must_resign(const scheduler::HeartbeatCoverage& coverage, const PeerTable& peers, const config::Settings& settings,
                 model::TimePoint now);

}  // namespace flintdale::app
