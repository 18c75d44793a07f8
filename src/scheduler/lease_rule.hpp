// Rules that bound how long cancelled work may continue to run, shared by leaders and other controllers.
#pragma once
#include "config/settings.hpp"
#include "model/clock.hpp"

namespace flintdale::scheduler {

// Whether a controller may renew workers' leases. Cancelled work must be gone before the cancel deadline, and a worker
// stops its tasks at the latest one lease after its last renewal. So the knowledge of cancellations must be younger
// than the cancel deadline minus the lease. The margin covers clock drift and the time between the arrival of the
// heartbeat and `now`. A lease starts when the heartbeat is sent, however late the answer is sent.
inline bool may_answer(const config::Settings& s, model::TimePoint now, model::TimePoint cancellations_known_at,
                       model::Seconds margin = model::Seconds(3)) {
    return now - cancellations_known_at < model::to_clock(s.cancel_deadline - s.worker_lease - margin);
}

// How long after a cancellation a silent machine that may run the job's tasks is released. The leader releases it or,
// without a leader, any controller that knows the cancellation. Half of cancel_s leaves the other half for controllers
// that missed the cancellation while they were down: after as long, they probe all silent machines (app::Fencer).
inline model::Seconds give_up_silent_after(const config::Settings& s) { return s.cancel_deadline * 0.5; }

}  // namespace flintdale::scheduler
