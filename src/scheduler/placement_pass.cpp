#include "scheduler/placement_pass.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <set>

namespace flintdale::scheduler {

using model::JobKind;
using placement::JobHosts;
using placement::Planner;
using State = Task::State;

namespace {
constexpr unsigned max_reservations = 50;  // gangs for which one pass reserves room
// Share of an array's target duration during which it leaves on-demand machines to gangs.
constexpr double array_spot_share = 0.5;
}  // namespace

bool PlacementPass::run(TimePoint now) {
    state_.record_queue.promote_due(now);
    finish_reconciliation(now);
    if (!fleet_.first_round_complete(now)) return false;
    ++passes_;
    reservations_ = 0;
    any_waiting_ = false;
    auto plan = fleet_.make_planner(now);
    any_placed_ = relocation_.finish(plan, now);
    auto waiting = queue_.ordered(now, true);
    if (state_.awaiting_reconciliation) waiting = without_uncertain(std::move(waiting));
    on_demand_gangs_wait_ = std::any_of(waiting.begin(), waiting.end(), [](const Job* job) {
        return job->is(JobKind::gang) && !job->spec.spot && job->passed_over && job->placed == 0 &&
               !job->crash_looping();
    });
    for (auto* job : waiting) place_job(*job, plan, now);
    // The next pass, which follows at once, may use the cordoned machines again.
    if (state_.last_shortage == now) spare_.uncordon();
    return any_placed_;
}

void PlacementPass::finish_reconciliation(TimePoint now) {
    if (!state_.awaiting_reconciliation || !fleet_.all_reconciled()) return;
    spdlog::info("event=reconciliation_complete term={} seconds={:.1f}", state_.term,
                 Seconds(now - state_.term_began).count());
    state_.awaiting_reconciliation = false;
}

// A job is certain if none of its tasks can run on a machine that is not reconciled yet. A team with a quota limit is
// certain only after reconciliation, when its usage is known.
std::vector<Job*> PlacementPass::without_uncertain(std::vector<Job*> jobs) const {
    std::set<placement::Id> uncertain_pools;
    bool unknown_pool = false;
    for (const auto& [name, machine] : state_.inventory.all()) {
        if (fleet_.reconciled(*machine)) continue;
        // The machine is known only from a record, and not listed yet: its pool is unknown.
        unknown_pool = unknown_pool || machine->type.empty();
        uncertain_pools.insert(machine->row.pool);
    }
    std::erase_if(jobs, [&](const Job* job) {
        if (unknown_pool || state_.quota.limited(job->spec.team)) return true;
        const auto& ask = demand_.ask_of(*job);
        return std::any_of(uncertain_pools.begin(), uncertain_pools.end(),
                           [&](placement::Id pool) { return ask.allows(pool); });
    });
    return jobs;
}

void PlacementPass::place_job(Job& job, Planner& plan, TimePoint now) {
    if (job.is(JobKind::gang))
        place_gang(job, plan, now);
    else
        place_each(job, plan, now);
    if (job.passed_over) preemption_.preempt(job, plan, now);
    job.passed_over = job.waiting() > 0;
    if (!job.passed_over || job.crash_looping()) return;
    state_.last_shortage = now;
    any_waiting_ = true;
}

std::uint32_t PlacementPass::take_waiting(Job& job) {
    while (!job.requeued.empty()) {
        const auto i = job.requeued.front();
        job.requeued.pop_front();
        if (job.tasks[i].state == State::waiting) return i;
    }
    while (job.tasks[job.first_unplaced].state != State::waiting) ++job.first_unplaced;
    return job.first_unplaced++;
}

void PlacementPass::place_gang(Job& job, Planner& plan, TimePoint now) {
    const auto& ask = demand_.ask_of(job);
    if (job.placed > 0) {
        replace_gang_members(job, plan, now);
        return;
    }
    // Normally all members of a gang complete together. However, one member may have reported completion while another
    // was lost with its machine before its report. Only the lost member is placed again, and it exits as done. Placing
    // all members would count a task both as done and as placed, and the number of waiting tasks would underflow.
    const auto missing = job.waiting();
    if (demand_.within_quota(job, missing) < missing) return;
    auto hosts = demand_.hosts_of(job);
    const auto places = plan.place_together(ask, hosts, missing);
    if (places.empty()) {
        // Without a reservation smaller tasks take all room that becomes free, and a whole gang seldom fits. Each
        // reservation examines every machine, so their number per pass is limited to the first gangs of a long queue.
        if (!job.crash_looping() && reservations_++ < max_reservations) plan.reserve_for_gang(ask, missing);
        return;
    }
    ++job.gang_attempt;
    job.gang_started = job.gang_failing = false;
    job.requeued.clear();
    job.first_unplaced = job.spec.tasks;
    std::size_t next = 0;
    for (std::uint32_t i = 0; i < job.spec.tasks; ++i) {
        if (job.tasks[i].state != State::waiting) continue;
        const auto slot = plan.host(places[next++]).slot;
        tasks_.place(job, i, *state_.inventory.at(slot), job.gang_attempt, now);
        tasks_.record_change(job, i, RecordUrgency::immediate, now);
    }
    any_placed_ = true;
}

// All tasks of a failing attempt must be gone before the next attempt starts. Until an attempt has started, its lost
// tasks are replaced under the same attempt number.
void PlacementPass::replace_gang_members(Job& job, Planner& plan, TimePoint now) {
    if (job.gang_failing || job.gang_started) return;
    const auto& ask = demand_.ask_of(job);
    auto hosts = demand_.hosts_of(job);
    const auto missing = job.waiting();
    if (demand_.within_quota(job, missing) < missing) return;
    for (const auto at : plan.place_many(ask, hosts, missing)) {
        const auto i = take_waiting(job);
        tasks_.place(job, i, *state_.inventory.at(plan.host(at).slot), job.gang_attempt, now);
        tasks_.record_change(job, i, RecordUrgency::immediate, now);
        any_placed_ = true;
    }
}

void PlacementPass::place_each(Job& job, Planner& plan, TimePoint now) {
    const auto& ask = demand_.ask_of(job);
    auto hosts = demand_.hosts_of(job);
    auto most = demand_.within_quota(job, std::min(job.waiting(), max_planned_tasks));
    if (job.crash_looping()) {
        // A try on a machine without earlier failures is the most informative. If the job has failed on all, any
        // machine is allowed.
        most = std::min(most, job.placed ? 0u : 1u);
        if (most > 0 && plan.best_host(ask, hosts) == Planner::none) hosts.excluded.clear();
    }
    if (now < job.room_expected_at) {
        // Preemption is making room for the remaining tasks, so until then tasks go only to machines that hold the
        // image.
        place_with_image(job, hosts, most, plan, now);
        return;
    }
    most -= preemption_.make_room_with_image(job, plan, hosts, most, now);
    const auto places = leaves_on_demand_machines(job, now) ? plan.place_many(spot_only(ask), hosts, most)
                                                            : plan.place_many(ask, hosts, most);
    for (const auto at : places) place_task(job, plan.host(at).slot, now);
}

void PlacementPass::place_task(Job& job, placement::Id slot, TimePoint now) {
    const auto i = take_waiting(job);
    tasks_.place(job, i, *state_.inventory.at(slot), job.tasks[i].attempt + 1, now);
    tasks_.record_change(job, i, RecordUrgency::immediate, now);
    any_placed_ = true;
}

void PlacementPass::place_with_image(Job& job, JobHosts& hosts, std::uint32_t most, Planner& plan, TimePoint now) {
    const auto& ask = demand_.ask_of(job);
    for (; most > 0; --most) {
        const auto at = plan.best_host(ask, hosts);
        if (at == Planner::none || !plan.host(at).has(ask.image) || !plan.place_at(at, ask, hosts, 1)) return;
        place_task(job, plan.host(at).slot, now);
    }
}

placement::Requirements PlacementPass::spot_only(const placement::Requirements& ask) const {
    auto out = ask;
    const auto& pools = state_.inventory.directory().pools();
    for (std::size_t i = 0; i < out.pools.size(); ++i) out.pools[i] = out.pools[i] && pools[i].spot;
    return out;
}

// An array that may use spot machines leaves on-demand machines to gangs that may not, if such gangs find no room. It
// does so for half of its target duration. Otherwise arrays would occupy suitable machines, and others would be
// requested for the gangs at several times the price.
bool PlacementPass::leaves_on_demand_machines(const Job& job, TimePoint now) const {
    return on_demand_gangs_wait_ && job.spec.spot && job.is(JobKind::array) &&
           job.priority <= model::Priority::normal &&
           now - job.arrived < model::to_clock(demand_.target_duration(job.spec) * array_spot_share);
}

}  // namespace flintdale::scheduler
