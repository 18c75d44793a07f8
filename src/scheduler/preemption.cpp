#include "scheduler/preemption.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace flintdale::scheduler {

using namespace std::chrono_literals;
using model::JobKind;
using model::Priority;
using placement::JobHosts;
using placement::Planner;

namespace {
// Delay until the job may preempt again; victims exit and their room is used within it.
constexpr auto preemption_interval = 10s;
constexpr auto room_retry_interval = 30s;  // delay until room for the replicas of a service may be made again
// The image fetch must take this many times the time until the victims are gone.
constexpr int min_fetch_to_wait_ratio = 3;
constexpr int min_fetch_to_loss_ratio = 2;  // the image fetch must take this many times the loss by preemption

void add(quota::Amount& amount, const model::Resources& need) {
    amount.cpus += need.cpus;
    amount.gpus += need.gpus;
}
}  // namespace

std::vector<std::pair<Seconds, TaskKey>> Preemption::preemptible_on(const Job& job, const Machine& machine,
                                                                    const std::vector<TaskKey>& already_stopped,
                                                                    TimePoint now) const {
    std::vector<std::pair<Seconds, TaskKey>> out;
    for (const auto& key : machine.tasks) {
        const auto* other = state_.jobs.find(key.first);
        if (!other || !other->is(JobKind::array) || !is_preemptible_by(*other, job)) continue;
        const auto& task = other->tasks[key.second];
        if (task.draining) continue;
        if (std::find(already_stopped.begin(), already_stopped.end(), key) != already_stopped.end()) continue;
        const Seconds ran = task.started ? Seconds(now - task.running_since) : Seconds(0);
        // The task ends before a kill command would reach it.
        if (task.started && other->spec.estimated_runtime - ran < state_.settings.heartbeat_interval) continue;
        const bool saves = other->spec.checkpoint_interval.count() > 0;
        out.emplace_back(saves ? std::min(other->spec.checkpoint_duration, ran) : ran, key);
    }
    std::sort(out.begin(), out.end());
    return out;
}

Preemption::Room Preemption::room_on(const Job& job, const Machine& machine, placement::Host& host, const Planner& plan,
                                     const JobHosts& hosts, const std::vector<TaskKey>& already_stopped,
                                     TimePoint now) const {
    const auto& ask = demand_.ask_of(job);
    Room room{host.image_wait(ask.image, job.spec.image_gb), host.zone, {}};
    for (const auto& [lost, key] : preemptible_on(job, machine, already_stopped, now)) {
        if (plan.would_take(host, ask, hosts)) break;
        placement::add_resources(host.free, state_.jobs.find(key.first)->spec.need);
        --host.load;
        room.loss += lost;
        room.victims.push_back(key);
    }
    if (!plan.would_take(host, ask, hosts)) room.victims.clear();
    return room;
}

// Whether any array task with a priority below `priority` is placed.
bool Preemption::any_lower_arrays(Priority priority) const {
    for (std::size_t lower = 0; lower < static_cast<std::size_t>(priority); ++lower)
        if (state_.placed_array_tasks[lower] > 0) return true;
    return false;
}

// Within a team the priority decides. Between teams the guaranteed shares decide, regardless of priority: a job within
// its team's share is never preempted, and it preempts jobs beyond their own team's share. If neither job is within its
// share, the priority decides.
bool Preemption::is_preemptible_by(const Job& other, const Job& job) const {
    if (other.spec.team != job.spec.team) {
        if (demand_.guaranteed(other)) return false;
        if (demand_.guaranteed(job)) return true;
    }
    return other.priority < job.priority;
}

std::map<std::string, quota::Amount> Preemption::being_stopped() const {
    std::map<std::string, quota::Amount> out;
    for (const auto& [name, machine] : state_.inventory.all())
        for (const auto& [uid, i] : machine->tasks) {
            const auto* job = state_.jobs.find(uid);
            if (job && (job->tasks[i].draining || job->cancelled)) add(out[job->spec.team], job->spec.need);
        }
    return out;
}

void Preemption::stop(const Job& job, const std::vector<TaskKey>& victims) {
    std::map<std::string, quota::Amount> stopping;
    if (demand_.guaranteed(job)) stopping = being_stopped();
    for (const auto& [uid, i] : victims) {
        auto& other = *state_.jobs.find(uid);
        if (other.spec.team != job.spec.team && other.priority >= job.priority) {
            auto& amount = stopping[other.spec.team];
            if (!state_.quota.may_preempt(other.spec.team, amount, other.spec.need)) continue;
            add(amount, other.spec.need);
        }
        auto& task = other.tasks[i];
        spdlog::info("event=task_preempted task={}/{} machine={} for_job={}", uid, i, task.machine->name, job.spec.uid);
        task.draining = true;
    }
}

