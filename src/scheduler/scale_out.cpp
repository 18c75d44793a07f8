#include "scheduler/scale_out.hpp"

#include <algorithm>
#include <cmath>

namespace flintdale::scheduler {

using model::JobKind;
using placement::JobHosts;

namespace {
constexpr int max_request = 50;         // limit of one call to the cloud
constexpr double bulk_exponent = 0.25;  // discounts the price of a slot by the number of slots that services fill
// Factor on the cheapest slot price up to which jobs of idle priority may request machines.
constexpr double idle_price_limit = 1.5;
constexpr double overdue_boots = 1.6;       // boot times after which a booting machine counts as overdue
constexpr int min_overdue_machines = 3;     // minimum of overdue machines in a pool; fewer may be chance
constexpr double overdue_price_factor = 2;  // factor on the price of a pool with overdue machines
// Share of an array's target duration during which it waits for cheap machines.
constexpr double cheap_only_share = 0.5;
}  // namespace

std::vector<fleet::InstanceRequest> ScaleOut::run(TimePoint now) {
    if (state_.awaiting_reconciliation || !fleet_.first_round_complete(now) ||
        fleet_.heartbeat_coverage(now).cut_off_from_workers())
        return {};
    Round round{now, fleet_.make_planner(now), {}, {}, {}, fleet_.quiet_zones(now), {}};
    add_expected_machines(round);
    const auto waiting = queue_.ordered(now, false);
    // Some classes have services of one task each, some have jobs of many. The number of waiting tasks per class covers
    // both.
    for (const auto* job : waiting)
        if (job->is(JobKind::service) && !job->crash_looping())
            round.waiting_services[job->spec.job_class] += job->waiting();
    for (const auto* job : waiting) request_for(*job, round);
    std::vector<fleet::InstanceRequest> out;
    for (const auto& [pool, count] : round.requested)
        for (int left = count; left > 0; left -= max_request) out.push_back({pool, std::min(left, max_request)});
    return out;
}

// Adds booting and cordoned machines to the plan, and counts the machines of each zone.
void ScaleOut::add_expected_machines(Round& round) const {
    struct Booting {
        int overdue = 0, all = 0;
    };
    std::map<fleet::Pool, Booting> booting;
    for (const auto& [name, machine] : state_.inventory.all()) {
        bool expected = !machine->reported && machine->tasks.empty();
        if (const auto* type = state_.inventory.type(machine->type); expected && type) {
            // An overdue machine may never come up, so no task waits for it. It is still used if it does come up.
            const bool overdue = round.now - machine->known_since > model::to_clock(type->boot * overdue_boots);
            auto& count = booting[{machine->type, machine->zone, machine->spot}];
            count.overdue += overdue;
            ++count.all;
            expected = !overdue;
        }
        if ((expected || machine->cordoned) && !machine->releasing && machine->row.capacity.cpus > 0)
            round.plan.add(machine->row);
        const auto zone = machine->row.zone;
        if (zone >= round.per_zone.size()) round.per_zone.resize(zone + 1);
        ++round.per_zone[zone];
    }
    for (const auto& [pool, count] : booting)
        if (count.overdue >= min_overdue_machines && count.overdue * 2 > count.all) round.overdue.insert(pool);
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

// Requests machines until the whole gang fits, all in one zone if the gang requires that.
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
    auto& same_class_waiting = round.waiting_services[job.spec.job_class];
    const auto planned = [&](std::size_t n) {
        count -= static_cast<std::uint32_t>(n);
        if (job.is(JobKind::service)) same_class_waiting -= std::min(same_class_waiting, static_cast<std::uint32_t>(n));
    };
    // Many services together justify large machines. If the plan put them on small machines that boot for other jobs,
    // those jobs would request small machines again.
    std::optional<fleet::Pool> pool;
    if (job.is(JobKind::service)) pool = cheapest(job, hosts, std::max(count, same_class_waiting), round);
    if (pool) {
        const auto slots = placement::task_slots(job.spec.need, state_.inventory.type(pool->type)->capacity);
        planned(round.plan.place_many(demand_.ask_for_slots(job, slots), hosts, count).size());
    } else {
        planned(round.plan.place_many(ask, hosts, count).size());
    }
    while (count > 0) {
        pool = cheapest(job, hosts, std::max(count, same_class_waiting), round);
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
    // Jobs of idle priority are not urgent, and must not use up capacity that other jobs will request.
    if (job.priority == model::Priority::idle && best.cost.first > best.cheapest_slot * idle_price_limit)
        return std::nullopt;
    // Tasks of an array can run one after another on cheap machines. Costly machines are requested only for arrays that
    // have waited too long.
    if (job.is(JobKind::array) && best.cost.first > best.cheapest_slot * state_.operator_settings.array_price_limit &&
        round.now - job.arrived < model::to_clock(demand_.target_duration(job.spec) * cheap_only_share))
        return std::nullopt;
    return best.pool;
}

// Makes the pool the best offer if it is open and cheaper than the best so far.
void ScaleOut::compare(const PlacementNeed& need, const fleet::Pool& pool, const Round& round, Offer& best) const {
    const auto& [job, hosts, count, type, slots] = need;
    const double used = std::min(slots, std::max(1u, count));
    const double price = (pool.spot ? type.spot_price : type.price) / std::max(1.0, used);
    if (best.cheapest_slot == 0 || price < best.cheapest_slot) best.cheapest_slot = price;
    if (!state_.inventory.may_launch(pool, round.now)) return;
    const auto zone = state_.inventory.directory().zone(pool.zone);
    if (zone < round.quiet_zones.size() && round.quiet_zones[zone]) return;
    if (!suits_zone(job, hosts, zone)) return;
    // Services run permanently, so enough of them to fill a large machine justify its higher price. Gangs need the
    // small machines whole.
    const bool bulk = job.is(JobKind::service) && count >= slots;
    const double raised = round.overdue.contains(pool) ? price * overdue_price_factor : price;
    // On equal prices the zone with the fewest machines wins, so that the loss of a zone costs least.
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
