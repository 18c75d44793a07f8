#include "scheduler/heartbeat_reconciler.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "model/task.hpp"

namespace flintdale::scheduler {

using namespace std::chrono_literals;
using model::Command;
using model::CommandType;
using model::ExitReason;
using model::JobKind;
using model::TaskStatus;
using State = Task::State;

namespace {
constexpr auto rejection_pause = 2s;  // delay before the next placement of a job after a worker refused its task
// A task is left to finish if its expected runtime fits into this share of the time until the machine is terminated.
constexpr double max_remaining_share = 0.8;

// Whether the heartbeat shows an attempt of the task that has not exited, other than the reported one.
bool holds_other_attempt(const model::Heartbeat& heartbeat, const model::TaskReport& report) {
    return std::any_of(heartbeat.tasks.begin(), heartbeat.tasks.end(), [&](const model::TaskReport& other) {
        return other.id.index == report.id.index && other.attempt != report.attempt &&
               other.status != TaskStatus::exited && other.id.uid == report.id.uid;
    });
}
}  // namespace

std::optional<std::vector<Command>> HeartbeatReconciler::handle(const model::Heartbeat& heartbeat, TimePoint now) {
    if (state_.inventory.confirmed_gone(heartbeat.machine)) return std::nullopt;
    auto& machine = state_.inventory.add(heartbeat.machine, heartbeat.type, heartbeat.zone, heartbeat.spot, now);
    if (machine.reported &&
        std::pair(heartbeat.incarnation, heartbeat.sequence) <= std::pair(machine.incarnation, machine.sequence))
        return std::nullopt;
    update_machine(machine, heartbeat, now);

    Commands commands;
    ++heartbeats_;
    bool unknown_tasks = false;
    for (const auto& report : heartbeat.tasks)
        unknown_tasks = reconcile(machine, heartbeat, report, commands, now) || unknown_tasks;
    if (state_.awaiting_reconciliation) fleet_.set_unknown_tasks(machine, unknown_tasks);
    if (machine.terminates_at) drain_before_termination(machine, now);
    // Once a worker has seen this term, run commands of older terms can no longer reach it. Only then does a task that
    // is missing from its heartbeat certainly not run there.
    if (machine.has_current_term)
        for (const auto& [uid, i] : unreported_tasks(machine))
            if (auto* job = state_.jobs.find(uid)) missing(*job, i, machine, commands, now);
    return commands;
}

void HeartbeatReconciler::update_machine(Machine& machine, const model::Heartbeat& heartbeat, TimePoint now) {
    if (!machine.reported)
        spdlog::debug("event=machine_up machine={} type={} zone={} spot={}", heartbeat.machine, heartbeat.type,
                      heartbeat.zone, heartbeat.spot);
    if (machine.reported && heartbeat.incarnation > machine.incarnation) {
        spdlog::info("event=worker_lease_expired machine={} tasks={} term_seen={}", machine.name, machine.tasks.size(),
                     machine.has_current_term);
        // A new incarnation proves that tasks are gone only if the worker had seen this term in the previous one.
        // Otherwise the previous heartbeat may be a late copy from an even earlier incarnation. A task placed before
        // this term may then have been started in the new incarnation. Tasks that no run command was sent for are kept.
        if (machine.has_current_term) tasks_.lose_all(machine, true, now);
    }
    if (!machine.reported) machine.idle_since = now;
    machine.reported = true;
    machine.addr = heartbeat.addr;
    machine.incarnation = heartbeat.incarnation;
    machine.sequence = heartbeat.sequence;
    machine.last_report = now;
    machine.has_current_term = heartbeat.fencing_token == state_.term;
    machine.reported_tasks = heartbeat.tasks.size();
    if (!heartbeat.termination_notice) return;
    if (!machine.terminates_at)
        spdlog::info("event=termination_notice machine={} seconds={}", machine.name,
                     heartbeat.termination_notice->count());
    machine.terminates_at = after(now, *heartbeat.termination_notice);
}

bool HeartbeatReconciler::reconcile(Machine& machine, const model::Heartbeat& heartbeat,
                                    const model::TaskReport& report, Commands& commands, TimePoint now) {
    auto* job = state_.jobs.find(report.id.uid);
    const auto i = report.id.index;
    const bool ended = report.status == TaskStatus::exited;
    if (!job || i >= job->spec.tasks) {
        // Records of open jobs are not removed, so the job has an outcome and its tasks are not needed any more.
        clear_or_kill(report, true, commands);
        return !ended;
    }
    auto& task = job->tasks[i];
    const bool orphaned = report.attempt > task.attempt && !adopt(*job, machine, report, now) && !ended;
    const bool placed_here = task.state == State::placed && task.machine == &machine;
    if (placed_here && task.attempt == report.attempt) {
        reconcile_placed(*job, machine, heartbeat, report, commands, now);
        return orphaned;
    }
    if (placed_here && !ended) other_attempt_reported(*job, task, report);
    if (ended && report.exit_reason == ExitReason::done && task.state == State::waiting && !job->cancelled)
        tasks_.complete(*job, i, now);
    // The worker may forget the exit of a task only once the record of the task's state is written.
    clear_or_kill(report, job->durable(i), commands);
    return orphaned;
}

void HeartbeatReconciler::reconcile_placed(Job& job, Machine& machine, const model::Heartbeat& heartbeat,
                                           const model::TaskReport& report, Commands& commands, TimePoint now) {
    auto& task = job.tasks[report.id.index];
    task.last_heartbeat_number = heartbeats_;
    if (report.status != TaskStatus::exited) {
        confirmed(job, machine, report, commands, now);
        return;
    }
    // The start was refused because of the other attempt. The exit counts once that attempt is gone.
    if (holds_other_attempt(heartbeat, report)) return;
    task.other_attempt = 0;
    if (!task.at_barrier) exited(job, machine, report, now);
}

void HeartbeatReconciler::other_attempt_reported(const Job& job, Task& task, const model::TaskReport& report) const {
    task.other_attempt = report.attempt;
    task.other_attempt_heartbeat_number = heartbeats_;
    spdlog::debug("event=other_attempt_reported task={}/{} attempt={} reported_attempt={} machine={}", job.spec.uid,
                  report.id.index, task.attempt, report.attempt, task.machine->name);
}

void HeartbeatReconciler::clear_or_kill(const model::TaskReport& report, bool may_clear, Commands& commands) {
    if (commands.size() >= max_commands) return;
    const bool ended = report.status == TaskStatus::exited;
    if (ended && !may_clear) return;
    commands.push_back({ended ? CommandType::clear : CommandType::kill, report.id, report.attempt, Seconds(0)});
}

void HeartbeatReconciler::confirmed(Job& job, Machine& machine, const model::TaskReport& report, Commands& commands,
                                    TimePoint now) {
    const auto i = report.id.index;
    auto& task = job.tasks[i];
    task.reported = task.run_sent = true;
    task.other_attempt = 0;  // a worker holds one attempt of a task at a time
    if (report.status != TaskStatus::fetching) {
        state_.inventory.image_ready(machine, {job.spec.uid, i}, job.spec);
        const bool runs = report.status == TaskStatus::running || report.status == TaskStatus::checkpointing;
        if (runs && !task.started) mark_started(job, i, machine, now);
        if (runs) job.gang_started = true;
        gangs_.restart_if_ready(job, now);
    }
    Command kill{CommandType::kill, report.id, report.attempt, Seconds(0)};
    if (job.cancelled || job.is_failing_gang()) {
        commands.push_back(kill);
    } else if (task.draining && report.status != TaskStatus::checkpointing) {
        kill.grace_period = job.spec.checkpoint_duration + 1s;
        commands.push_back(kill);
    }
}

void HeartbeatReconciler::mark_started(Job& job, std::uint32_t task, const Machine& machine, TimePoint now) {
    job.tasks[task].started = true;
    job.tasks[task].running_since = now;
    ++job.running;
    spdlog::debug("event=task_started task={}/{} class={} machine={} waited_seconds={:.1f}", job.spec.uid, task,
                  job.spec.job_class, machine.name, Seconds(now - job.arrived).count());
    state_.jobs.mark_count_changed(job.spec.uid);
}

void HeartbeatReconciler::exited(Job& job, Machine& machine, const model::TaskReport& report, TimePoint now) {
    const auto i = report.id.index;
    spdlog::debug("event=task_exited task={}/{} attempt={} machine={} cause={}", job.spec.uid, i, report.attempt,
                  machine.name, static_cast<int>(report.exit_reason));
    if (report.exit_reason == ExitReason::done) {
        completed(job, machine, i, now);
        return;
    }
    if (report.exit_reason == ExitReason::error) {
        failures_.record_failure(job, machine, now);
    } else if (report.exit_reason == ExitReason::unknown_task ||
               report.exit_reason == ExitReason::insufficient_resources ||
               report.exit_reason == ExitReason::conflicting_attempt) {
        job.eligible_at = std::max(job.eligible_at, now + rejection_pause);
    } else if (report.exit_reason == ExitReason::gang_incomplete) {
        // The member had its image, because it waited for the rest of its gang. A new leader has not seen that in an
        // earlier heartbeat.
        state_.inventory.image_ready(machine, {job.spec.uid, i}, job.spec);
        if (!job.gang_started && !job.gang_failing && !job.cancelled && !machine.terminates_at &&
            !job.tasks[i].draining) {
            gangs_.hold_member(job, i, now);
            return;
        }
    }
    if (job.is(JobKind::gang)) job.gang_failing = true;
    tasks_.leave(job, i, State::waiting, now);
}

void HeartbeatReconciler::completed(Job& job, Machine& machine, std::uint32_t task, TimePoint now) {
    state_.inventory.image_ready(machine, {job.spec.uid, task}, job.spec);
    machine.failed_jobs.clear();
    if (!job.is(JobKind::gang)) {
        tasks_.complete(job, task, now);
        return;
    }
    // A gang completes as a whole: the first member that reports its completion completes all members.
    for (std::uint32_t i = 0; i < job.spec.tasks; ++i) tasks_.complete(job, i, now);
}

void HeartbeatReconciler::missing(Job& job, std::uint32_t task, Machine& machine, Commands& commands, TimePoint now) {
    auto& t = job.tasks[task];
    if (t.other_attempt_heartbeat_number != heartbeats_) t.other_attempt = 0;
    if (t.other_attempt) {
        // The task is still on this machine, under another attempt. This answer carries the kill command for it, and
        // the worker executes commands in order.
        if (runs_.may_run(job, t)) runs_.add(job, task, machine, commands);
    } else if (t.reported) {
        tasks_.lose(job, task, now);
    } else if (!runs_.may_run(job, t)) {
        // Either no run command was sent, or this heartbeat is newer than the answer that carried it. The record of an
        // abandoned placement is written some seconds after other tasks have taken its share of the quota. A leader
        // that reads the old record must not start the task again.
        spdlog::debug("event=task_unassigned task={}/{} attempt={} machine={} why=not_reported", job.spec.uid, task,
                      t.attempt, machine.name);
        tasks_.leave(job, task, State::waiting, now);
    } else {
        runs_.add(job, task, machine, commands);
    }
}

// Handles an attempt above the recorded one. A run command is sent only after its placement is recorded, so the record
// was lost. During reconciliation the task is adopted on the machine that reports it under this term. No later attempt
// can exist, because placing one would have required evidence that this attempt is gone.
bool HeartbeatReconciler::adopt(Job& job, Machine& machine, const model::TaskReport& report, TimePoint now) {
    if (!state_.awaiting_reconciliation) {
        loss_evidence_ = loss_evidence_ || !job.cancelled;
        return false;
    }
    const auto i = report.id.index;
    auto& task = job.tasks[i];
    if (!machine.has_current_term || task.state == State::done || job.finished) return false;
    if (report.status == TaskStatus::exited && report.exit_reason != ExitReason::done) {
        // The attempt has exited, but its number must not be used again.
        task.attempt = std::max(task.attempt, report.attempt);
        job.gang_attempt = std::max(job.gang_attempt, report.attempt);
        tasks_.record_change(job, i, RecordUrgency::immediate, now);
        return false;
    }
    if (task.state == State::placed) tasks_.leave(job, i, State::waiting, now);
    std::erase(job.requeued, i);
    for (; job.first_unplaced <= i; ++job.first_unplaced)
        if (job.first_unplaced != i) job.requeued.push_back(job.first_unplaced);
    spdlog::info("event=task_adopted task={}/{} attempt={} machine={}", job.spec.uid, i, report.attempt, machine.name);
    tasks_.place(job, i, machine, report.attempt, now);
    job.tasks[i].run_sent = true;
    job.gang_attempt = std::max(job.gang_attempt, report.attempt);
    tasks_.record_change(job, i, RecordUrgency::immediate, now);
    return true;
}

// Stops the tasks that cannot finish before the machine is terminated, so that they save their progress and restart
// elsewhere. The remaining tasks are left to finish.
void HeartbeatReconciler::drain_before_termination(const Machine& machine, TimePoint now) {
    for (const auto& [uid, i] : machine.tasks) {
        auto* job = state_.jobs.find(uid);
        if (!job || job->is(JobKind::gang)) continue;
        auto& task = job->tasks[i];
        const Seconds left = *machine.terminates_at - now;
        const Seconds ran = task.started ? Seconds(now - task.running_since) : Seconds(0);
        const bool ends =
            job->is(JobKind::array) && task.started && job->spec.estimated_runtime - ran < left * max_remaining_share;
        if (!ends) task.draining = true;
    }
}

std::vector<TaskKey> HeartbeatReconciler::unreported_tasks(const Machine& machine) const {
    std::vector<TaskKey> out;
    for (const auto& key : machine.tasks) {
        const auto* job = state_.jobs.find(key.first);
        if (job && job->tasks[key.second].last_heartbeat_number != heartbeats_) out.push_back(key);
    }
    return out;
}

}  // namespace flintdale::scheduler
