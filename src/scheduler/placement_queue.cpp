#include "scheduler/placement_queue.hpp"

#include <algorithm>

namespace flintdale::scheduler {

namespace {
// The window of jobs that found no room in an earlier pass; sorts before all other windows.
constexpr std::int64_t merged_window = -1;
}  // namespace

std::vector<Job*> PlacementQueue::ordered(TimePoint now, bool eligible_only) {
    std::vector<std::pair<placement::QueueEntry, Job*>> waiting;
    const bool guarantees = state_.quota.any_guarantee();
    for (const auto& [uid, job] : state_.jobs.all()) {
        if (!job->runnable() || job->waiting() == 0) continue;
        if (eligible_only && now < job->eligible_at) continue;
        placement::QueueEntry entry;
        entry.guaranteed = guarantees && demand_.guaranteed(*job);
        entry.priority = job->priority;
        // Jobs that found no room in their window share one queue ahead of new windows. Otherwise, under load, the
        // order would be that of arrival, and short jobs would wait for long ones.
        entry.window = job->passed_over ? merged_window : job->window;
        entry.length = job->spec.estimated_runtime * job->waiting();
        entry.waited = now - job->arrived;
        entry.uid = uid;
        waiting.emplace_back(entry, job.get());
    }
    std::sort(waiting.begin(), waiting.end(), [&](const auto& a, const auto& b) {
        return placement::precedes(a.first, b.first, state_.operator_settings.aging_rate);
    });
    std::vector<Job*> out;
    out.reserve(waiting.size());
    for (auto& [entry, job] : waiting) out.push_back(job);
    return out;
}

}  // namespace flintdale::scheduler
