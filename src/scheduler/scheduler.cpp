#include "scheduler/scheduler.hpp"

#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include <algorithm>

#include "model/command.hpp"
#include "model/heartbeat.hpp"
#include "model/job.hpp"
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
constexpr std::size_t max_orders = 300;                            // of some 100 bytes each: well within a line's limit
constexpr unsigned suspect_jobs = 2;                               // that failed on a machine and not everywhere
constexpr std::chrono::seconds first_pause{5}, longest_pause{60};  // between tries of a job that fails everywhere

constexpr Seconds write_later{8};  // how long the record of ended tasks may wait for other changes of the job
}  // namespace

Scheduler::Scheduler(const config::Settings& settings, const config::OperatorSettings& operator_settings,
                     const state::RecordFormat& record_format, std::uint64_t term, std::uint64_t term_revision,
                     TimePoint now)
    : settings_(settings),
      record_format_(record_format),
      operator_settings_(operator_settings),
      rules_{operator_settings.memory_margin, operator_settings.machine_type_groups},
      term_(term),
      term_revision_(term_revision),
      since_(now),
      teams_(quota::table_of(settings.teams)),
      spare_since_(now) {}

// --- jobs ---

Job* Scheduler::find(const std::string& uid) {
    const auto it = jobs_.find(uid);
    return it == jobs_.end() ? nullptr : it->second.get();
}

const Job* Scheduler::job(const std::string& uid) const {
    const auto it = jobs_.find(uid);
    return it == jobs_.end() ? nullptr : it->second.get();
}

std::int64_t Scheduler::window_at(std::int64_t ms) const {
    using std::chrono::milliseconds;
    const auto window =
        std::chrono::duration_cast<milliseconds>(model::to_clock(operator_settings_.batching_window)).count();
    return ms / std::max<std::int64_t>(1, window);
}

Job& Scheduler::create(JobSpec spec, TimePoint now, bool known_before) {
    auto job = std::make_unique<Job>();
    job->tasks.resize(spec.tasks);
    job->chunks.resize((spec.tasks + job->page - 1) / job->page);
    job->priority = spec.priority;
    job->arrived = now;
    const auto window = model::to_clock(operator_settings_.batching_window);
    job->window = window_at(spec.accepted_ms);
    // A window that a former leader opened has closed by now. And a critical service would come first in any window,
    // having no length: there is nothing to gather before it is placed.
    const bool first = spec.kind == JobKind::service && spec.priority == model::Priority::critical;
    job->eligible_at = known_before || first ? now : TimePoint((now.time_since_epoch() / window + 1) * window);
    job->spec = std::move(spec);
    auto& ref = *job;
    jobs_[ref.spec.uid] = std::move(job);
    teams_.opened(ref.spec);
    return ref;
}

void Scheduler::cancel(Job& job, TimePoint at) {
    if (job.cancelled) {
        job.cancelled_at = std::min(job.cancelled_at, at);
        return;
    }
    spdlog::info("event=job_cancelled job={} placed={}", job.spec.uid, job.placed);
    job.cancelled = true;
    job.cancelled_at = at;
    teams_.over(job.spec);
    for (std::uint32_t i = 0; i < job.spec.tasks && job.placed; ++i)
        // What no `run` was sent for is nowhere; the rest must be seen to go.
        if (auto& t = job.tasks[i]; t.state == State::placed && !t.sent) leave(job, i, State::waiting, at);
    mark_dirty(job.spec.uid);
}

std::vector<std::string> Scheduler::open_jobs() const {
    std::vector<std::string> out;
    for (const auto& [uid, job] : jobs_)
        if (!job->cancelled && !job->finished) out.push_back(uid);
    return out;
}

std::optional<JobCount> Scheduler::count(const std::string& uid) const {
    const auto* j = job(uid);
    if (!j) return std::nullopt;
    return JobCount{j->done, j->running};
}

