#include "scheduler/scale_out.hpp"

#include <algorithm>
#include <cmath>

namespace flintdale::scheduler {

using model::JobKind;
using placement::JobHosts;

namespace {
constexpr int max_request = 50;           // machines per request, by the cloud's rules
constexpr double bulk_exponent = 0.25;    // how a price per slot is discounted by the slots that services fill
constexpr double idle_price_limit = 1.5;  // times the cheapest price of a slot that idle work may cost
constexpr double late_boots = 1.6;        // times its boot after which a machine is not counted on any more
constexpr int few_late = 3;               // machines of a pool that may be late by chance
constexpr double late_cost = 2;           // times the price that a pool with late machines counts as
constexpr double cheap_only_share = 0.5;  // of its time, for which an array waits for cheap machines
}  // namespace

std::vector<fleet::InstanceRequest> ScaleOut::run(TimePoint now) {
    if (state_.awaiting_reconciliation || !fleet_.first_round_complete(now) ||
        fleet_.heartbeat_coverage(now).cut_off_from_workers())
        return {};
    Round round{now, fleet_.make_planner(now), {}, {}, {}, fleet_.quiet_zones(now), {}};
    add_coming_machines(round);
    const auto waiting = queue_.ordered(now, false);
    // Services come one by one as well as many to a job: what counts is how many of a class wait together.
    for (const auto* job : waiting)
        if (job->is(JobKind::service) && !job->crash_looping())
            round.waiting_services[job->spec.job_class] += job->waiting();
    for (const auto* job : waiting) request_for(*job, round);
    std::vector<fleet::InstanceRequest> out;
    for (const auto& [pool, count] : round.requested)
        for (int left = count; left > 0; left -= max_request) out.push_back({pool, std::min(left, max_request)});
    return out;
}

// Adds the machines that boot and those that are cordoned to the plan, and counts the machines of each zone.
void ScaleOut::add_coming_machines(Round& round) const {
    struct Booting {
        int late = 0, all = 0;
    };
    std::map<fleet::Pool, Booting> booting;
    for (const auto& [name, machine] : state_.inventory.all()) {
        bool coming = !machine->reported && machine->tasks.empty();
        if (const auto* type = state_.inventory.type(machine->type); coming && type) {
            // What should long be up may never be: nothing waits for it. It is used all the same if it comes after all.
            const bool late = round.now - machine->known_since > model::to_clock(type->boot * late_boots);
            auto& count = booting[{machine->type, machine->zone, machine->spot}];
            count.late += late;
            ++count.all;
            coming = !late;
        }
        if ((coming || machine->cordoned) && !machine->releasing && machine->row.capacity.cpus > 0)
            round.plan.add(machine->row);
        const auto zone = machine->row.zone;
        if (zone >= round.per_zone.size()) round.per_zone.resize(zone + 1);
        ++round.per_zone[zone];
    }
    for (const auto& [pool, count] : booting)
        if (count.late >= few_late && count.late * 2 > count.all) round.late.insert(pool);
}

void ScaleOut::request_for(const Job& job, Round& round) const {
    if (job.crash_looping()) return;
    if (job.is(JobKind::gang) && job.placed == 0) {
        request_for_gang(job, round);
        return;
    }
    if (job.is(JobKind::gang) && (job.gang_started || job.gang_failing)) return;
    request_for_tasks(job, round);
}

// Room for a whole gang: all in one zone if it asks for that, with as many machines as it takes.
void ScaleOut::request_for_gang(const Job& job, Round& round) const {
    const auto tasks = job.spec.tasks;
    if (demand_.within_quota(job, tasks) < tasks) return;
    const auto& ask = demand_.ask_of(job);
    auto hosts = demand_.hosts_of(job);
    if (!round.plan.place_together(ask, hosts, tasks).empty()) return;
    const auto first = cheapest(job, hosts, tasks, round);
    if (!first) return;
    std::optional<placement::Id> zone;
    auto hosts_there = hosts;
    if (job.spec.one_zone) {
        zone = state_.inventory.directory().zone(first->zone);
        hosts_there.add_to_zone(*zone);
    }
    auto room = round.plan.room_in(ask, hosts, tasks, zone);
    for (std::uint32_t k = 0; k < tasks; ++k) {
        const auto lacking = room < tasks ? static_cast<std::uint32_t>(tasks - room) : 1;
        const auto pool = cheapest(job, hosts_there, lacking, round);
        if (!pool) return;
        room += placement::task_slots(job.spec.need, round.plan.host(add_machine(round, *pool)).free);
        if (room >= tasks && !round.plan.place_together(ask, hosts, tasks, zone).empty()) return;
    }
}

void ScaleOut::request_for_tasks(const Job& job, Round& round) const {
    const auto& ask = demand_.ask_of(job);
    auto hosts = demand_.hosts_of(job);
    auto count = demand_.within_quota(job, demand_.tasks_wanted_now(job));
    auto& alike = round.waiting_services[job.spec.job_class];
    const auto planned = [&](std::size_t n) {
        count -= static_cast<std::uint32_t>(n);
        if (job.is(JobKind::service)) alike -= std::min(alike, static_cast<std::uint32_t>(n));
    };
    // Many services together are worth large machines; if they were planned onto small ones that boot for others, those
    // would only be requested again.
    std::optional<fleet::Pool> pool;
    if (job.is(JobKind::service)) pool = cheapest(job, hosts, std::max(count, alike), round);
    if (pool) {
        const auto slots = placement::task_slots(job.spec.need, state_.inventory.type(pool->type)->capacity);
        planned(round.plan.place_many(demand_.ask_for_slots(job, slots), hosts, count).size());
    } else {
        planned(round.plan.place_many(ask, hosts, count).size());
    }
    while (count > 0) {
        pool = cheapest(job, hosts, std::max(count, alike), round);
        if (!pool) break;
        const auto placed = round.plan.place_at(add_machine(round, *pool), ask, hosts, count);
        if (placed == 0) break;
        planned(placed);
    }
}

std::optional<fleet::Pool> ScaleOut::cheapest(const Job& job, const JobHosts& hosts, std::uint32_t count,
                                              const Round& round) const {
    const auto& ask = demand_.ask_of(job);
    auto& directory = state_.inventory.directory();
    Offer best;
    for (const auto& type : state_.inventory.types()) {
        if (!placement::fits(job.spec.need, type.capacity)) continue;
        const auto slots = placement::task_slots(job.spec.need, type.capacity);
        for (const auto& zone : type.zones)
            for (const bool spot : {true, false})
                if (ask.allows(directory.pool(type.name, zone, spot)))
                    compare({job, hosts, count, type, slots}, {type.name, zone, spot}, round, best);
    }
    if (!best.pool) return std::nullopt;
    // Idle work has no haste, and must not use up what others will want to request.
    if (job.priority == model::Priority::idle && best.cost.first > best.cheapest_slot * idle_price_limit)
        return std::nullopt;
    // Tasks of an array can follow one another on cheap machines; costly ones are for those that wait too long.
    if (job.is(JobKind::array) && best.cost.first > best.cheapest_slot * state_.operator_settings.array_price_limit &&
        round.now - job.arrived < model::to_clock(demand_.target_duration(job.spec) * cheap_only_share))
        return std::nullopt;
    return best.pool;
}

// Takes the pool for the best if it is open, and costs less than the best so far.
void ScaleOut::compare(const Wish& wish, const fleet::Pool& pool, const Round& round, Offer& best) const {
    const auto& [job, hosts, count, type, slots] = wish;
    const double used = std::min(slots, std::max(1u, count));
    const double price = (pool.spot ? type.spot_price : type.price) / std::max(1.0, used);
    if (best.cheapest_slot == 0 || price < best.cheapest_slot) best.cheapest_slot = price;
    if (!state_.inventory.may_launch(pool, round.now)) return;
    const auto zone = state_.inventory.directory().zone(pool.zone);
    if (zone < round.quiet_zones.size() && round.quiet_zones[zone]) return;
    if (!suits_zone(job, hosts, zone)) return;
    // Services stay for good: enough of them to fill a large machine are worth its higher price, for gangs need the
    // small ones whole.
    const bool bulk = job.is(JobKind::service) && count >= slots;
    const double raised = round.late.contains(pool) ? price * late_cost : price;
    // Between equals, the zone with the fewest machines: the loss of one zone then costs least.
    const auto there = zone < round.per_zone.size() ? round.per_zone[zone] : 0;
    const Cost cost{bulk ? raised * std::pow(used, -bulk_exponent) : raised, there};
    if (best.pool && cost >= best.cost) return;
    best.pool = pool;
    best.cost = cost;
}

bool ScaleOut::suits_zone(const Job& job, const JobHosts& hosts, placement::Id zone) const {
    if (job.spec.one_zone && hosts.anywhere() && hosts.in_zone(zone) == 0) return false;
    return !job.spec.spread || hosts.in_zone(zone) < (job.spec.tasks + 1) / 2;
}

std::size_t ScaleOut::add_machine(Round& round, const fleet::Pool& pool) const {
    const auto* type = state_.inventory.type(pool.type);
    auto& directory = state_.inventory.directory();
    placement::Host host;
    host.slot = placement::Planner::no_slot;
    host.pool = directory.pool(pool.type, pool.zone, pool.spot);
    host.zone = directory.zone(pool.zone);
    host.spot = pool.spot;
    host.capacity = host.free = type->capacity;
    host.fetch_gb_per_s = type->fetch_gb_per_s;
    ++round.requested[pool];
    if (host.zone >= round.per_zone.size()) round.per_zone.resize(host.zone + 1);
    ++round.per_zone[host.zone];
    return round.plan.add(std::move(host));
}

}  // namespace flintdale::scheduler
