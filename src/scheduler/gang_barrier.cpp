#include "scheduler/gang_barrier.hpp"

#include <spdlog/spdlog.h>

namespace flintdale::scheduler {

void GangBarrier::hold_member(Job& job, std::uint32_t task, TimePoint now) {
    job.tasks[task].at_barrier = true;
    if (++job.members_at_barrier == 1) job.barrier_since = now;
    waiting_.insert(job.spec.uid);
    restart_if_ready(job, now);
}

// On some machines fetching the image takes longer than a member waits for its gang. Ending the whole attempt would
// discard what the slow machines have fetched, and the next attempt would fail in the same way. So a member that gave
// up keeps its room. When the last member has its image, all start under the next attempt on the same machines.
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
        // The members at the barrier have exited. The others wait under the old attempt until their worker says
        // otherwise.
        t.other_attempt = t.at_barrier ? 0 : t.attempt;
        t.attempt = job.gang_attempt;
        t.placed_at = now;
        t.run_sent = t.reported = t.at_barrier = false;
        tasks_.record_change(job, i, RecordUrgency::immediate, now);
    }
}

// A lost member may find no machine while the rest of the gang keeps its room. Without a timeout such room stayed
// unused for over 90 s beside waiting tasks that would have fit.
void GangBarrier::release_expired(TimePoint now) {
    std::erase_if(waiting_, [&](const std::string& uid) {
        auto* job = state_.jobs.find(uid);
        if (!job || job->members_at_barrier == 0) return true;
        // All members have a machine and only images are missing, so the timeout does not run.
        if (job->placed + job->done == job->spec.tasks) job->barrier_since = now;
        if (now - job->barrier_since <= model::to_clock(state_.settings.gang_barrier_timeout)) return false;
        spdlog::info("event=gang_reservation_released job={} members_waiting={} placed={}", uid,
                     job->members_at_barrier, job->placed);
        for (std::uint32_t i = 0; i < job->spec.tasks; ++i)
            if (job->tasks[i].at_barrier) tasks_.leave(*job, i, Task::State::waiting, now);
        return true;
    });
}

}  // namespace flintdale::scheduler
