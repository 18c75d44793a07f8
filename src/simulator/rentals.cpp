#include "simulator/rentals.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "model/machine.hpp"

namespace flintdale::simulator {

namespace {
constexpr Seconds listed_dead{30};  // after which the list tells that a machine has died
}

Rentals::Rentals(Events& events, const config::Settings& settings, const Scenario& scenario, AddressOf address_of)
    : events_(events), settings_(settings), scenario_(scenario), address_of_(std::move(address_of)) {}

const Rented& Rentals::add(const model::MachineType& type, const std::string& zone, bool spot) {
    Rented rented;
    rented.name = fmt::format("n-{:06}", ++names_);
    rented.address = address_of_(rented.name, names_);
    rented.type = &type;
    rented.zone = zone;
    rented.spot = spot;
    rented.since = events_.now();
    const auto name = rented.name;
    return machines_[name] = std::move(rented);
}

Rentals::Granted Rentals::rent(const std::string& request, const std::string& type, const std::string& zone, bool spot,
                               int count) {
    Granted out;
    out.result.outcome = cloud::LaunchOutcome::granted;
    if (const auto it = requests_.find(request); it != requests_.end()) {
        out.result.machines = it->second;
        return out;
    }
    if (scenario_.capacity) {
        const auto left = scenario_.capacity - std::min(scenario_.capacity, machines_.size());
        count = std::min(count, static_cast<int>(left));
        if (count == 0) out.result.outcome = cloud::LaunchOutcome::no_capacity;
    }
    for (const auto& t : scenario_.types)
        if (t.name == type)
            for (int i = 0; i < count; ++i) {
                out.fresh.push_back(&add(t, zone, spot));
                out.result.machines.push_back(out.fresh.back()->name);
            }
    if (out.result.outcome == cloud::LaunchOutcome::granted) requests_[request] = out.result.machines;
    return out;
}

const Rented* Rentals::find(const std::string& name) const {
    const auto it = machines_.find(name);
    return it == machines_.end() ? nullptr : &it->second;
}

void Rentals::came_up(const std::string& name) {
    if (const auto it = machines_.find(name); it != machines_.end()) it->second.up = true;
}

void Rentals::died(const std::string& name) {
    const auto it = machines_.find(name);
    if (it == machines_.end()) return;
    it->second.dead = true;
    it->second.died = events_.now();
}

std::vector<model::ListedMachine> Rentals::list(const std::string& after, std::size_t most) const {
    std::vector<model::ListedMachine> out;
    for (auto it = machines_.upper_bound(after); it != machines_.end() && out.size() < most; ++it) {
        const auto& m = it->second;
        const Seconds age = events_.now() - m.since;
        if (age < settings_.machine_list_lag && age < events_.since_start()) continue;
        const bool failed = m.dead && events_.now() - m.died > model::to_clock(listed_dead);
        out.push_back({m.name, m.address, m.type->name, m.zone, m.spot,
                       failed ? model::MachineStatus::failed
                       : m.up ? model::MachineStatus::running
                              : model::MachineStatus::booting,
                       age});
    }
    return out;
}

}  // namespace flintdale::simulator
