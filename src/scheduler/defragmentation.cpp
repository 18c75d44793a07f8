#include "scheduler/defragmentation.hpp"

#include <spdlog/spdlog.h>

namespace flintdale::scheduler {

namespace {
constexpr Seconds no_waiting_time{8};           // time without a waiting job before services are moved
constexpr Seconds min_runtime_before_move{20};  // minimum runtime of a service before it is moved
constexpr int max_retiring = 3;                 // machines emptied at the same time
}  // namespace

void Defragmentation::run(placement::Planner& plan, TimePoint now) {
    note_waiting_jobs(now);
    if (relocation_.any() || now < after(last_waiting_, no_waiting_time)) return;
    for (int k = 0; k < max_retiring; ++k) {
        auto* machine = costliest(plan, now);
        if (!machine) return;
        const auto to = destinations(*machine, plan);
        spdlog::info("event=machine_draining_for_defragmentation machine={} type={} tasks={}", machine->name,
                     machine->type, machine->tasks.size());
        machine->draining = true;
        plan.remove(machine->row.slot);
        std::size_t next = 0;
        for (const auto& [uid, i] : machine->tasks) relocation_.start(*state_.jobs.find(uid), i, to[next++], now);
    }
}

void Defragmentation::note_waiting_jobs(TimePoint now) {
    for (const auto& [uid, job] : state_.jobs.all())
        if (job->runnable() && job->waiting() && !job->crash_looping()) last_waiting_ = now;
}

bool Defragmentation::movable(const Machine& machine, TimePoint now) const {
    for (const auto& [uid, i] : machine.tasks) {
        const auto* job = state_.jobs.find(uid);
        if (!job || !job->is(model::JobKind::service) || job->cancelled) return false;
        const auto& task = job->tasks[i];
        if (!task.started || task.draining || now - task.running_since <= model::to_clock(min_runtime_before_move))
            return false;
    }
    return true;
}

double Defragmentation::cheapest_slot(const Machine& machine) const {
    double cheapest = 0;
    for (const auto& [uid, i] : machine.tasks) {
        const auto& need = state_.jobs.find(uid)->spec.need;
        for (const auto& type : state_.inventory.types()) {
            const auto slots = placement::task_slots(need, type.capacity);
            if (slots > 0 && (cheapest == 0 || type.price / slots < cheapest)) cheapest = type.price / slots;
        }
    }
    return cheapest;
}

Machine* Defragmentation::costliest(placement::Planner& plan, TimePoint now) {
    Machine* worst = nullptr;
    double worst_price = 0;
    for (auto& [name, machine] : state_.inventory.all()) {
        const auto* type = state_.inventory.type(machine->type);
        if (!type || machine->tasks.empty() || !fleet_.usable(*machine, now)) continue;
        if (machine->reported_tasks != machine->tasks.size() || !movable(*machine, now)) continue;
        const double price =
            (machine->spot ? type->spot_price : type->price) / static_cast<double>(machine->tasks.size());
        if (price < cheapest_slot(*machine) * state_.operator_settings.service_price_limit || price <= worst_price)
            continue;
        placement::Planner::Trial trial(plan);
        if (!destinations(*machine, plan).empty()) {
            worst = machine.get();
            worst_price = price;
        }
    }
    return worst;
}

std::vector<placement::Id> Defragmentation::destinations(const Machine& machine, placement::Planner& plan) const {
    std::vector<placement::Id> out;
    for (const auto& [uid, i] : machine.tasks) {
        const auto* job = state_.jobs.find(uid);
        const auto& ask = demand_.ask_of(*job);
        const auto at = plan.best_host(ask, demand_.hosts_without(*job, i));
        if (at == placement::Planner::none || plan.host(at).load == 0 || !plan.host(at).has(ask.image)) return {};
        out.push_back(plan.host(at).slot);
        plan.reserve(at, ask);
    }
    return out;
}

}  // namespace flintdale::scheduler
