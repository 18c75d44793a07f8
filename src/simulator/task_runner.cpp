#include "simulator/task_runner.hpp"

#include <algorithm>

namespace flintdale::simulator {

using model::ExitReason;
using model::JobKind;
using model::TaskStatus;

namespace {
constexpr Seconds cached_image_start{0.05};
constexpr Seconds resume_delay{0.01};  // after a hang, until what was due goes on
}  // namespace

TaskRunner::TaskRunner(Events& events, TaskObserver& observer, const config::Settings& settings,
                       const Machines& machines, OnChange on_change)
    : events_(events),
      observer_(observer),
      settings_(settings),
      machines_(machines),
      on_change_(std::move(on_change)) {}

MachineTask* TaskRunner::find(Machine& machine, const TaskName& name, std::uint64_t run_id, TaskStatus status) {
    const auto found = machine.tasks.find(name);
    if (machine.dead || found == machine.tasks.end()) return nullptr;
    auto& task = found->second;
    return task.run_id == run_id && task.status == status ? &task : nullptr;
}

void TaskRunner::run(const MachinePtr& machine, const TaskName& name, std::uint64_t attempt) {
    const auto existing = machine->tasks.find(name);
    const bool present = existing != machine->tasks.end();
    if (present && existing->second.attempt == attempt) return;
    const auto run_id = ++runs_;
    machine->changed = true;
    auto exit_reason = refusal(*machine, name);
    const bool in_use = present && !existing->second.exited();
    // Refused as in use; the heartbeat shows the other attempt.
    if (exit_reason != ExitReason::unknown_task && in_use) return;
    const bool refused = exit_reason != ExitReason::none;
    machine->tasks[name] = {attempt, refused ? TaskStatus::exited : TaskStatus::fetching, exit_reason, run_id};
    if (refused) return;
    const auto& spec = jobs_[name.first].spec;
    placement::add_resources(machine->used, spec.need);
    const bool cached = machine->images.contains(spec.image);
    const Seconds fetch = cached ? cached_image_start
                                 : Seconds(spec.image_gb / machine->type->fetch_gb_per_s * events_.uniform(0.8, 1.3));
    events_.after(fetch, [this, machine, name, run_id] { image_fetched(machine, name, run_id); });
}

ExitReason TaskRunner::refusal(const Machine& machine, const TaskName& name) const {
    const auto job = jobs_.find(name.first);
    if (job == jobs_.end() || name.second >= job->second.spec.tasks) return ExitReason::unknown_task;
    if (!placement::fits(job->second.spec.need, machine.free())) return ExitReason::insufficient_resources;
    return ExitReason::none;
}

std::vector<TaskRunner::GangMember> TaskRunner::gang_members(const std::string& uid, std::uint64_t attempt) const {
    std::vector<GangMember> out;
    const auto gang = gangs_.find({uid, attempt});
    if (gang == gangs_.end()) return out;
    for (const auto& name : gang->second) {
        const auto machine = machines_.find(name);
        if (machine == machines_.end()) continue;
        for (const auto& [task_name, task] : machine->second->tasks)
            if (task_name.first == uid && task.attempt == attempt && !task.exited())
                out.push_back({machine->second, task_name});
    }
    return out;
}

void TaskRunner::image_fetched(const MachinePtr& machine, const TaskName& name, std::uint64_t run_id) {
    auto* task = find(*machine, name, run_id, TaskStatus::fetching);
    if (!task) return;
    if (machine->hangs(events_.now())) {
        events_.after(machine->hangs_until - events_.now() + resume_delay,
                      [this, machine, name, run_id] { image_fetched(machine, name, run_id); });
        return;
    }
    const auto& job = jobs_[name.first];
    machine->images.insert(job.spec.image);
    observer_.arrives(name, {machine->name, machine->type->name, machine->zone, machine->spot});
    stats_.last_start = events_.now();
    if (job.done.contains(name.second)) {
        task->status = TaskStatus::running;
        end(machine, name, ExitReason::done);
    } else if (job.spec.kind == JobKind::gang) {
        wait_at_barrier(machine, name);
    } else {
        start(machine, name);
    }
}

void TaskRunner::wait_at_barrier(const MachinePtr& machine, const TaskName& name) {
    auto& task = machine->tasks.at(name);
    const auto attempt = task.attempt;
    const auto run_id = task.run_id;
    task.status = TaskStatus::waiting;
    gangs_[{name.first, attempt}].insert(machine->name);
    on_change_(machine);
    const auto members = gang_members(name.first, attempt);
    const auto ready = std::count_if(members.begin(), members.end(), [](const GangMember& member) {
        return member.machine->tasks.at(member.task).status == TaskStatus::waiting;
    });
    if (static_cast<std::uint32_t>(ready) == jobs_[name.first].spec.tasks) {
        for (const auto& member : members) start(member.machine, member.task);
        return;
    }
    events_.after(settings_.gang_barrier_timeout, [this, machine, name, run_id] {
        if (find(*machine, name, run_id, TaskStatus::waiting)) end(machine, name, ExitReason::gang_incomplete);
    });
}

void TaskRunner::start(const MachinePtr& machine, const TaskName& name) {
    auto& task = machine->tasks[name];
    task.status = TaskStatus::running;
    const auto run_id = task.run_id;
    const auto& job = jobs_[name.first];
    ++stats_.started;
    ++stats_.started_by_class[job.spec.job_class];
    on_change_(machine);
    if (job.spec.kind == JobKind::service) return;
    events_.after(job.runtime, [this, machine, name, run_id] { complete(machine, name, run_id); });
}

void TaskRunner::complete(const MachinePtr& machine, const TaskName& name, std::uint64_t run_id) {
    const auto* task = find(*machine, name, run_id, TaskStatus::running);
    if (!task) return;
    if (jobs_[name.first].spec.kind == JobKind::gang) return complete_gang(name, task->attempt);
    if (!machine->hangs(events_.now())) return end(machine, name, ExitReason::done);
    events_.after(machine->hangs_until - events_.now() + resume_delay,
                  [this, machine, name, run_id] { complete(machine, name, run_id); });
}

// A gang completes as one; where a member hangs, the others notice, and exit.
void TaskRunner::complete_gang(const TaskName& name, std::uint64_t attempt) {
    auto& job = jobs_[name.first];
    const auto members = gang_members(name.first, attempt);
    for (const auto& member : members)
        if (member.machine->hangs(events_.now())) return gang_member_gone(name, attempt);
    if (members.size() < job.spec.tasks) return;
    for (std::uint32_t index = 0; index < job.spec.tasks; ++index) {
        job.done.insert(index);
        observer_.completed({name.first, index});
    }
    for (const auto& member : members) end(member.machine, member.task, ExitReason::done);
}

void TaskRunner::end(const MachinePtr& machine, const TaskName& name, ExitReason exit_reason) {
    auto& task = machine->tasks[name];
    const bool on_machine = task.status != TaskStatus::fetching;
    auto& job = jobs_[name.first];
    task.status = TaskStatus::exited;
    task.exit_reason = exit_reason;
    placement::subtract_resources(machine->used, job.spec.need);
    if (on_machine) observer_.leaves(name, machine->name);
    if (exit_reason == ExitReason::stopped && on_machine && job.spec.kind != JobKind::service)
        stats_.stopped[name] = events_.now();
    if (exit_reason == ExitReason::done) {
        ++stats_.finished;
        if (job.done.insert(name.second).second) observer_.completed(name);
    } else if (job.spec.kind == JobKind::gang) {
        gang_member_gone(name, task.attempt);
    }
    on_change_(machine);
}

// The other members of a running gang notice after a while, and exit.
void TaskRunner::gang_member_gone(const TaskName& name, std::uint64_t attempt) {
    const auto uid = name.first;
    events_.after(settings_.gang_failure_detection * events_.uniform(0.3, 1), [this, uid, attempt] {
        for (const auto& member : gang_members(uid, attempt))
            if (member.machine->tasks.at(member.task).status == TaskStatus::running)
                end(member.machine, member.task, ExitReason::gang_member_lost);
    });
}

void TaskRunner::drop_all(const MachinePtr& machine) {
    for (const auto& [name, task] : machine->tasks) {
        if (task.exited()) continue;
        if (task.status != TaskStatus::fetching) observer_.leaves(name, machine->name);
        if (jobs_[name.first].spec.kind == JobKind::gang) gang_member_gone(name, task.attempt);
    }
    machine->tasks.clear();
    machine->used = {};
}

void TaskRunner::lease_expired(const MachinePtr& machine) {
    stats_.lease_kills += machine->tasks.size();
    for (const auto& [name, task] : machine->tasks)
        if (!task.exited()) stats_.stopped[name] = events_.now();
    drop_all(machine);
}

}  // namespace flintdale::simulator