std::vector<std::pair<std::string, JobCount>> Scheduler::take_changed_counts() {
    std::vector<std::pair<std::string, JobCount>> out;
    for (const auto& uid : counts_changed_)
        if (auto c = count(uid)) out.emplace_back(uid, *c);
    counts_changed_.clear();
    return out;
}

// --- tasks ---

void Scheduler::mark_dirty(const std::string& uid) {
    if (dirty_set_.insert(uid).second) dirty_.push_back(uid);
}

void Scheduler::mark_urgent(const std::string& uid) {
    if (dirty_set_.insert(uid).second)
        dirty_.push_front(uid);
    else if (const auto it = std::find(dirty_.begin(), dirty_.end(), uid); it != dirty_.begin()) {
        dirty_.erase(it);
        dirty_.push_front(uid);
    }
}

void Scheduler::touch(Job& job, std::uint32_t task, Write when, TimePoint now) {
    job.tasks[task].generation = ++job.generation;
    job.chunks[job.chunk_of(task)].changed = job.generation;
    counts_changed_.insert(job.spec.uid);
    if (when == Write::at_once)
        mark_dirty(job.spec.uid);
    else if (later_set_.insert(job.spec.uid).second)
        due_later_.emplace_back(after(now, write_later), job.spec.uid);
}

void Scheduler::mark_due(TimePoint now) {
    while (!due_later_.empty() && now >= due_later_.front().first) {
        mark_dirty(due_later_.front().second);
        later_set_.erase(due_later_.front().second);
        due_later_.pop_front();
    }
}

void Scheduler::set_placed(Job& job, std::uint32_t task, Machine& m, std::uint64_t attempt, TimePoint now) {
    auto& t = job.tasks[task];
    t.state = State::placed;
    t.machine = &m;
    t.attempt = attempt;
    t.placed_at = now;
    t.sent = t.seen = t.started = t.draining = t.parked = false;
    ++job.placed;
    if (job.is(JobKind::array)) ++array_tasks_[static_cast<std::size_t>(job.spec.priority)];
    inventory_.assign(m, {job.spec.uid, task}, job.spec, job.priority);
    spdlog::debug("event=task_placed task={}/{} class={} attempt={} machine={}", job.spec.uid, task, job.spec.job_class,
                  attempt, m.name);
    teams_.placed(job.spec.team, job.spec.need);
}

void Scheduler::leave(Job& job, std::uint32_t task, State next, TimePoint now) {
    auto& t = job.tasks[task];
    if (t.state == State::placed) {
        inventory_.unassign(*t.machine, {job.spec.uid, task}, job.spec, now);
        teams_.gone(job.spec.team, job.spec.need);
        --job.placed;
        if (job.is(JobKind::array)) --array_tasks_[static_cast<std::size_t>(job.spec.priority)];
        if (t.started) --job.running;
        if (t.parked) --job.parked;
    }
    t.machine = nullptr;
    t.sent = t.seen = t.started = t.draining = t.parked = false;
    t.state = next;
    if (next == State::waiting) job.again.push_back(task);
    // That a task ended needs no haste on record: its worker tells it again until then. Only the end of the whole job
    // does. Else every task of every array would cost a write of its own.
    const auto left = job.spec.tasks - job.done - (next == State::done);
    const bool over = job.cancelled || job.finished ? job.placed == 0 : left == 0;
    touch(job, task, over ? Write::at_once : Write::some_time, now);
    if (left == 0 && dependency_graph_.needed(job.spec.uid)) mark_urgent(job.spec.uid);
}

void Scheduler::lost(Job& job, std::uint32_t task, TimePoint now) {
    spdlog::debug("event=task_lost task={}/{} attempt={} machine={}", job.spec.uid, task, job.tasks[task].attempt,
                  job.tasks[task].machine ? job.tasks[task].machine->name : "");
    // Members of a running gang notice and exit; before the start a replacement can complete the gang.
    if (job.is(JobKind::gang) && job.gang_started) job.gang_failing = true;
    leave(job, task, State::waiting, now);
}

