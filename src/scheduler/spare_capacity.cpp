#include "scheduler/spare_capacity.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

namespace flintdale::scheduler {

namespace {
constexpr Seconds no_shortage_time{8};  // time without a job that found no room, before spare capacity is measured
// Load fluctuations in a fleet of n machines grow with the square root of n.
constexpr double load_deviation = 2;
constexpr std::size_t machines_per_cordon = 50;  // fleet size for which one step cordons one machine more
}  // namespace

// New tasks go to the least loaded machine, so in a large fleet no machine becomes empty, however low the load is. If
// the idle share has exceeded the wanted one for some time, the machines with the highest idle cost are cordoned. They
// get no new tasks, and are released when they are empty.
void SpareCapacity::cordon_spare(TimePoint now) {
    if (state_.awaiting_reconciliation) return;
    if (now < after(state_.last_shortage, no_shortage_time)) {
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
    // If images take long to fetch, spare machines also allow parallel fetches, so they are kept for longer.
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
        // Services do not end, so a machine that runs one would not become empty.
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
