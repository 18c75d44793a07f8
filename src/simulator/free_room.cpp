#include "simulator/free_room.hpp"

#include <algorithm>

namespace flintdale::simulator {

namespace {
bool may_use(const model::JobSpec& spec, const Machine& machine) {
    const bool type = !spec.types || std::count(spec.types->begin(), spec.types->end(), machine.type->name) > 0;
    return type && (!spec.zone || *spec.zone == machine.zone) && (spec.spot || !machine.spot);
}
}  // namespace

Room room_on(const Machines& machines, const model::JobSpec& spec, TimePoint now) {
    Room out;
    for (const auto& [name, machine] : machines) {
        const bool connected = machine->reachable(now) && now >= machine->heartbeats_lost_until;
        if (!connected || !may_use(spec, *machine)) continue;
        if (const auto slots = placement::task_slots(spec.need, machine->free())) out[name] = slots;
    }
    return out;
}

std::size_t room_for(const Machines& machines, const model::JobSpec& spec, const Room& room) {
    std::map<std::string, std::size_t> slots_by_zone, tasks_by_zone;
    for (const auto& [name, machine] : machines) {
        if (const auto found = room.find(name); found != room.end()) slots_by_zone[machine->zone] += found->second;
        for (const auto& [task_name, task] : machine->tasks)
            tasks_by_zone[machine->zone] += task_name.first == spec.uid && !task.exited();
    }
    const bool placed =
        std::any_of(tasks_by_zone.begin(), tasks_by_zone.end(), [](const auto& zone) { return zone.second > 0; });
    const std::size_t half = (spec.tasks + 1) / 2;
    std::size_t out = 0;
    for (auto [zone, slots] : slots_by_zone) {
        if (spec.spread) slots = std::min(slots, half - std::min(half, tasks_by_zone[zone]));
        if (!spec.one_zone) out += slots;
        if (spec.one_zone && (!placed || tasks_by_zone[zone] > 0)) out = std::max(out, slots);
    }
    return out;
}

}  // namespace flintdale::simulator