void Scheduler::all_lost(Machine& m, bool only_sent, TimePoint now) {
    const auto tasks = m.tasks;
    for (const auto& [uid, i] : tasks)
        if (auto* job = find(uid); job && (!only_sent || job->tasks[i].sent)) lost(*job, i, now);
}

void Scheduler::task_done(Job& job, std::uint32_t task, TimePoint now) {
    if (job.tasks[task].state == State::done) return;
    std::erase(job.again, task);
    if (job.doubtful()) {
        job.eligible_at = now;
        job.failures = 0;
        job.failed_on.clear();
    }
    leave(job, task, State::done, now);
    ++job.done;
}

void Scheduler::exited(Job& job, std::uint32_t task, Machine& m, const model::TaskReport& r, TimePoint now) {
    spdlog::debug("event=task_exited task={}/{} attempt={} machine={} cause={}", job.spec.uid, task, r.attempt, m.name,
                  static_cast<int>(r.exit_reason));
    if (r.exit_reason == ExitReason::done) {
        inventory_.has_image(m, {job.spec.uid, task}, job.spec);
        m.failed_jobs.clear();
        if (job.is(JobKind::gang)) {
            // A gang completes as one: whichever member says so first speaks for all.
            for (std::uint32_t i = 0; i < job.spec.tasks; ++i) task_done(job, i, now);
        } else {
            task_done(job, task, now);
        }
        return;
    }
    if (r.exit_reason == ExitReason::error) {
        blame(job, m, now);
    } else if (r.exit_reason == ExitReason::unknown_task || r.exit_reason == ExitReason::insufficient_resources ||
               r.exit_reason == ExitReason::conflicting_attempt) {
        job.eligible_at = std::max(job.eligible_at, now + 2s);
    }
    // It waited for the others, so it had its image; a leader that has just begun has not seen it wait.
    if (r.exit_reason == ExitReason::gang_incomplete) inventory_.has_image(m, {job.spec.uid, task}, job.spec);
    if (r.exit_reason == ExitReason::gang_incomplete && !job.gang_started && !job.gang_failing && !job.cancelled &&
        !m.terminates_at && !job.tasks[task].draining) {
        job.tasks[task].parked = true;
        if (++job.parked == 1) job.parked_since = now;
        parked_.insert(job.spec.uid);
        regroup(job, now);
        return;
    }
    if (job.is(JobKind::gang)) job.gang_failing = true;
    leave(job, task, State::waiting, now);
}

// A machine where several jobs failed that went well elsewhere is at fault. A job that fails wherever it goes says
// nothing about machines, and what it was the first to say is taken back.
void Scheduler::blame(Job& job, Machine& m, TimePoint now) {
    job.failed_on.insert(m.name);
    ++job.errors;
    m.failed_jobs.insert(job.spec.uid);
    if (job.doubtful()) {
        for (const auto& name : job.failed_on)
            if (auto* other = inventory_.find(name)) {
                other->failed_jobs.erase(job.spec.uid);
                other->quarantined = other->failed_jobs.size() >= suspect_jobs;
            }
        // What of it was under way together fails together, and counts once.
        if (now >= job.eligible_at) {
            const auto pause = std::min(first_pause * (1 << std::min(job.failures++, 8u)), longest_pause);
            job.eligible_at = now + pause;
            spdlog::debug("event=job_crash_looping job={} class={} errors={} pause={}", job.spec.uid,
                          job.spec.job_class, job.errors, pause.count());
        }
    } else if (m.failed_jobs.size() >= suspect_jobs) {
        if (!m.quarantined) spdlog::info("event=machine_quarantined machine={} type={}", m.name, m.type);
        m.quarantined = true;
    }
}