// A preempted job can never preempt tasks of the job that preempted it, so preemption cannot cycle. Without preemption,
// idle-priority tasks of one team that run for minutes would keep gangs off machines with unused accelerators.
void Preemption::preempt(Job& job, const Planner& plan, TimePoint now) {
    if (now < job.next_preemption_at || job.crash_looping()) return;
    if (!any_lower_arrays(job.priority) && !demand_.guaranteed(job)) return;
    const bool gang = job.is(JobKind::gang);
    if (gang && (job.gang_failing || job.gang_started)) return;
    const auto waiting = std::min(job.waiting(), max_planned_tasks);
    const auto wanted = demand_.within_quota(job, waiting);
    if (wanted == 0 || (gang && wanted < waiting)) return;
    job.next_preemption_at = now + preemption_interval;
    const auto hosts = demand_.hosts_of(job);
    auto rooms = rooms_for(job, wanted, plan, hosts, now);
    if (rooms.empty()) return;
    std::sort(rooms.begin(), rooms.end());
    if (gang)
        keep_rooms_for_gang(job, wanted, plan, hosts, rooms);
    else if (rooms.size() > wanted)
        rooms.resize(wanted);
    for (const auto& room : rooms) stop(job, room.victims);
}

std::vector<Preemption::Room> Preemption::rooms_for(const Job& job, std::uint32_t wanted, const Planner& plan,
                                                    const JobHosts& hosts, TimePoint now) const {
    const auto& ask = demand_.ask_of(job);
    std::vector<Room> rooms;
    for (const auto& [name, machine] : state_.inventory.all()) {
        if (machine->tasks.empty() || !fleet_.usable(*machine, now) || !machine->has_current_term) continue;
        if (!ask.allows(machine->row.pool)) continue;
        // Each iteration makes room for one more task of the job, until no victims are needed or none are left.
        auto host = machine->row;
        std::vector<TaskKey> stopped;
        for (std::uint32_t n = 0; n < wanted; ++n) {
            auto room = room_on(job, *machine, host, plan, hosts, stopped, now);
            if (room.victims.empty()) break;
            stopped.insert(stopped.end(), room.victims.begin(), room.victims.end());
            placement::subtract_resources(host.free, job.spec.need);
            ++host.load;
            rooms.push_back(std::move(room));
        }
    }
    return rooms;
}

// Free room counts first. A gang that must be in one zone takes the zone that needs the fewest victims.
void Preemption::keep_rooms_for_gang(const Job& job, std::uint32_t wanted, const Planner& plan, const JobHosts& hosts,
                                     std::vector<Room>& rooms) const {
    const auto& ask = demand_.ask_of(job);
    std::map<placement::Id, std::uint32_t> per_zone;
    for (const auto& room : rooms) {
        const auto there = ++per_zone[job.spec.one_zone ? room.zone : placement::unknown_zone];
        const auto zone = job.spec.one_zone ? std::optional(room.zone) : std::nullopt;
        const auto free = static_cast<std::uint32_t>(plan.room_in(ask, hosts, wanted, zone));
        if (free + there < wanted) continue;
        const auto lacking = wanted - std::min(free, wanted);
        if (zone) std::erase_if(rooms, [&](const Room& other) { return other.zone != *zone; });
        if (rooms.size() > lacking) rooms.resize(lacking);
        return;
    }
    rooms.clear();
}

// Fetching the image on a machine with free room may take minutes. Preempting an array task that saves its progress
// costs seconds.
std::uint32_t Preemption::make_room_with_image(Job& job, const Planner& plan, const JobHosts& hosts,
                                               std::uint32_t tasks, TimePoint now) {
    if (job.priority != Priority::critical || !job.is(JobKind::service) || tasks == 0) return 0;
    const auto& ask = demand_.ask_of(job);
    const auto at = plan.best_host(ask, hosts);
    if (at == Planner::none) return 0;
    const auto wait = plan.host(at).image_wait(ask.image, job.spec.image_gb);
    const Seconds until_free = state_.settings.heartbeat_interval * 1.25 + Seconds(3);
    if (wait < until_free * min_fetch_to_wait_ratio) return 0;
    // If the room turned out too small, it is not made again at once. Replicas that are lost later than
    // room_retry_interval may have room made again.
    if (job.room_expected_at != TimePoint{} && now < job.room_expected_at + room_retry_interval) return 0;
    std::vector<Room> rooms;
    for (const auto& [name, machine] : state_.inventory.all()) {
        if (!machine->row.has(ask.image) || !fleet_.usable(*machine, now) || !machine->has_current_term) continue;
        if (!ask.allows(machine->row.pool)) continue;
        auto host = machine->row;
        auto room = room_on(job, *machine, host, plan, hosts, {}, now);
        if (!room.victims.empty() && (room.loss + until_free) * min_fetch_to_loss_ratio < wait)
            rooms.push_back(std::move(room));
    }
    if (rooms.empty()) return 0;
    std::sort(rooms.begin(), rooms.end());
    if (rooms.size() > tasks) rooms.resize(tasks);
    for (const auto& room : rooms) stop(job, room.victims);
    job.room_expected_at = after(now, until_free);
    return static_cast<std::uint32_t>(rooms.size());
}

}  // namespace flintdale::scheduler
