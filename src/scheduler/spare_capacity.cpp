#include "scheduler/spare_capacity.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

namespace flintdale::scheduler {

namespace {
constexpr Seconds calm{8};  // without a job that found no room, before spare room is counted
// The ups and downs of the load in a fleet of n machines go by the root of n.
constexpr double load_deviation = 2;
constexpr std::size_t machines_per_cordon = 50;  // one more machine is cordoned at a time for each so many
}  // namespace

// The least loaded machine takes the next task, so that in a large fleet none ever gets empty by itself, however little
// there is to do. Where more room has been spare for a while than the ups and downs of the load need, the machines that
// cost most for what idles get no new work and are returned when they are empty.
void SpareCapacity::cordon_spare(TimePoint now) {
    if (state_.awaiting_reconciliation) return;
    if (now < after(state_.last_shortage, calm)) {
        spare_since_ = now;
        return;
    }
    std::vector<Candidate> candidates;
    const auto totals = count(candidates, now);
    if (totals.machines == 0) return;
    const double wanted_share = state_.operator_settings.spare_capacity_share +
                                load_deviation / std::sqrt(static_cast<double>(totals.machines));
    if (totals.waste <= wanted_share * totals.price) {
        spare_since_ = now;
        return;
    }
    // Where images take long, room is also what lets them be fetched side by side.
    std::erase_if(candidates, [&](const Candidate& candidate) {
        const auto own = candidate.machine->replacement_time(state_.inventory.type(candidate.machine->type)->boot);
        const auto wait = std::max(own, totals.replacement) * state_.operator_settings.spare_timeout_factor;
        return now < after(spare_since_, wait);
    });
    std::sort(candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) {
        return a.waste != b.waste ? a.waste > b.waste : a.machine->name < b.machine->name;
    });
    cordon(candidates, totals, wanted_share);
}

SpareCapacity::Totals SpareCapacity::count(std::vector<Candidate>& candidates, TimePoint now) const {
    Totals out;
    for (auto& [name, machine] : state_.inventory.all()) {
        const auto* type = state_.inventory.type(machine->type);
        if (!type || !fleet_.usable(*machine, now)) continue;
        const double price = machine->spot ? type->spot_price : type->price;
        const double waste = price * (1 - machine->utilization());
        ++out.machines;
        out.price += price;
        out.waste += waste;
        out.replacement += machine->replacement_time(type->boot);
        // Services do not end by themselves.
        if (machine->row.held_by_services.cpus <= 0) candidates.push_back({waste, price, machine.get()});
    }
    if (out.machines) out.replacement /= static_cast<double>(out.machines);
    return out;
}

void SpareCapacity::cordon(const std::vector<Candidate>& candidates, Totals totals, double wanted_share) {
    auto most = totals.machines / machines_per_cordon + 1;
    for (const auto& [waste, price, machine] : candidates) {
        if (most-- == 0 || totals.waste - waste <= wanted_share * (totals.price - price)) break;
        spdlog::debug("event=machine_cordoned machine={} type={} tasks={}", machine->name, machine->type,
                      machine->tasks.size());
        machine->cordoned = true;
        totals.waste -= waste;
        totals.price -= price;
    }
}

void SpareCapacity::uncordon() {
    for (auto& [name, machine] : state_.inventory.all()) machine->cordoned = false;
}

}  // namespace flintdale::scheduler
