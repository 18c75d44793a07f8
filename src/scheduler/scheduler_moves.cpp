// What the scheduler moves to a better place, and which machines it lets run empty.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "model/job.hpp"
#include "scheduler/scheduler.hpp"

namespace flintdale::scheduler {

using model::JobKind;
using placement::JobHosts;
using placement::Planner;
using State = Task::State;

namespace {
constexpr double slow_fetch = 1.33;  // times the nominal time that an image may take
constexpr Seconds calm{8};           // without anything waiting before services are moved together
constexpr Seconds settled{20};       // that a service must have run before it is moved again
constexpr int max_retiring = 3;      // machines emptied at a time
}  // namespace

JobHosts Scheduler::hosts_without(const Job& job, std::uint32_t task) const {
    auto hosts = hosts_of(job);
    const auto& m = *job.tasks[task].machine;
    --hosts.per_zone[m.row.zone];
    std::erase(hosts.own, m.row.slot);
    hosts.excluded.push_back(m.row.slot);
    return hosts;
}

void Scheduler::start_move(const Job& job, std::uint32_t task, placement::Id to, TimePoint now) {
    spdlog::debug("event=task_relocation_started task={}/{} from={} to={}", job.spec.uid, task,
                  job.tasks[task].machine->name, inventory_.at(to)->name);
    find(job.spec.uid)->tasks[task].draining = true;
    moves_.push_back({job.spec.uid, to, task, after(now, settings_.heartbeat_interval * 4)});
}

// A task that moves starts at its goal as soon as it is gone from where it was; until then its room is kept.
void Scheduler::finish_moves(Planner& plan, TimePoint now, bool& any) {
    std::erase_if(moves_, [&](const Move& move) {
        auto* job = find(move.uid);
        if (!job || job->cancelled || job->finished || now > move.until) return true;
        auto& t = job->tasks[move.task];
        const auto to = plan.find(move.to);
        if (t.state == State::placed && t.draining) {
            if (to != Planner::none) plan.reserve(to, ask_of(*job));
            return false;
        }
        if (t.state != State::waiting || to == Planner::none) return true;
        auto hosts = hosts_of(*job);
        if (within_limit(*job, 1) == 0 || !plan.place_at(to, ask_of(*job), hosts, 1)) return true;
        std::erase(job->again, move.task);
        set_placed(*job, move.task, *inventory_.at(move.to), t.attempt + 1, now);
        touch(*job, move.task, Write::at_once, now);
        any = true;
        return true;
    });
}

// A task that still waits for its image starts sooner on a machine that has got it meanwhile.
void Scheduler::move_fetching(Planner& plan, TimePoint now) {
    for (auto& [uid, job] : jobs_) {
        if (!job->is(JobKind::service) || job->cancelled || job->finished || job->placed <= job->running) continue;
        for (std::uint32_t i = 0; i < job->spec.tasks; ++i) {
            const auto& t = job->tasks[i];
            if (t.state != State::placed || !t.seen || t.started || t.draining) continue;
            const auto& here = t.machine->row;
            const auto& ask = ask_of(*job);
            if (here.has(ask.image)) continue;
            const Seconds left = here.image_wait(ask.image, job->spec.image_gb) * slow_fetch - (now - t.placed_at);
            if (left < settings_.heartbeat_interval * 2) continue;
            auto hosts = hosts_without(*job, i);
            const auto at = plan.peek(ask, hosts);
            if (at == Planner::none || !plan.host(at).has(ask.image)) continue;
            plan.reserve(at, ask);
            start_move(*job, i, plan.host(at).slot, now);
        }
    }
}

// The machine whose services pay most for their slots and would all find a place, with their image, on others.
Machine* Scheduler::sparsest(Planner& plan, TimePoint now) {
    Machine* worst = nullptr;
    double worst_price = 0;
    for (auto& [name, m] : inventory_.all()) {
        const auto* type = inventory_.type(m->type);
        if (!type || m->tasks.empty() || !usable(*m, now) || m->reported_tasks != m->tasks.size()) continue;
        double cheapest = 0;  // a slot of the kind, on any machine
        bool movable = true;
        for (const auto& [uid, i] : m->tasks) {
            const auto* j = job(uid);
            movable = movable && j && j->is(JobKind::service) && j->tasks[i].started && !j->cancelled &&
                      !j->tasks[i].draining && now - j->tasks[i].running_since > model::to_clock(settled);
            if (!movable) break;
            for (const auto& t : inventory_.types())
                if (const auto n = placement::slots(j->spec.need, t.capacity);
                    n > 0 && (cheapest == 0 || t.price / n < cheapest))
                    cheapest = t.price / n;
        }
        const double price = (m->spot ? type->spot_price : type->price) / static_cast<double>(m->tasks.size());
        if (!movable || price < cheapest * operator_settings_.service_price_limit || price <= worst_price) continue;
        Planner::Trial trial(plan);
        if (!rehouse(*m, plan).empty()) {
            worst = m.get();
            worst_price = price;
        }
    }
    return worst;
}

// Where all tasks of a machine could go at once, their room taken from the plan; empty if one of them could not.
std::vector<placement::Id> Scheduler::rehouse(const Machine& m, Planner& plan) const {
    std::vector<placement::Id> out;
    for (const auto& [uid, i] : m.tasks) {
        const auto* j = job(uid);
        const auto& ask = ask_of(*j);
        const auto at = plan.peek(ask, hosts_without(*j, i));
        if (at == Planner::none || plan.host(at).load == 0 || !plan.host(at).has(ask.image)) return {};
        out.push_back(plan.host(at).slot);
        plan.reserve(at, ask);
    }
    return out;
}

// When load has fallen, a machine that only a few services keep costs more than moving them does.
void Scheduler::consolidate(Planner& plan, TimePoint now) {
    if (!moves_.empty() || now < after(short_at_, calm)) return;
    for (int k = 0; k < max_retiring; ++k) {
        auto* m = sparsest(plan, now);
        if (!m) return;
        const auto to = rehouse(*m, plan);
        spdlog::info("event=machine_draining_for_defragmentation machine={} type={} tasks={}", m->name, m->type,
                     m->tasks.size());
        m->retiring = true;
        plan.remove(m->row.slot);
        std::size_t next = 0;
        for (const auto& [uid, i] : m->tasks) start_move(*job(uid), i, to[next++], now);
    }
}

void Scheduler::relocate(TimePoint now) {
    if (unsettled_) return;
    if (!round_heard(now)) return;
    unpark(now);
    auto plan = planner(now);
    bool placed = false;
    finish_moves(plan, now, placed);
    move_fetching(plan, now);
    for (const auto& [uid, job] : jobs_)
        if (job->runnable() && job->waiting() && !job->doubtful()) short_at_ = now;
    consolidate(plan, now);
    shrink(now);
}

// The least loaded machine takes the next task, so that in a large fleet none ever gets empty by itself, however little
// there is to do. Where more room has been spare for a while than the ups and downs of the load need (which in a fleet
// of n go by the root of n), the dearest of what is spare gets no new work and goes when it is empty.
void Scheduler::shrink(TimePoint now) {
    if (unsettled_) return;
    if (now < after(no_room_at_, calm)) {
        spare_since_ = now;
        return;
    }
    struct Spare {
        double waste, price;
        Machine* machine;
    };
    double total = 0, spare = 0;
    Seconds again{0};  // summed over all
    std::size_t machines = 0;
    std::vector<Spare> choices;
    for (auto& [name, m] : inventory_.all()) {
        const auto* type = inventory_.type(m->type);
        if (!type || !usable(*m, now)) continue;
        const double price = m->spot ? type->spot_price : type->price;
        const double waste = price * (1 - m->in_use());
        ++machines;
        total += price;
        spare += waste;
        again += m->again(type->boot);
        // Services do not end by themselves.
        if (m->row.standing.cpus <= 0) choices.push_back({waste, price, m.get()});
    }
    if (machines == 0) return;
    const double wanted = operator_settings_.spare_capacity_share + 2 / std::sqrt(static_cast<double>(machines));
    if (spare <= wanted * total) {
        spare_since_ = now;
        return;
    }
    // Where images take long, room is also what lets them be fetched side by side.
    again /= static_cast<double>(machines);
    std::erase_if(choices, [&](const Spare& c) {
        const auto own = c.machine->again(inventory_.type(c.machine->type)->boot);
        return now < after(spare_since_, std::max(own, again) * operator_settings_.spare_timeout_factor);
    });
    std::sort(choices.begin(), choices.end(), [](const Spare& a, const Spare& b) {
        return a.waste != b.waste ? a.waste > b.waste : a.machine->name < b.machine->name;
    });
    auto most = machines / 50 + 1;
    for (const auto& c : choices) {
        if (most-- == 0 || spare - c.waste <= wanted * (total - c.price)) break;
        spdlog::debug("event=machine_cordoned machine={} type={} tasks={}", c.machine->name, c.machine->type,
                      c.machine->tasks.size());
        c.machine->cordoned = true;
        spare -= c.waste;
        total -= c.price;
    }
}

// Room is wanted again.
void Scheduler::uncordon() {
    for (auto& [name, m] : inventory_.all()) m->cordoned = false;
}

}  // namespace flintdale::scheduler