// Where fetching takes longer on some machines than a member waits for the others, an attempt that is given up as a
// whole loses what the slow ones have fetched so far, and the next one goes the same way. So a member that gave up
// keeps its place, and when the last one has its image all start under the next attempt where they are.
void Scheduler::regroup(Job& job, TimePoint now) {
    if (job.parked == 0 || job.placed < job.spec.tasks || job.gang_started || job.gang_failing || job.cancelled) return;
    for (std::uint32_t i = 0; i < job.spec.tasks; ++i) {
        const auto& t = job.tasks[i];
        if (!t.parked && (!t.seen || t.machine->fetching.contains({job.spec.uid, i}))) return;
    }
    ++job.gang_attempt;
    job.parked = 0;
    spdlog::debug("event=gang_restarted job={} attempt={}", job.spec.uid, job.gang_attempt);
    for (std::uint32_t i = 0; i < job.spec.tasks; ++i) {
        auto& t = job.tasks[i];
        t.attempt = job.gang_attempt;
        t.placed_at = now;
        t.sent = t.seen = t.parked = false;
        touch(job, i, Write::at_once, now);
    }
}

// A member that was lost may find no room for as long as others hold theirs for it: work that fits was left waiting
// beside such a place for over 90 s.
void Scheduler::unpark(TimePoint now) {
    std::erase_if(parked_, [&](const std::string& uid) {
        auto* job = find(uid);
        if (!job || job->parked == 0) return true;
        // All have a place: what is missing is an image.
        if (job->placed + job->done == job->spec.tasks) job->parked_since = now;
        if (now - job->parked_since <= model::to_clock(settings_.gang_barrier_timeout)) return false;
        spdlog::info("event=gang_reservation_released job={} parked={} placed={}", uid, job->parked, job->placed);
        for (std::uint32_t i = 0; i < job->spec.tasks; ++i)
            if (job->tasks[i].parked) leave(*job, i, State::waiting, now);
        return true;
    });
}

// --- reports ---

void Scheduler::held(Job& job, std::uint32_t task, Machine& m, const model::TaskReport& r,
                     std::vector<Command>& commands, TimePoint now) {
    auto& t = job.tasks[task];
    t.seen = t.sent = true;
    if (r.status != TaskStatus::fetching) {
        inventory_.has_image(m, {job.spec.uid, task}, job.spec);
        const bool runs = r.status == TaskStatus::running || r.status == TaskStatus::checkpointing;
        if (runs && !t.started) {
            t.started = true;
            t.running_since = now;
            ++job.running;
            spdlog::debug("event=task_started task={}/{} class={} machine={} after={:.1f}", job.spec.uid, task,
                          job.spec.job_class, m.name, Seconds(now - job.arrived).count());
            counts_changed_.insert(job.spec.uid);
        }
        if (runs) job.gang_started = true;
        regroup(job, now);
    }
    Command kill{CommandType::kill, r.id, r.attempt, Seconds(0)};
    if (job.cancelled || (job.is(JobKind::gang) && job.gang_failing)) {
        commands.push_back(kill);
    } else if (t.draining && r.status != TaskStatus::checkpointing) {
        kill.grace_period = job.spec.checkpoint_duration + 1s;
        commands.push_back(kill);
    }
}

void Scheduler::absent(Job& job, std::uint32_t task, Machine& m, std::vector<Command>& commands, TimePoint now) {
    auto& t = job.tasks[task];
    if (t.seen) {
        lost(job, task, now);
    } else if (job.cancelled || t.draining || job.finished || (job.is(JobKind::gang) && job.gang_failing) ||
               teams_.over_limit(job.spec.team)) {
        // Either no `run` was sent, or this report is newer than the answer that carried it. A task that was given up
        // before it ran is on record for some seconds after others have taken its part of the limit: the leader that
        // reads so must not start it again (quota).
        leave(job, task, State::waiting, now);
    } else {
        order_run(job, task, m, commands);
    }
}

