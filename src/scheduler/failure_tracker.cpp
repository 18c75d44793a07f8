#include "scheduler/failure_tracker.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace flintdale::scheduler {

namespace {
// Jobs that must fail on a machine, but not everywhere, before it is quarantined.
constexpr unsigned quarantine_jobs = 2;
// Limits of the pause between tries of a crash-looping job.
constexpr std::chrono::seconds first_pause{5}, longest_pause{60};
constexpr unsigned max_doublings = 8;  // of the pause between tries
}  // namespace

void FailureTracker::record_failure(Job& job, Machine& machine, TimePoint now) {
    job.failed_on.insert(machine.name);
    ++job.errors;
    machine.failed_jobs.insert(job.spec.uid);
    if (job.crash_looping()) {
        clear_machines(job);
        // Tasks of one try fail together, and count as one failure.
        if (now >= job.eligible_at) back_off(job, now);
    } else if (machine.failed_jobs.size() >= quarantine_jobs) {
        if (!machine.quarantined)
            spdlog::info("event=machine_quarantined machine={} type={}", machine.name, machine.type);
        machine.quarantined = true;
    }
}

// A crash-looping job is itself at fault, so its earlier failures no longer count against machines.
void FailureTracker::clear_machines(const Job& job) {
    for (const auto& name : job.failed_on) {
        auto* machine = state_.inventory.find(name);
        if (!machine) continue;
        machine->failed_jobs.erase(job.spec.uid);
        machine->quarantined = machine->failed_jobs.size() >= quarantine_jobs;
    }
}

void FailureTracker::back_off(Job& job, TimePoint now) {
    const auto pause = std::min(first_pause * (1 << std::min(job.back_offs++, max_doublings)), longest_pause);
    job.eligible_at = now + pause;
    spdlog::debug("event=job_crash_looping job={} class={} errors={} pause_seconds={}", job.spec.uid,
                  job.spec.job_class, job.errors, pause.count());
}

}  // namespace flintdale::scheduler
