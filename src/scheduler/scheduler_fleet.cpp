// What the scheduler rents and returns.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "model/job.hpp"
#include "model/machine.hpp"
#include "scheduler/lease_rule.hpp"
#include "scheduler/scheduler.hpp"

namespace flintdale::scheduler {

using model::JobKind;
using model::Priority;
using placement::Host;
using placement::JobHosts;
using placement::Planner;

namespace {
constexpr int max_rent = 50;  // per request, by the cloud's rules
constexpr std::size_t max_release = 100;
constexpr double bulk_worth = 0.25;     // how a price per slot is discounted by the slots that services fill
constexpr double idle_dear = 1.5;       // times the cheapest price of a slot that idle work rents at
constexpr Seconds listed_dead{30};      // after which the cloud's list tells that a machine has died
constexpr double late_boots = 1.6;      // times its boot after which a machine is not counted on any more
constexpr int few_late = 3;             // machines of a pool that may be late by chance
constexpr double late_cost = 2;         // times the price that a pool with late machines counts as
constexpr double zone_boots = 2;        // beyond its lease that a machine of a zone that is cut off is waited for
constexpr std::size_t few_in_zone = 8;  // machines of a zone that may all be silent by chance
constexpr double deaf_leases = 3;       // that a leader which hears hardly anyone waits before it returns machines
constexpr double silent_reports = 1.7;  // report intervals that a machine must at least be silent to be given up
}  // namespace

Seconds Scheduler::target_of(const model::JobSpec& spec) const {
    Seconds best{0};
    for (const auto& o : settings_.objectives)
        if (o.kind == "finished" && o.job_class == spec.job_class && o.within.count() > 0 &&
            (best.count() == 0 || o.within < best))
            best = o.within;
    if (spec.deadline && (best.count() == 0 || *spec.deadline < best)) best = *spec.deadline;
    return best.count() > 0 ? best : spec.estimated_runtime * 4;
}

// Tasks of an array follow one another on a machine; only what does not fit into its time needs room at once.
std::uint32_t Scheduler::wanted_now(const Job& job) const {
    const auto waiting = std::min(job.waiting(), max_planned_tasks);
    if (!job.is(JobKind::array) || job.spec.estimated_runtime.count() <= 0) return waiting;
    const auto span = std::max(target_of(job.spec) * operator_settings_.array_horizon, job.spec.estimated_runtime);
    const double rounds = std::max(1.0, std::floor(span / job.spec.estimated_runtime));
    const auto total = static_cast<std::uint32_t>(std::ceil((job.waiting() + job.placed) / rounds));
    return std::min(waiting, total > job.placed ? total - job.placed : 0);
}

// What one round of renting has put together.
struct Scheduler::Basket {
    std::map<fleet::Pool, int> ordered;
    std::set<fleet::Pool> late;      // pools of which most machines on their way should be up by now
    std::vector<unsigned> per_zone;  // machines there, ordered ones included
    std::vector<bool> quiet_zones;   // that are cut off: what is rented there could not be heard
};

std::optional<fleet::Pool> Scheduler::cheapest(const Job& job, const JobHosts& hosts, std::uint32_t count,
                                               const Basket& basket, TimePoint now) const {
    const auto& ask = ask_of(job);
    auto& directory = inventory_.directory();
    std::optional<fleet::Pool> best;
    std::pair<double, unsigned> best_cost{};
    double cheapest_each = 0;  // of all kinds of machine, those without capacity included
    for (const auto& type : inventory_.types()) {
        if (!placement::fits(job.spec.need, type.capacity)) continue;
        const auto full = placement::slots(job.spec.need, type.capacity);
        const double each = std::min(full, std::max(1u, count));
        // Services stay for good: enough of them to fill a large machine are worth its higher price, for gangs
        // need the small ones whole.
        const bool bulk = job.is(JobKind::service) && count >= full;
        for (const auto& zone : type.zones)
            for (const bool spot : {true, false}) {
                if (!ask.takes(directory.pool(type.name, zone, spot))) continue;
                fleet::Pool pool{type.name, zone, spot};
                const double each_cost = (spot ? type.spot_price : type.price) / std::max(1.0, each);
                if (cheapest_each == 0 || each_cost < cheapest_each) cheapest_each = each_cost;
                if (!inventory_.open(pool, now)) continue;
                if (const auto z = directory.zone(zone); z < basket.quiet_zones.size() && basket.quiet_zones[z])
                    continue;
                const double worth = basket.late.contains(pool) ? each_cost * late_cost : each_cost;
                const auto zone_id = directory.zone(zone);
                if (job.spec.one_zone && hosts.anywhere() && hosts.in_zone(zone_id) == 0) continue;
                if (job.spec.spread && hosts.in_zone(zone_id) >= (job.spec.tasks + 1) / 2) continue;
                // Between equals, the zone with the fewest machines: the loss of one zone then costs least.
                const auto there = zone_id < basket.per_zone.size() ? basket.per_zone[zone_id] : 0;
                const std::pair cost{bulk ? worth * std::pow(each, -bulk_worth) : worth, there};
                if (!best || cost < best_cost) {
                    best = pool;
                    best_cost = cost;
                }
            }
    }
    // Idle work has no haste, and must not use up what others will want to rent.
    if (best && job.priority == Priority::idle && best_cost.first > cheapest_each * idle_dear) return std::nullopt;
    // Tasks of an array can follow one another on cheap machines; dear ones are for those that wait too long.
    if (best && job.is(JobKind::array) && best_cost.first > cheapest_each * operator_settings_.array_price_limit &&
        now - job.arrived < model::to_clock(target_of(job.spec) * 0.5))
        return std::nullopt;
    return best;
}

// Puts one machine more into the basket and into the plan.
std::size_t Scheduler::put_in(Basket& basket, const fleet::Pool& pool, Planner& plan) const {
    const auto* type = inventory_.type(pool.type);
    Host h;
    h.slot = Planner::no_slot;
    h.pool = inventory_.directory().pool(pool.type, pool.zone, pool.spot);
    h.zone = inventory_.directory().zone(pool.zone);
    h.spot = pool.spot;
    h.capacity = h.free = type->capacity;
    h.fetch_gb_per_s = type->fetch_gb_per_s;
    ++basket.ordered[pool];
    if (h.zone >= basket.per_zone.size()) basket.per_zone.resize(h.zone + 1);
    ++basket.per_zone[h.zone];
    return plan.add(std::move(h));
}

// Room for a whole gang: all in one zone if it asks for that, with as many machines as it takes.
void Scheduler::rent_for_gang(const Job& job, Basket& basket, Planner& plan, TimePoint now) const {
    const auto tasks = job.spec.tasks;
    if (within_limit(job, tasks) < tasks) return;
    const auto& ask = ask_of(job);
    auto hosts = hosts_of(job);
    if (!plan.place_together(ask, hosts, tasks).empty()) return;
    const auto first = cheapest(job, hosts, tasks, basket, now);
    if (!first) return;
    std::optional<placement::Id> zone;
    auto there = hosts;
    if (job.spec.one_zone) {
        zone = inventory_.directory().zone(first->zone);
        there.add_to_zone(*zone);
    }
    auto room = plan.room_in(ask, hosts, tasks, zone);
    for (std::uint32_t k = 0; k < tasks; ++k) {
        const auto lacking = room < tasks ? static_cast<std::uint32_t>(tasks - room) : 1;
        const auto pool = cheapest(job, there, lacking, basket, now);
        if (!pool) return;
        room += placement::slots(job.spec.need, plan.host(put_in(basket, *pool, plan)).free);
        if (room >= tasks && !plan.place_together(ask, hosts, tasks, zone).empty()) return;
    }
}

std::vector<fleet::InstanceRequest> Scheduler::scale_out(TimePoint now) {
    if (unsettled_ || !round_heard(now) || heartbeat_coverage(now).cut_off_from_workers()) return {};
    auto plan = planner(now);
    Basket basket;
    basket.quiet_zones = quiet_zones(now);
    std::map<fleet::Pool, std::pair<int, int>> on_their_way;  // late ones, all
    for (const auto& [name, m] : inventory_.all()) {
        bool coming = !m->reported && m->tasks.empty();
        if (const auto* type = inventory_.type(m->type); coming && type) {
            // What should long be up may never be: nothing waits for it. It is used all the same if it comes after all.
            const bool late = now - m->known_since > model::to_clock(type->boot * late_boots);
            auto& [late_ones, all] = on_their_way[{m->type, m->zone, m->spot}];
            late_ones += late;
            ++all;
            coming = !late;
        }
        if ((coming || m->cordoned) && !m->releasing && m->row.capacity.cpus > 0) plan.add(m->row);
        if (m->row.zone >= basket.per_zone.size()) basket.per_zone.resize(m->row.zone + 1);
        ++basket.per_zone[m->row.zone];
    }
    for (const auto& [pool, n] : on_their_way)
        if (n.first >= few_late && n.first * 2 > n.second) basket.late.insert(pool);
    const auto waiting = queue(now, false);
    // Services come one by one as well as many to a job: what counts is how many of a class wait together.
    std::map<std::string, std::uint32_t> services;
    for (const auto* job : waiting)
        if (job->is(JobKind::service) && !job->doubtful()) services[job->spec.job_class] += job->waiting();
    for (const auto* job : waiting) {
        if (job->doubtful()) continue;
        if (job->is(JobKind::gang) && job->placed == 0) {
            rent_for_gang(*job, basket, plan, now);
            continue;
        }
        if (job->is(JobKind::gang) && (job->gang_started || job->gang_failing)) continue;
        const auto& ask = ask_of(*job);
        auto hosts = hosts_of(*job);
        auto count = within_limit(*job, wanted_now(*job));
        auto& alike = services[job->spec.job_class];
        const auto housed = [&](std::size_t n) {
            count -= static_cast<std::uint32_t>(n);
            if (job->is(JobKind::service)) alike -= std::min(alike, static_cast<std::uint32_t>(n));
        };
        // Many services together are worth large machines; to plan them onto small ones that boot for others would only
        // have those rented again.
        if (const auto pool =
                job->is(JobKind::service) ? cheapest(*job, hosts, std::max(count, alike), basket, now) : std::nullopt)
            housed(
                plan.place_many(at_least(*job, placement::slots(job->spec.need, inventory_.type(pool->type)->capacity)),
                                hosts, count)
                    .size());
        else
            housed(plan.place_many(ask, hosts, count).size());
        while (count > 0) {
            const auto pool = cheapest(*job, hosts, std::max(count, alike), basket, now);
            if (!pool) break;
            const auto n = plan.place_at(put_in(basket, *pool, plan), ask, hosts, count);
            if (n == 0) break;
            housed(n);
        }
    }
    std::vector<fleet::InstanceRequest> out;
    for (const auto& [pool, n] : basket.ordered)
        for (int left = n; left > 0; left -= max_rent) out.push_back({pool, std::min(left, max_rent)});
    return out;
}

void Scheduler::machines_launched(const fleet::Pool& pool, const std::vector<std::string>& machines, TimePoint now) {
    inventory_.granted(pool);
    for (const auto& name : machines)
        if (!inventory_.gone(name)) inventory_.add(name, pool.type, pool.zone, pool.spot, now);
}

void Scheduler::set_machine_types(std::vector<model::MachineType> types) { inventory_.set_types(std::move(types)); }

void Scheduler::machines_listed(const std::vector<model::ListedMachine>& machines, TimePoint now) {
    listed_at_ = now;
    for (const auto& l : machines) {
        // The list lags: what it still shows may be gone already, and then it must not come back.
        if (inventory_.gone(l.name)) continue;
        const bool fresh = !inventory_.find(l.name);
        auto& m = inventory_.add(l.name, l.type, l.zone, l.spot, now);
        if (fresh) m.known_since = now - model::to_clock(l.age);
        m.listed_failed = l.status == model::MachineStatus::failed;
        if (l.status == model::MachineStatus::booting) m.starting_at = now;
    }
    // A list may be twice as old as usual, and does not show machines that are younger than that.
    std::set<std::string_view> names;
    for (const auto& l : machines) names.insert(l.name);
    for (auto& [name, m] : inventory_.all())
        m->unlisted = !names.contains(name) &&
                      now - m->known_since > model::to_clock(settings_.machine_list_lag * 3 + Seconds(2));
}

HeartbeatCoverage Scheduler::heartbeat_coverage(TimePoint now) const {
    HeartbeatCoverage out;
    for (const auto& [name, m] : inventory_.all()) {
        if (m->releasing || m->unlisted || m->listed_failed || (!m->reported && m->tasks.empty())) continue;
        ++out.expected;
        out.heard += now - m->last_report < model::to_clock(overdue());
    }
    return out;
}

// A zone that is cut off falls silent as a whole, and that shows before the first of its machines has been silent for
// long: in half a report interval half of them should report. Single machines, or many that died, change that share
// little.
std::vector<bool> Scheduler::quiet_zones(TimePoint now) const {
    struct Count {
        std::size_t expected = 0, heard = 0;
    };
    std::vector<Count> zones;
    for (const auto& [name, m] : inventory_.all()) {
        if (m->releasing || m->unlisted || m->listed_failed || (!m->reported && m->tasks.empty())) continue;
        if (m->row.zone >= zones.size()) zones.resize(m->row.zone + 1);
        ++zones[m->row.zone].expected;
        zones[m->row.zone].heard +=
            m->reported && now - m->last_report < model::to_clock(settings_.heartbeat_interval * 0.5);
    }
    std::vector<bool> out(zones.size());
    for (std::size_t z = 0; z < zones.size(); ++z)
        out[z] =
            z != placement::unknown_zone && zones[z].expected >= few_in_zone && zones[z].heard * 8 < zones[z].expected;
    return out;
}

// Cancelled work must be gone in time, whatever else is out of reach: a machine that hangs does not even end it when
// its lease has run out. After half of the time it is given up once it has missed three reports, and where the time is
// nearly over, for a leader that came late, as soon as its report is overdue.
bool Scheduler::must_go(const Machine& m, Seconds unheard, TimePoint now) const {
    if (unheard <= overdue()) return false;
    for (const auto& [uid, i] : m.tasks) {
        const auto* j = job(uid);
        if (!j || !j->cancelled) continue;
        if (unheard > settings_.heartbeat_interval * 3 && now > after(j->cancelled_at, give_up_silent_after(settings_)))
            return true;
        if (now > after(j->cancelled_at, settings_.cancel_deadline - settings_.heartbeat_interval * 1.25 - Seconds(5)))
            return true;
    }
    return false;
}

std::vector<Release> Scheduler::scale_in(TimePoint now) const {
    // Many machines silent at once more likely means that this controller is cut off than that all have died.
    std::map<bool, std::pair<int, int>> silent;  // by spot: silent, all
    for (const auto& [name, m] : inventory_.all()) {
        if (m->releasing || (!m->reported && m->tasks.empty())) continue;
        auto& [quiet, total] = silent[m->spot];
        ++total;
        quiet += now - m->last_report > model::to_clock(overdue());
    }
    const bool cut_off_from_workers = heartbeat_coverage(now).cut_off_from_workers();
    const auto quiet = quiet_zones(now);
    std::vector<Release> out;
    for (const auto& [name, m] : inventory_.all()) {
        const char* why = nullptr;
        const auto* type = inventory_.type(m->type);
        const Seconds boot = type ? type->boot : Seconds(60);
        const Seconds unheard = now - m->last_report;
        if (m->releasing) {
            why = "again";
        } else if (m->listed_failed) {
            why = "failed";
        } else if (m->terminates_at && now > after(*m->terminates_at, Seconds(1)) &&
                   unheard > settings_.heartbeat_interval * 1.5) {
            why = "taken";
        } else if (!m->reported && m->tasks.empty()) {
            if (now - m->known_since >
                    model::to_clock(std::max(boot * operator_settings_.boot_timeout_factor, Seconds(30))) &&
                now - since_ > model::to_clock(settings_.heartbeat_interval * 4))
                why = "never_up";
        } else {
            const auto [unheard_of, total] = silent[m->spot];
            // What the cloud no longer lists is not silent because of us.
            const bool many = unheard_of > 2 && unheard_of * 3 > total && !m->unlisted;
            // Reports come up to a quarter late, and one may be lost on the way.
            const auto quiet_for =
                std::max(operator_settings_.silent_timeout, settings_.heartbeat_interval * silent_reports);
            // While hardly anyone is heard, the term should pass to a controller that hears more: to return the whole
            // fleet first would leave it nothing (inc-8739, inc-e02a).
            auto patience =
                many && cut_off_from_workers ? settings_.worker_lease * deaf_leases
                : many ? std::max(settings_.worker_lease + Seconds(5), listed_dead + settings_.machine_list_lag * 1.5)
                       : std::min(quiet_for, settings_.worker_lease);
            // Of a zone that is cut off nothing can be replaced there, and what its machines hold is worth a wait as
            // long as it takes to have it again. Those that died are listed as such before.
            if (!m->unlisted && m->row.zone < quiet.size() && quiet[m->row.zone])
                patience = std::max(patience, settings_.worker_lease + boot * zone_boots);
            if (unheard > patience && now - since_ > model::to_clock(std::min(patience, settings_.worker_lease)))
                why = "silent";
            const Seconds idle = now - m->idle_since;
            if (!why && m->tasks.empty() && m->reported_tasks == 0 && unheard < settings_.heartbeat_interval * 2 &&
                (m->quarantined || m->retiring || m->cordoned ||
                 idle > m->again(boot) * operator_settings_.idle_timeout_factor))
                why = "idle";
        }
        // Whatever else speaks for it: in an outage no other reason counts, also where it was named before, or
        // announced to be taken, and nobody knows whether it is gone.
        if (must_go(*m, unheard, now)) why = cancelled_work;
        if (!why) continue;
        out.push_back({name, why});
    }
    // One call takes so many. What a rule asks for goes first: in an outage nothing else is returned, and hundreds of
    // silent machines must not keep one with cancelled work waiting.
    std::stable_partition(out.begin(), out.end(), [](const Release& r) { return r.why == cancelled_work; });
    if (out.size() > max_release) out.resize(max_release);
    return out;
}

void Scheduler::release_requested(const std::vector<Release>& machines) {
    for (const auto& [name, why] : machines) {
        auto* m = inventory_.find(name);
        if (!m || m->releasing) continue;
        spdlog::info("event=machine_scale_in machine={} type={} spot={} tasks={} why={}", name, m->type, m->spot,
                     m->tasks.size(), why);
        m->releasing = true;
    }
}

void Scheduler::process_paused(model::Clock::duration gap) {
    since_ += gap;
    for (auto& [name, m] : inventory_.all()) m->last_report += gap;
}

void Scheduler::machines_released(const std::vector<std::string>& machines, TimePoint now) {
    for (const auto& name : machines) {
        auto* m = inventory_.find(name);
        if (!m) continue;
        all_lost(*m, false, now);
        inventory_.remove(name);
    }
}

}  // namespace flintdale::scheduler
