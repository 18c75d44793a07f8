// The rules that bound how long cancelled work may run on, shared by leaders and other controllers.
#pragma once
#include "config/settings.hpp"
#include "model/clock.hpp"

namespace flintdale::scheduler {

// Whether a leader may renew workers' leases. Work of a job cancelled elsewhere must be gone in time, and
// a task dies at the latest a lease after the last answer; so what is known of cancellations must be younger
// than what the cancel deadline leaves beyond the lease. The margin covers drifting clocks, and the time from the
// heartbeat's arrival to this reading of the clock: a lease runs from when the heartbeat was sent, however late its
// answer leaves.
inline bool may_answer(const config::Settings& s, model::TimePoint now, model::TimePoint cancellations_known_at,
                       model::Seconds margin = model::Seconds(3)) {
    return now - cancellations_known_at < model::to_clock(s.cancel_deadline - s.worker_lease - margin);
}

// How long after a cancellation a silent machine that may hold work of that job is given up, whoever does it: its
// leader, or a controller that knows of the cancellation while nobody leads. Half of cancel_s leaves the other half to
// controllers that ended meanwhile and know nothing: they ask all silent machines after as long (app::Fencer).
inline model::Seconds give_up_silent_after(const config::Settings& s) { return s.cancel_deadline * 0.5; }

}  // namespace flintdale::scheduler