void Scheduler::order_run(Job& job, std::uint32_t task, const Machine& m, std::vector<Command>& commands) {
    if (!job.durable(task) || m.releasing || commands.size() >= max_orders) return;
    // The intent is on record, so a leader after this one knows where to look for the task.
    job.tasks[task].sent = true;
    commands.push_back({CommandType::run, {job.spec.uid, task}, job.tasks[task].attempt, Seconds(0)});
}

// An attempt above the one on record: no `run` leaves before its placement is on record, so the record was lost. While
// the records are known to lack something, what a worker shows under this term is where the task is; a later attempt
// cannot exist, for it would have needed the evidence that this one is gone.
bool Scheduler::adopt(Job& job, Machine& m, const model::TaskReport& r, TimePoint now) {
    if (!unsettled_) {
        loss_seen_ = loss_seen_ || !job.cancelled;
        return false;
    }
    const auto i = r.id.index;
    auto& task = job.tasks[i];
    const bool ended = r.status == TaskStatus::exited;
    if (!m.current || task.state == State::done || job.finished) return false;
    if (ended && r.exit_reason != ExitReason::done) {
        // It is over, but no attempt may have that number again.
        task.attempt = std::max(task.attempt, r.attempt);
        job.gang_attempt = std::max(job.gang_attempt, r.attempt);
        touch(job, i, Write::at_once, now);
        return false;
    }
    if (task.state == State::placed) leave(job, i, State::waiting, now);
    std::erase(job.again, i);
    for (; job.fresh <= i; ++job.fresh)
        if (job.fresh != i) job.again.push_back(job.fresh);
    spdlog::info("event=task_adopted task={}/{} attempt={} machine={}", job.spec.uid, i, r.attempt, m.name);
    set_placed(job, i, m, r.attempt, now);
    job.tasks[i].sent = true;
    job.gang_attempt = std::max(job.gang_attempt, r.attempt);
    touch(job, i, Write::at_once, now);
    return true;
}

// With the last placements lost, any task that waits may be on any machine that was not heard. A list names all
// machines that are older than it lags; younger ones are named by a later one.
// A list may be twice as old as usual: one that came so long after this term began shows what there was in it.
model::Clock::duration Scheduler::list_age() const {
    return model::to_clock(settings_.machine_list_lag * 2 + Seconds(2));
}

// Whether all is known that may be on the machine: it has shown what it holds under this term, or it was still starting
// after this term had begun, so that no earlier leader's order can have reached it.
bool Scheduler::heard(const Machine& m) const {
    return (m.current && !with_strays_.contains(m.name)) || m.starting_at - list_age() >= since_;
}

bool Scheduler::all_listed() const { return listed_at_ - since_ >= list_age(); }

bool Scheduler::all_heard() const {
    return all_listed() && std::all_of(inventory_.all().begin(), inventory_.all().end(),
                                       [&](const auto& entry) { return heard(*entry.second); });
}

// What is unsettled shrinks with every machine that is heard: a job none of whose tasks can be on one that was not is
// as certain as ever. What a team may use is certain only in the end.
std::vector<Job*> Scheduler::certain(std::vector<Job*> jobs) const {
    std::set<placement::Id> unheard;
    bool anywhere = false;
    for (const auto& [name, m] : inventory_.all()) {
        if (heard(*m)) continue;
        anywhere = anywhere || m->type.empty();  // from a record, and not listed: nobody knows what it is
        unheard.insert(m->row.pool);
    }
    std::erase_if(jobs, [&](const Job* job) {
        if (anywhere || teams_.limited(job->spec.team)) return true;
        const auto& ask = ask_of(*job);
        return std::any_of(unheard.begin(), unheard.end(), [&](placement::Id pool) { return ask.takes(pool); });
    });
    return jobs;
}

// What is placed on the machine and was not in the report that is being heard: nothing, mostly.
std::vector<TaskKey> Scheduler::not_shown(const Machine& m) {
    std::vector<TaskKey> out;
    for (const auto& key : m.tasks)
        if (const auto* j = job(key.first); j && j->tasks[key.second].shown_in != reports_) out.push_back(key);
    return out;
}

