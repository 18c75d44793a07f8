#include "scheduler/gang_barrier.hpp"

#include <spdlog/spdlog.h>

namespace flintdale::scheduler {

void GangBarrier::wait(Job& job, std::uint32_t task, TimePoint now) {
    job.tasks[task].at_barrier = true;
    if (++job.members_at_barrier == 1) job.barrier_since = now;
    waiting_.insert(job.spec.uid);
    restart_if_ready(job, now);
}

// Where fetching takes longer on some machines than a member waits for the others, an attempt that is given up as a
// whole loses what the slow machines have fetched so far, and the next attempt fails in the same way. So a member that
// gave up keeps its place, and when the last one has its image all start under the next attempt where they are.
void GangBarrier::restart_if_ready(Job& job, TimePoint now) {
    if (job.members_at_barrier == 0 || job.placed < job.spec.tasks || job.gang_started || job.gang_failing ||
        job.cancelled)
        return;
    for (std::uint32_t i = 0; i < job.spec.tasks; ++i) {
        const auto& t = job.tasks[i];
        if (!t.at_barrier && (!t.reported || t.machine->fetching.contains({job.spec.uid, i}))) return;
    }
    ++job.gang_attempt;
    job.members_at_barrier = 0;
    spdlog::debug("event=gang_restarted job={} attempt={}", job.spec.uid, job.gang_attempt);
    for (std::uint32_t i = 0; i < job.spec.tasks; ++i) {
        auto& t = job.tasks[i];
        t.attempt = job.gang_attempt;
        t.placed_at = now;
        t.run_sent = t.reported = t.at_barrier = false;
        tasks_.record_change(job, i, RecordUrgency::immediate, now);
    }
}

// A member that was lost may find no room for as long as others keep theirs for it: tasks that would fit waited beside
// such a place for over 90 s.
void GangBarrier::release_expired(TimePoint now) {
    std::erase_if(waiting_, [&](const std::string& uid) {
        auto* job = state_.jobs.find(uid);
        if (!job || job->members_at_barrier == 0) return true;
        // All have a place, and only images are missing: the timeout does not run.
        if (job->placed + job->done == job->spec.tasks) job->barrier_since = now;
        if (now - job->barrier_since <= model::to_clock(state_.settings.gang_barrier_timeout)) return false;
        spdlog::info("event=gang_reservation_released job={} parked={} placed={}", uid, job->members_at_barrier,
                     job->placed);
        for (std::uint32_t i = 0; i < job->spec.tasks; ++i)
            if (job->tasks[i].at_barrier) tasks_.leave(*job, i, Task::State::waiting, now);
        return true;
    });
}

}  // namespace flintdale::scheduler
