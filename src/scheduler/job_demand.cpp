#include "scheduler/job_demand.hpp"

#include <algorithm>
#include <cmath>

namespace flintdale::scheduler {

using model::JobKind;
using placement::JobHosts;
using State = Task::State;

const placement::Requirements& JobDemand::ask_of(const Job& job) const {
    // Pools are added when their first machine appears, so the cached requirements may be outdated.
    if (job.ask.pools.size() != state_.inventory.directory().pools().size() || !job.ask.spec)
        job.ask = placement::make_requirements(job.spec, state_.rules, state_.inventory.directory());
    job.ask.priority = job.priority;
    return job.ask;
}

placement::Requirements JobDemand::ask_for_slots(const Job& job, unsigned slots) const {
    auto ask = ask_of(job);
    const auto& pools = state_.inventory.directory().pools();
    for (std::size_t i = 0; i < ask.pools.size(); ++i)
        if (const auto* type = state_.inventory.type(pools[i].type);
            !type || placement::task_slots(job.spec.need, type->capacity) < slots)
            ask.pools[i] = false;
    return ask;
}

JobHosts JobDemand::hosts_of(const Job& job) const {
    JobHosts out;
    if (job.placed)
        for (const auto& t : job.tasks)
            if (t.state == State::placed) {
                out.add_to_zone(t.machine->row.zone);
                out.own.push_back(t.machine->row.slot);
            }
    // The worker may still hold the exited task of the previous attempt, so the replacement must use another machine.
    if (job.is(JobKind::gang)) out.excluded = out.own;
    // If some tasks of a job succeed and others fail on many machines, the machines are not at fault.
    if (job.failed_on.size() <= 2 || job.crash_looping())
        for (const auto& name : job.failed_on)
            if (const auto* m = state_.inventory.find(name)) out.excluded.push_back(m->row.slot);
    return out;
}

JobHosts JobDemand::hosts_without(const Job& job, std::uint32_t task) const {
    auto hosts = hosts_of(job);
    const auto& machine = *job.tasks[task].machine;
    --hosts.per_zone[machine.row.zone];
    std::erase(hosts.own, machine.row.slot);
    hosts.excluded.push_back(machine.row.slot);
    return hosts;
}

std::uint32_t JobDemand::within_quota(const Job& job, std::uint32_t tasks) const {
    return state_.quota.room(job.spec.team, job.spec.need, tasks);
}

Seconds JobDemand::target_duration(const JobSpec& spec) const {
    Seconds best{0};
    for (const auto& objective : state_.settings.objectives) {
        if (objective.kind != "finished" || objective.job_class != spec.job_class) continue;
        if (objective.within.count() > 0 && (best.count() == 0 || objective.within < best)) best = objective.within;
    }
    if (spec.deadline && (best.count() == 0 || *spec.deadline < best)) best = *spec.deadline;
    return best.count() > 0 ? best : spec.estimated_runtime * 4;
}

// Tasks of an array can run one after another on a machine. Only tasks that would then miss the time limit need
// machines of their own.
std::uint32_t JobDemand::tasks_wanted_now(const Job& job) const {
    const auto waiting = std::min(job.waiting(), max_planned_tasks);
    if (!job.is(JobKind::array) || job.spec.estimated_runtime.count() <= 0) return waiting;
    const auto span =
        std::max(target_duration(job.spec) * state_.operator_settings.array_horizon, job.spec.estimated_runtime);
    const double rounds = std::max(1.0, std::floor(span / job.spec.estimated_runtime));
    const auto total = static_cast<std::uint32_t>(std::ceil((job.waiting() + job.placed) / rounds));
    return std::min(waiting, total > job.placed ? total - job.placed : 0);
}

}  // namespace flintdale::scheduler
