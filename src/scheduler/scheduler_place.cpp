// What the scheduler places where, and which tasks it stops for that.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "model/job.hpp"
#include "scheduler/scheduler.hpp"

namespace flintdale::scheduler {

using namespace std::chrono_literals;
using model::JobKind;
using model::Priority;
using placement::Host;
using placement::JobHosts;
using placement::Planner;
using State = Task::State;

namespace {
constexpr auto preempt_gap = 10s;   // enough for what was stopped to go and for its room to be taken
constexpr auto room_again = 30s;    // until room for a job's replicas may be made once more
constexpr unsigned max_holds = 50;  // gangs that room is held for in one pass
constexpr std::int64_t merged_window = -1;
constexpr double nearly_all = 0.95;  // of the machines with work, that a new leader wants to have heard
}  // namespace

bool Scheduler::usable(const Machine& m, TimePoint now) const {
    return m.reported && !m.releasing && !m.retiring && !m.cordoned && !m.quarantined && !m.terminates_at &&
           !m.listed_failed && now - m.last_report < model::to_clock(settings_.heartbeat_interval * quiet_reports);
}

const placement::Ask& Scheduler::ask_of(const Job& job) const {
    // Pools become known as machines of theirs appear.
    if (job.ask.pools.size() != inventory_.directory().pools().size() || !job.ask.spec)
        job.ask = placement::make_ask(job.spec, rules_, inventory_.directory());
    job.ask.priority = job.priority;
    return job.ask;
}

JobHosts Scheduler::hosts_of(const Job& job) const {
    JobHosts out;
    if (job.placed)
        for (const auto& t : job.tasks)
            if (t.state == State::placed) {
                out.add_to_zone(t.machine->row.zone);
                out.own.push_back(t.machine->row.slot);
            }
    // The replacement of a gang's task must not meet its own earlier exit.
    if (job.is(JobKind::gang)) out.excluded = out.own;
    // Where some of a job goes well and some fails on many machines, the machines are not to blame.
    if (job.failed_on.size() <= 2 || job.doubtful())
        for (const auto& name : job.failed_on)
            if (const auto* m = inventory_.find(name)) out.excluded.push_back(m->row.slot);
    return out;
}

std::vector<Job*> Scheduler::queue(TimePoint now, bool eligible_only) {
    std::vector<std::pair<placement::Waiting, Job*>> waiting;
    const bool guarantees = teams_.any_guarantee();
    for (auto& [uid, job] : jobs_) {
        if (!job->runnable() || job->waiting() == 0) continue;
        if (eligible_only && now < job->eligible_at) continue;
        placement::Waiting w;
        w.guaranteed = guarantees && guaranteed(*job);
        w.priority = job->priority;
        // What its window could not place waits in one queue with the rest of that kind, ahead of new windows:
        // else, under load, the order would be that of arrival, and the short would wait for the long.
        w.window = job->passed_over ? merged_window : job->window;
        w.length = job->spec.estimated_runtime * job->waiting();
        w.waited = now - job->arrived;
        w.uid = uid;
        waiting.emplace_back(w, job.get());
    }
    std::sort(waiting.begin(), waiting.end(), [&](const auto& a, const auto& b) {
        return placement::before(a.first, b.first, operator_settings_.aging_rate);
    });
    std::vector<Job*> out;
    out.reserve(waiting.size());
    for (auto& [w, job] : waiting) out.push_back(job);
    return out;
}

Planner Scheduler::planner(TimePoint now) const {
    std::vector<Host> hosts;
    for (const auto& [name, m] : inventory_.all())
        if (usable(*m, now) && (!unsettled_ || heard(*m))) hosts.push_back(m->row);
    return Planner(std::move(hosts), rules_.memory_margin);
}

// How many of so many tasks the team's limit leaves room for. All tasks that may be on a machine count.
std::uint32_t Scheduler::within_limit(const Job& job, std::uint32_t tasks) const {
    return teams_.room(job.spec.team, job.spec.need, tasks);
}

std::uint32_t Scheduler::take_waiting(Job& job) {
    while (!job.again.empty()) {
        const auto i = job.again.front();
        job.again.pop_front();
        if (job.tasks[i].state == State::waiting) return i;
    }
    while (job.tasks[job.fresh].state != State::waiting) ++job.fresh;
    return job.fresh++;
}

void Scheduler::place_gang(Job& job, Planner& plan, TimePoint now, bool& any) {
    const auto& ask = ask_of(job);
    if (job.placed > 0) {
        // Tasks of an attempt that is ending must all be gone before the next one starts. Until an attempt has
        // started, tasks that it lost are replaced under its own number.
        if (job.gang_failing || job.gang_started) return;
        auto hosts = hosts_of(job);
        const auto missing = job.waiting();
        if (within_limit(job, missing) < missing) return;
        for (const auto at : plan.place_many(ask, hosts, missing)) {
            const auto i = take_waiting(job);
            set_placed(job, i, *inventory_.at(plan.host(at).slot), job.gang_attempt, now);
            touch(job, i, Write::at_once, now);
            any = true;
        }
        return;
    }
    // Members complete together, but one may have been heard to be done whose fellow was lost with its machine before
    // it could tell. It is not placed again; the fellow is, and exits as done. To place all was to count one task as
    // done and as placed, and the next pass placed four thousand million more: the process ended.
    const auto missing = job.waiting();
    if (within_limit(job, missing) < missing) return;
    auto hosts = hosts_of(job);
    const auto places = plan.place_together(ask, hosts, missing);
    if (places.empty()) {
        // Room for a whole gang seldom comes about by itself while smaller tasks take all that frees.
        // Each looks at every machine, so a long queue of gangs has it done for those whose turn may come.
        if (!job.doubtful() && holds_++ < max_holds) plan.hold_for(ask, missing);
        return;
    }
    ++job.gang_attempt;
    job.gang_started = job.gang_failing = false;
    job.again.clear();
    job.fresh = job.spec.tasks;
    std::size_t next = 0;
    for (std::uint32_t i = 0; i < job.spec.tasks; ++i) {
        if (job.tasks[i].state != State::waiting) continue;
        set_placed(job, i, *inventory_.at(plan.host(places[next++]).slot), job.gang_attempt, now);
        touch(job, i, Write::at_once, now);
    }
    any = true;
}

void Scheduler::place_each(Job& job, Planner& plan, TimePoint now, bool& any) {
    const auto& ask = ask_of(job);
    auto hosts = hosts_of(job);
    auto most = within_limit(job, std::min(job.waiting(), max_planned_tasks));
    if (job.doubtful()) {
        // Another machine tells most, and any will do once all have failed it.
        most = std::min(most, job.placed ? 0u : 1u);
        if (most > 0 && plan.peek(ask, hosts) == Planner::none) hosts.excluded.clear();
    }
    const auto put = [&](std::size_t at) {
        const auto i = take_waiting(job);
        set_placed(job, i, *inventory_.at(plan.host(at).slot), job.tasks[i].attempt + 1, now);
        touch(job, i, Write::at_once, now);
        any = true;
    };
    if (now < job.room_made_by) {
        // Room is being made for the rest of the job: nothing else will do until then.
        for (; most > 0; --most) {
            const auto at = plan.peek(ask, hosts);
            if (at == Planner::none || !plan.host(at).has(ask.image) || !plan.place_at(at, ask, hosts, 1)) return;
            put(at);
        }
        return;
    }
    most -= room_with_image(job, plan, hosts, most, now);
    if (leaves_ordinary(job, now)) {
        auto spot = ask;
        for (std::size_t i = 0; i < spot.pools.size(); ++i)
            spot.pools[i] = spot.pools[i] && inventory_.directory().pools()[i].spot;
        for (const auto at : plan.place_many(spot, hosts, most)) put(at);
        return;
    }
    for (const auto at : plan.place_many(ask, hosts, most)) put(at);
}

// An array that may use spot machines leaves the others, for half of its time, to gangs that may not and found no room:
// those would be rented room at several times the price, while arrays hold the machines that suit them.
bool Scheduler::leaves_ordinary(const Job& job, TimePoint now) const {
    return gangs_wait_ && job.spec.spot && job.is(JobKind::array) && job.priority <= Priority::normal &&
           now - job.arrived < model::to_clock(target_of(job.spec) * 0.5);
}

placement::Ask Scheduler::at_least(const Job& job, unsigned slots) const {
    auto ask = ask_of(job);
    const auto& pools = inventory_.directory().pools();
    for (std::size_t i = 0; i < ask.pools.size(); ++i)
        if (const auto* type = inventory_.type(pools[i].type);
            !type || placement::slots(job.spec.need, type->capacity) < slots)
            ask.pools[i] = false;
    return ask;
}

// A new leader hears one round of reports first: until then it does not know the load. If no work was on record
// when it began, there is no load to hear of.
bool Scheduler::round_heard(TimePoint now) const {
    if (unsettled_ && !all_listed()) return false;
    if (!inherited_ || now >= after(since_, settings_.heartbeat_interval * 1.25 + 500ms)) return true;
    // Workers hurry to a higher term. Some are gone for good, and the rest need not wait for those.
    double working = 0, heard = 0;
    for (const auto& [name, m] : inventory_.all()) {
        working += !m->tasks.empty();
        heard += !m->tasks.empty() && m->reported;
    }
    return heard >= working * nearly_all;
}

std::vector<TaskKey> Scheduler::victims(const Job& job, const Machine& m, Host& host, const Planner& plan,
                                        const JobHosts& hosts, const std::vector<TaskKey>& spared, TimePoint now,
                                        Seconds& loss) const {
    const auto& ask = ask_of(job);
    std::vector<std::pair<Seconds, TaskKey>> stoppable;
    for (const auto& key : m.tasks) {
        const auto* other = this->job(key.first);
        if (!other || !other->is(JobKind::array) || !gives_way(*other, job)) continue;
        const auto& t = other->tasks[key.second];
        if (t.draining || std::find(spared.begin(), spared.end(), key) != spared.end()) continue;
        const Seconds ran = t.started ? Seconds(now - t.running_since) : Seconds(0);
        // What is about to end makes room by itself, sooner than an order reaches it.
        if (t.started && other->spec.estimated_runtime - ran < settings_.heartbeat_interval) continue;
        stoppable.emplace_back(
            other->spec.checkpoint_interval.count() > 0 ? std::min(other->spec.checkpoint_duration, ran) : ran, key);
    }
    std::sort(stoppable.begin(), stoppable.end());
    std::vector<TaskKey> out;
    loss = host.image_wait(ask.image, job.spec.image_gb);
    for (const auto& [lost, key] : stoppable) {
        if (plan.would_take(host, ask, hosts)) break;
        placement::give(host.free, this->job(key.first)->spec.need);
        --host.load;
        loss += lost;
        out.push_back(key);
    }
    if (!plan.would_take(host, ask, hosts)) out.clear();
    return out;
}

// Whether tasks of arrays of a lower rank than that are placed anywhere.
bool Scheduler::lower_arrays(Priority priority) const {
    for (std::size_t r = 0; r < static_cast<std::size_t>(priority); ++r)
        if (array_tasks_[r] > 0) return true;
    return false;
}

// Within a team by rank. What one team is guaranteed gives way to no other, and other teams' work beyond their own
// guarantee gives way to it, of whatever rank.
bool Scheduler::gives_way(const Job& other, const Job& job) const {
    if (other.spec.team != job.spec.team) {
        if (guaranteed(other)) return false;
        if (guaranteed(job)) return true;
    }
    return other.priority < job.priority;
}

// What is being stopped already, by team.
std::map<std::string, quota::Amount> Scheduler::stopping() const {
    std::map<std::string, quota::Amount> out;
    for (const auto& [name, m] : inventory_.all())
        for (const auto& [uid, i] : m->tasks)
            if (const auto* j = job(uid); j && (j->tasks[i].draining || j->cancelled)) {
                auto& amount = out[j->spec.team];
                amount.cpus += j->spec.need.cpus;
                amount.gpus += j->spec.need.gpus;
            }
    return out;
}

void Scheduler::stop_for(const Job& job, const std::vector<TaskKey>& tasks) {
    std::map<std::string, quota::Amount> on_the_way;
    if (guaranteed(job)) on_the_way = stopping();
    for (const auto& [uid, i] : tasks) {
        const auto& other = *find(uid);
        if (other.spec.team != job.spec.team && other.priority >= job.priority) {
            auto& amount = on_the_way[other.spec.team];
            if (!teams_.may_stop(other.spec.team, amount, other.spec.need)) continue;
            amount.cpus += other.spec.need.cpus;
            amount.gpus += other.spec.need.gpus;
        }
        auto& t = find(uid)->tasks[i];
        spdlog::info("event=task_preempted task={}/{} machine={} for={}", uid, i, t.machine->name, job.spec.uid);
        t.draining = true;
    }
}

// Makes room for tasks that found none: stops tasks of arrays of lower rank, where that loses the least work, until all
// that waits would fit; of a gang all or nothing. What is stopped can never do the same in turn, so this cannot go on
// in circles. Without it a guest's idle tasks, on for minutes, keep gangs from machines whose accelerators lie idle.
void Scheduler::preempt(Job& job, const Planner& plan, TimePoint now) {
    if (now < job.preempt_again || job.doubtful() || !(lower_arrays(job.priority) || guaranteed(job))) return;
    const bool together = job.is(JobKind::gang);
    if (together && (job.gang_failing || job.gang_started)) return;
    auto wanted = std::min(job.waiting(), max_planned_tasks);
    const auto limit = within_limit(job, wanted);
    if (limit == 0 || (together && limit < wanted)) return;
    wanted = limit;
    job.preempt_again = now + preempt_gap;
    const auto hosts = hosts_of(job);
    const auto& ask = ask_of(job);
    struct Room {
        Seconds loss;
        placement::Id zone;
        std::vector<TaskKey> tasks;
        bool operator<(const Room& o) const { return loss != o.loss ? loss < o.loss : tasks < o.tasks; }
    };
    std::vector<Room> rooms;
    for (const auto& [name, m] : inventory_.all()) {
        if (m->tasks.empty() || !usable(*m, now) || !m->current || !ask.takes(m->row.pool)) continue;
        // One task of the job more on that machine with every turn, for as long as that costs anything.
        auto host = m->row;
        std::vector<TaskKey> stopped;
        for (std::uint32_t n = 0; n < wanted; ++n) {
            Room room{Seconds(0), host.zone, {}};
            room.tasks = victims(job, *m, host, plan, hosts, stopped, now, room.loss);
            if (room.tasks.empty()) break;
            stopped.insert(stopped.end(), room.tasks.begin(), room.tasks.end());
            placement::take(host.free, job.spec.need);
            ++host.load;
            rooms.push_back(std::move(room));
        }
    }
    if (rooms.empty()) return;
    std::sort(rooms.begin(), rooms.end());
    std::uint32_t lacking = wanted;
    if (together) {
        // What is free already counts, and a gang of one zone takes the zone where least has to be stopped.
        std::map<placement::Id, std::uint32_t> per_zone;
        std::optional<placement::Id> zone;
        for (const auto& room : rooms) {
            const auto there = ++per_zone[job.spec.one_zone ? room.zone : placement::unknown_zone];
            const auto only = job.spec.one_zone ? std::optional(room.zone) : std::nullopt;
            const auto free = static_cast<std::uint32_t>(plan.room_in(ask, hosts, wanted, only));
            if (free + there < wanted) continue;
            zone = only;
            lacking = wanted - std::min(free, wanted);
            per_zone.clear();
            break;
        }
        if (!per_zone.empty()) return;
        if (zone) std::erase_if(rooms, [&](const Room& r) { return r.zone != *zone; });
    }
    if (rooms.size() > lacking) rooms.resize(lacking);
    for (const auto& room : rooms) stop_for(job, room.tasks);
}

// How many tasks of a critical service wait for room that is being made on machines that have its image. Where there is
// room now the image may take minutes; to stop a task of an array that saves costs seconds.
std::uint32_t Scheduler::room_with_image(Job& job, const Planner& plan, const JobHosts& hosts, std::uint32_t tasks,
                                         TimePoint now) {
    if (job.priority != Priority::critical || !job.is(JobKind::service) || tasks == 0) return 0;
    const auto& ask = ask_of(job);
    const auto at = plan.peek(ask, hosts);
    if (at == Planner::none) return 0;
    const auto wait = plan.host(at).image_wait(ask.image, job.spec.image_gb);
    const Seconds until_free = settings_.heartbeat_interval * 1.25 + model::Seconds(3);
    if (wait < until_free * 3) return 0;
    // Room that was made and is not enough is not made again at once; replicas lost later have their own turn.
    if (job.room_made_by != TimePoint{} && now < job.room_made_by + room_again) return 0;
    struct Room {
        Seconds loss;
        std::vector<TaskKey> tasks;
    };
    std::vector<Room> rooms;
    for (const auto& [name, m] : inventory_.all()) {
        if (!m->row.has(ask.image) || !usable(*m, now) || !m->current || !ask.takes(m->row.pool)) continue;
        Room room;
        auto host = m->row;
        room.tasks = victims(job, *m, host, plan, hosts, {}, now, room.loss);
        if (!room.tasks.empty() && (room.loss + until_free) * 2 < wait) rooms.push_back(std::move(room));
    }
    if (rooms.empty()) return 0;
    std::sort(rooms.begin(), rooms.end(),
              [](const Room& a, const Room& b) { return a.loss != b.loss ? a.loss < b.loss : a.tasks < b.tasks; });
    if (rooms.size() > tasks) rooms.resize(tasks);
    for (const auto& room : rooms) stop_for(job, room.tasks);
    job.room_made_by = after(now, until_free);
    return static_cast<std::uint32_t>(rooms.size());
}

bool Scheduler::place(TimePoint now) {
    mark_due(now);
    if (unsettled_ && all_heard()) {
        spdlog::info("event=reconciliation_complete term={} seconds={:.1f}", term_, Seconds(now - since_).count());
        unsettled_ = false;
    }
    if (!round_heard(now)) return false;
    bool any = false;
    ++passes_;
    holds_ = 0;
    waiting_ = false;
    auto plan = planner(now);
    finish_moves(plan, now, any);
    auto waiting = queue(now, true);
    if (unsettled_) waiting = certain(std::move(waiting));
    gangs_wait_ = std::any_of(waiting.begin(), waiting.end(), [](const Job* job) {
        return job->is(JobKind::gang) && !job->spec.spot && job->passed_over && job->placed == 0 && !job->doubtful();
    });
    for (auto* job : waiting) {
        if (job->is(JobKind::gang))
            place_gang(*job, plan, now, any);
        else
            place_each(*job, plan, now, any);
        if (job->passed_over) preempt(*job, plan, now);
        job->passed_over = job->waiting() > 0;
        if (job->passed_over && !job->doubtful()) {
            no_room_at_ = now;
            waiting_ = true;
        }
    }
    // What is spare no longer can be used in the next round, which comes in a moment.
    if (no_room_at_ == now) uncordon();
    return any;
}

}  // namespace flintdale::scheduler
