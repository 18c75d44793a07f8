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
constexpr auto rejection_pause = 2s;  // after a worker refused a task
// The share of a machine's remaining time that a task may be expected to need if it is left to finish there.
constexpr double safe_share = 0.8;

bool gang_fails(const Job& job) { return job.is(JobKind::gang) && job.gang_failing; }
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
        unknown_tasks = reconcile(machine, report, commands, now) || unknown_tasks;
    if (state_.awaiting_reconciliation) fleet_.set_unknown_tasks(machine, unknown_tasks);
    if (machine.terminates_at) drain_before_termination(machine, now);
    // Only a worker that has seen this term can no longer be reached by run commands of an older one, and only then is
    // a task that it does not show really not there.
    if (machine.has_current_term)
        for (const auto& [uid, i] : not_shown(machine))
            if (auto* job = state_.jobs.find(uid)) missing(*job, i, machine, commands, now);
    return commands;
}

void HeartbeatReconciler::update_machine(Machine& machine, const model::Heartbeat& heartbeat, TimePoint now) {
    if (!machine.reported)
        spdlog::debug("event=machine_up machine={} type={} zone={} spot={}", heartbeat.machine, heartbeat.type,
                      heartbeat.zone, heartbeat.spot);
    if (machine.reported && heartbeat.incarnation > machine.incarnation) {
        spdlog::info("event=worker_lease_expired machine={} tasks={} sure={}", machine.name, machine.tasks.size(),
                     machine.has_current_term);
        // What was placed before this term may have been started in this very incarnation, if the heartbeat before was
        // a copy from an earlier one: it is gone only if the worker had seen this term in that incarnation, when no
        // older leader's run command could reach it any more. What this leader sent was sent after that.
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

bool HeartbeatReconciler::reconcile(Machine& machine, const model::TaskReport& report, Commands& commands,
                                    TimePoint now) {
    auto* job = state_.jobs.find(report.id.uid);
    const auto i = report.id.index;
    const bool ended = report.status == TaskStatus::exited;
    if (!job || i >= job->spec.tasks) {
        // Records go only when a job is over, so nothing of it is wanted any more.
        clear_or_kill(report, true, commands);
        return !ended;
    }
    auto& task = job->tasks[i];
    const bool orphaned = report.attempt > task.attempt && !adopt(*job, machine, report, now) && !ended;
    const bool placed_here = task.state == State::placed && task.machine == &machine && task.attempt == report.attempt;
    if (placed_here) {
        task.shown_in = heartbeats_;
        if (!ended)
            confirmed(*job, machine, report, commands, now);
        else if (!task.at_barrier)
            exited(*job, machine, report, now);
        return orphaned;
    }
    if (ended && report.exit_reason == ExitReason::done && task.state == State::waiting && !job->cancelled)
        tasks_.complete(*job, i, now);
    // The worker may forget how a task ended only once the record says so.
    clear_or_kill(report, job->durable(i), commands);
    return orphaned;
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
    if (report.status != TaskStatus::fetching) {
        state_.inventory.image_ready(machine, {job.spec.uid, i}, job.spec);
        const bool runs = report.status == TaskStatus::running || report.status == TaskStatus::checkpointing;
        if (runs && !task.started) mark_started(job, i, machine, now);
        if (runs) job.gang_started = true;
        gangs_.restart_if_ready(job, now);
    }
    Command kill{CommandType::kill, report.id, report.attempt, Seconds(0)};
    if (job.cancelled || gang_fails(job)) {
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
    spdlog::debug("event=task_started task={}/{} class={} machine={} after={:.1f}", job.spec.uid, task,
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
        // It waited for the others, so it had its image; a leader that has just begun has not seen it wait.
        state_.inventory.image_ready(machine, {job.spec.uid, i}, job.spec);
        if (!job.gang_started && !job.gang_failing && !job.cancelled && !machine.terminates_at &&
            !job.tasks[i].draining) {
            gangs_.wait(job, i, now);
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
    // A gang completes as one: the first member that reports it speaks for all.
    for (std::uint32_t i = 0; i < job.spec.tasks; ++i) tasks_.complete(job, i, now);
}

void HeartbeatReconciler::missing(Job& job, std::uint32_t task, Machine& machine, Commands& commands, TimePoint now) {
    const auto& t = job.tasks[task];
    if (t.reported) {
        tasks_.lose(job, task, now);
    } else if (job.cancelled || t.draining || job.finished || gang_fails(job) ||
               state_.quota.over_limit(job.spec.team)) {
        // Either no run command was sent, or this heartbeat is newer than the answer that carried it. A task that was
        // given up before it ran is on record for some seconds after others have taken its part of the quota: the
        // leader that reads so must not start it again.
        tasks_.leave(job, task, State::waiting, now);
    } else {
        runs_.add(job, task, machine, commands);
    }
}

// An attempt above the one on record: no run command leaves before its placement is on record, so the record was lost.
// While the records are known to lack something, a task is where a worker shows it under this term; a later attempt
// cannot exist, for it would have needed the evidence that this one is gone.
bool HeartbeatReconciler::adopt(Job& job, Machine& machine, const model::TaskReport& report, TimePoint now) {
    if (!state_.awaiting_reconciliation) {
        loss_evidence_ = loss_evidence_ || !job.cancelled;
        return false;
    }
    const auto i = report.id.index;
    auto& task = job.tasks[i];
    if (!machine.has_current_term || task.state == State::done || job.finished) return false;
    if (report.status == TaskStatus::exited && report.exit_reason != ExitReason::done) {
        // It is over, but no attempt may have that number again.
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

// Tasks that cannot end before the machine is taken are stopped, so that they save what they can and start elsewhere;
// the others may as well finish.
void HeartbeatReconciler::drain_before_termination(const Machine& machine, TimePoint now) {
    for (const auto& [uid, i] : machine.tasks) {
        auto* job = state_.jobs.find(uid);
        if (!job || job->is(JobKind::gang)) continue;
        auto& task = job->tasks[i];
        const Seconds left = *machine.terminates_at - now;
        const Seconds ran = task.started ? Seconds(now - task.running_since) : Seconds(0);
        const bool ends =
            job->is(JobKind::array) && task.started && job->spec.estimated_runtime - ran < left * safe_share;
        if (!ends) task.draining = true;
    }
}

std::vector<TaskKey> HeartbeatReconciler::not_shown(const Machine& machine) const {
    std::vector<TaskKey> out;
    for (const auto& key : machine.tasks) {
        const auto* job = state_.jobs.find(key.first);
        if (job && job->tasks[key.second].shown_in != heartbeats_) out.push_back(key);
    }
    return out;
}

}  // namespace flintdale::scheduler
