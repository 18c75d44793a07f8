#include "scheduler/job_lifecycle.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace flintdale::scheduler {

std::int64_t JobLifecycle::window_at(std::int64_t ms) const {
    using std::chrono::milliseconds;
    const auto window =
        std::chrono::duration_cast<milliseconds>(model::to_clock(state_.operator_settings.batching_window)).count();
    return ms / std::max<std::int64_t>(1, window);
}

Job& JobLifecycle::create(JobSpec spec, TimePoint now, bool known_before) {
    auto job = std::make_unique<Job>();
    job->tasks.resize(spec.tasks);
    job->chunks.resize((spec.tasks + job->tasks_per_record - 1) / job->tasks_per_record);
    job->priority = spec.priority;
    job->arrived = now;
    const auto window = model::to_clock(state_.operator_settings.batching_window);
    job->window = window_at(spec.accepted_ms);
    // A batching window that an earlier leader opened has closed by now. A critical service does not wait for its
    // window: it would be first in any window anyway, because services have no runtime to sort by.
    const bool first = spec.kind == model::JobKind::service && spec.priority == model::Priority::critical;
    job->eligible_at = known_before || first ? now : TimePoint((now.time_since_epoch() / window + 1) * window);
    job->spec = std::move(spec);
    auto& added = state_.jobs.add(std::move(job));
    state_.quota.job_opened(added.spec);
    return added;
}

void JobLifecycle::cancel(Job& job, TimePoint at) {
    if (job.cancelled) {
        job.cancelled_at = std::min(job.cancelled_at, at);
        return;
    }
    spdlog::info("event=job_cancelled job={} placed={}", job.spec.uid, job.placed);
    job.cancelled = true;
    job.cancelled_at = at;
    state_.quota.job_closed(job.spec);
    for (std::uint32_t i = 0; i < job.spec.tasks && job.placed; ++i)
        // The remaining tasks must be reported as gone.
        if (auto& t = job.tasks[i]; t.state == Task::State::placed && !t.may_be_on_machine()) {
            spdlog::debug("event=task_unassigned task={}/{} attempt={} machine={} why=no_run_command", job.spec.uid, i,
                          t.attempt, t.machine->name);
            tasks_.leave(job, i, Task::State::waiting, at);
        }
    state_.record_queue.add(job.spec.uid);
}

void JobLifecycle::finish(Job& job) {
    job.finished = true;
    state_.quota.job_closed(job.spec);
}

void JobLifecycle::set_dependencies(Job& job, const std::vector<std::string>& dependencies, TimePoint now) {
    const auto& uid = job.spec.uid;
    const auto changes = state_.dependencies.opened(uid, job.spec.priority, dependencies);
    job.priority = state_.dependencies.priority(uid);
    job.waits_for_dependencies = state_.dependencies.waits(uid);
    if (!job.waits_for_dependencies && !dependencies.empty()) apply({{uid}, {}, {}}, now);
    apply(changes, now);
}

bool JobLifecycle::apply(const DependencyGraph::Changes& changes, TimePoint now) {
    for (const auto& uid : changes.ready)
        if (auto* job = state_.jobs.find(uid)) make_ready(*job, now);
    // Written before all other records, because users may already be shown this job as cancelled.
    for (const auto& uid : changes.dependency_failed)
        if (auto* job = state_.jobs.find(uid); job && !job->dependency_failed) {
            spdlog::info("event=job_dependency_failed job={}", uid);
            job->dependency_failed = true;
            state_.record_queue.add_first(uid);
        }
    for (const auto& uid : changes.priority_changed)
        if (auto* job = state_.jobs.find(uid)) job->priority = state_.dependencies.priority(uid);
    return !changes.ready.empty() || !changes.dependency_failed.empty();
}

// All times of the job count from now. The job has been known for longer than a batching window, so it does not wait
// for another one.
void JobLifecycle::make_ready(Job& job, TimePoint now) {
    const auto& uid = job.spec.uid;
    job.waits_for_dependencies = false;
    job.arrived = job.eligible_at = now;
    if (const auto at = state_.dependencies.ready_at(uid)) job.window = window_at(at);
    spdlog::debug("event=job_dependencies_done job={} class={}", uid, job.spec.job_class);
}

}  // namespace flintdale::scheduler
