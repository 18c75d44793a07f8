#include "scheduler/task_transitions.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace flintdale::scheduler {

using State = Task::State;

namespace {
constexpr Seconds deferred_write{
    8};  // maximum delay of the records of ended tasks, so that other changes of the job join the write
}  // namespace

void TaskTransitions::record_change(Job& job, std::uint32_t task, RecordUrgency urgency, TimePoint now) {
    job.tasks[task].generation = ++job.generation;
    job.chunks[job.chunk_of(task)].changed = job.generation;
    state_.jobs.mark_count_changed(job.spec.uid);
    if (urgency == RecordUrgency::immediate)
        state_.record_queue.add(job.spec.uid);
    else
        state_.record_queue.add_later(job.spec.uid, after(now, deferred_write));
}

void TaskTransitions::place(Job& job, std::uint32_t task, Machine& machine, std::uint64_t attempt, TimePoint now) {
    auto& t = job.tasks[task];
    t.state = State::placed;
    t.machine = &machine;
    t.attempt = attempt;
    t.placed_at = now;
    t.other_attempt = 0;
    t.run_sent = t.reported = t.started = t.draining = t.at_barrier = false;
    ++job.placed;
    if (job.is(model::JobKind::array)) ++state_.placed_array_tasks[static_cast<std::size_t>(job.spec.priority)];
    state_.inventory.assign(machine, {job.spec.uid, task}, job.spec, job.priority);
    spdlog::debug("event=task_placed task={}/{} class={} attempt={} machine={}", job.spec.uid, task, job.spec.job_class,
                  attempt, machine.name);
    state_.quota.task_placed(job.spec.team, job.spec.need);
}

void TaskTransitions::leave(Job& job, std::uint32_t task, State next, TimePoint now) {
    auto& t = job.tasks[task];
    if (t.state == State::placed) {
        state_.inventory.unassign(*t.machine, {job.spec.uid, task}, job.spec, now);
        state_.quota.task_gone(job.spec.team, job.spec.need);
        --job.placed;
        if (job.is(model::JobKind::array)) --state_.placed_array_tasks[static_cast<std::size_t>(job.spec.priority)];
        if (t.started) --job.running;
        if (t.at_barrier) --job.members_at_barrier;
    }
    t.machine = nullptr;
    t.other_attempt = 0;
    t.run_sent = t.reported = t.started = t.draining = t.at_barrier = false;
    t.state = next;
    if (next == State::waiting) job.requeued.push_back(task);
    // The end of a single task may be recorded late, because its worker reports it until it is recorded. Only the end
    // of the whole job is written at once. Otherwise every task of every array would need a write of its own.
    const auto left = job.spec.tasks - job.done - (next == State::done);
    const bool over = job.cancelled || job.finished ? job.placed == 0 : left == 0;
    record_change(job, task, over ? RecordUrgency::immediate : RecordUrgency::deferred, now);
    if (left == 0 && state_.dependencies.has_dependents(job.spec.uid)) state_.record_queue.add_first(job.spec.uid);
}

void TaskTransitions::lose(Job& job, std::uint32_t task, TimePoint now) {
    spdlog::debug("event=task_lost task={}/{} attempt={} machine={}", job.spec.uid, task, job.tasks[task].attempt,
                  job.tasks[task].machine ? job.tasks[task].machine->name : "");
    // Members of a running gang notice the loss and exit. Before the start, a replacement can complete the gang.
    if (job.is(model::JobKind::gang) && job.gang_started) job.gang_failing = true;
    leave(job, task, State::waiting, now);
}

void TaskTransitions::lose_all(Machine& machine, bool only_sent, TimePoint now) {
    const auto tasks = machine.tasks;
    for (const auto& [uid, i] : tasks)
        if (auto* job = state_.jobs.find(uid); job && (!only_sent || job->tasks[i].run_sent)) lose(*job, i, now);
}

void TaskTransitions::complete(Job& job, std::uint32_t task, TimePoint now) {
    if (job.tasks[task].state == State::done) return;
    std::erase(job.requeued, task);
    if (job.crash_looping()) {
        job.eligible_at = now;
        job.back_offs = 0;
        job.failed_on.clear();
    }
    leave(job, task, State::done, now);
    ++job.done;
}

}  // namespace flintdale::scheduler