std::optional<std::vector<Command>> Scheduler::handle_heartbeat(const model::Heartbeat& r, TimePoint now) {
    if (inventory_.gone(r.machine)) return std::nullopt;
    auto& m = inventory_.add(r.machine, r.type, r.zone, r.spot, now);
    if (m.reported && std::pair(r.incarnation, r.sequence) <= std::pair(m.incarnation, m.sequence)) return std::nullopt;
    if (!m.reported)
        spdlog::debug("event=machine_up machine={} type={} zone={} spot={}", r.machine, r.type, r.zone, r.spot);
    if (m.reported && r.incarnation > m.incarnation) {
        spdlog::info("event=worker_lease_expired machine={} tasks={} sure={}", m.name, m.tasks.size(), m.current);
        // What was placed before this term may have been started in this very session, if the report before was a copy
        // from an earlier one: it is gone only if the worker had seen this term in that session, when no older leader's
        // run could reach it any more. What this leader sent was sent after that.
        if (m.current) all_lost(m, true, now);
    }
    if (!m.reported) m.idle_since = now;
    m.reported = true;
    m.addr = r.addr;
    m.incarnation = r.incarnation;
    m.sequence = r.sequence;
    m.last_report = now;
    m.current = r.fencing_token == term_;
    m.reported_tasks = r.tasks.size();
    if (r.termination_notice) {
        if (!m.terminates_at)
            spdlog::info("event=termination_notice machine={} seconds={}", m.name, r.termination_notice->count());
        m.terminates_at = after(now, *r.termination_notice);
    }

    std::vector<Command> commands;
    ++reports_;
    bool strays = false;
    for (const auto& t : r.tasks) {
        auto* job = find(t.id.uid);
        const bool ended = t.status == TaskStatus::exited;
        if (!job || t.id.index >= job->spec.tasks) {
            strays = strays || !ended;
            // Records go only when a job is over, so nothing of it is wanted any more.
            if (commands.size() < max_orders)
                commands.push_back({ended ? CommandType::clear : CommandType::kill, t.id, t.attempt, Seconds(0)});
            continue;
        }
        auto& task = job->tasks[t.id.index];
        if (t.attempt > task.attempt && !adopt(*job, m, t, now)) strays = strays || !ended;
        const bool ours = task.state == State::placed && task.machine == &m && task.attempt == t.attempt;
        if (ours) {
            task.shown_in = reports_;
            if (!ended)
                held(*job, t.id.index, m, t, commands, now);
            else if (!task.parked)
                exited(*job, t.id.index, m, t, now);
            continue;
        }
        if (ended && t.exit_reason == ExitReason::done && task.state == State::waiting && !job->cancelled)
            task_done(*job, t.id.index, now);
        if (commands.size() >= max_orders) continue;
        // The worker may forget how a task ended only once the record says so.
        if (!ended)
            commands.push_back({CommandType::kill, t.id, t.attempt, Seconds(0)});
        else if (job->durable(t.id.index))
            commands.push_back({CommandType::clear, t.id, t.attempt, Seconds(0)});
    }
    if (unsettled_ && strays)
        with_strays_.insert(m.name);
    else if (unsettled_)
        with_strays_.erase(m.name);
    if (m.terminates_at) {
        // Tasks that cannot end before the machine goes are stopped, so that they save what they can and start
        // elsewhere; the others may as well finish.
        for (const auto& [uid, i] : m.tasks) {
            auto* job = find(uid);
            if (!job || job->is(JobKind::gang)) continue;
            auto& t = job->tasks[i];
            const Seconds left = *m.terminates_at - now;
            const Seconds ran = t.started ? Seconds(now - t.running_since) : Seconds(0);
            const bool ends = job->is(JobKind::array) && t.started && job->spec.estimated_runtime - ran < left * 0.8;
            if (!ends) t.draining = true;
        }
    }
    // Only a worker that has seen this term can no longer be reached by runs of an older one, and only then is
    // what it lacks really not there.
    if (m.current)
        for (const auto& [uid, i] : not_shown(m))
            if (auto* job = find(uid)) absent(*job, i, m, commands, now);
    return commands;
}

