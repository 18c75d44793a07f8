// Decides whether this leader must resign because workers do not reach it.
//
// A leader that reaches the state service but not the workers would keep its claim while every worker's lease expires.
// Workers that it does not answer turn to the other controllers, which only redirect them back. So if the other
// controllers receive clearly more heartbeats than this leader, it resigns and one of them can lead.
#pragma once
#include "app/peer_table.hpp"
#include "config/settings.hpp"
#include "scheduler/scheduler.hpp"

namespace flintdale::app {

bool must_resign(const scheduler::HeartbeatCoverage& coverage, const PeerTable& peers, const config::Settings& settings,
                 model::TimePoint now);

}  // namespace flintdale::app