Scheduler::Prospect Scheduler::expected_work(const model::Heartbeat& r, std::uint64_t passes) const {
    const auto* m = inventory_.find(r.machine);
    if (!m || !m->current || m->releasing ||
        std::pair(m->incarnation, m->sequence) != std::pair(r.incarnation, r.sequence))
        return Prospect::nothing;
    for (const auto& [uid, i] : m->tasks)
        if (const auto* j = job(uid); j && !j->tasks[i].sent && !j->tasks[i].seen && !j->tasks[i].draining)
            return Prospect::a_write;
    return waiting_ && passes == passes_ && !m->cordoned && m->in_use() < 1 ? Prospect::a_plan : Prospect::nothing;
}

std::vector<Command> Scheduler::pending_runs(const model::Heartbeat& r) {
    std::vector<Command> out;
    auto* m = inventory_.find(r.machine);
    if (!m || !m->current || std::pair(m->incarnation, m->sequence) != std::pair(r.incarnation, r.sequence)) return out;
    for (const auto& [uid, i] : m->tasks) {
        auto* job = find(uid);
        if (!job || job->cancelled || job->finished || (job->is(JobKind::gang) && job->gang_failing)) continue;
        const auto& t = job->tasks[i];
        if (t.sent || t.seen || t.draining || out.size() + 2 > max_orders) continue;
        // A member that waits there under an attempt that was given up must make way first: a worker refuses a task
        // that it has under another attempt, and the gang would fail at once.
        for (const auto& old : r.tasks)
            if (old.id.uid == uid && old.id.index == i && old.attempt != t.attempt && job->durable(i) &&
                old.status != TaskStatus::exited)
                out.push_back({CommandType::kill, old.id, old.attempt, Seconds(0)});
        order_run(*job, i, *m, out);
    }
    return out;
}

std::size_t Scheduler::running_machines(TimePoint now) const {
    std::size_t n = 0;
    for (const auto& [name, m] : inventory_.all()) n += usable(*m, now);
    return n;
}

std::string Scheduler::summary(TimePoint now) const {
    std::map<std::string, std::uint32_t> waiting;
    for (const auto& [uid, job] : jobs_)
        if (job->runnable() && job->waiting()) waiting[job->spec.job_class] += job->waiting();
    struct Line {
        unsigned up = 0, booting = 0, unusable = 0, empty = 0, by_shape[3] = {};
        placement::Resources free;
    };
    std::map<std::string, Line> pools;
    for (const auto& [name, m] : inventory_.all()) {
        auto& line = pools[m->type + "/" + m->zone + (m->spot ? "/spot" : "")];
        ++(!m->reported ? line.booting : usable(*m, now) ? line.up : line.unusable);
        line.empty += m->reported && m->tasks.empty();
        if (m->reported) placement::give(line.free, m->row.free);
        for (const auto& [uid, i] : m->tasks)
            if (const auto* j = job(uid)) ++line.by_shape[static_cast<int>(j->spec.kind)];
    }
    std::string out = "waiting=";
    for (const auto& [name, n] : waiting) out += name + ":" + std::to_string(n) + ",";
    for (const auto& [pool, l] : pools)
        out += fmt::format(" {}=up:{},booting:{},unusable:{},empty:{},arrays:{},gangs:{},services:{},free_gpus:{:.0f}",
                           pool, l.up, l.booting, l.unusable, l.empty, l.by_shape[0], l.by_shape[1], l.by_shape[2],
                           l.free.gpus);
    return out;
}

}  // namespace flintdale::scheduler
