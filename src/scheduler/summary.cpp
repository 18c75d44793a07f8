#include "scheduler/summary.hpp"

#include <fmt/format.h>

#include <array>
#include <map>

namespace flintdale::scheduler {

namespace {
struct PoolLine {
    unsigned up = 0, booting = 0, unusable = 0, empty = 0;
    std::array<unsigned, 3> tasks_by_kind{};
    placement::Resources free;
};

std::map<std::string, std::uint32_t> waiting_by_class(const SchedulerState& state) {
    std::map<std::string, std::uint32_t> out;
    for (const auto& [uid, job] : state.jobs.all())
        if (job->runnable() && job->waiting()) out[job->spec.job_class] += job->waiting();
    return out;
}

void add_machine(PoolLine& line, const Machine& machine, bool usable, const JobTable& jobs) {
    ++(!machine.reported ? line.booting : usable ? line.up : line.unusable);
    line.empty += machine.reported && machine.tasks.empty();
    if (machine.reported) placement::add_resources(line.free, machine.row.free);
    for (const auto& [uid, i] : machine.tasks)
        if (const auto* job = jobs.find(uid)) ++line.tasks_by_kind[static_cast<std::size_t>(job->spec.kind)];
}
}  // namespace

std::string summarize(const SchedulerState& state, const FleetView& fleet, TimePoint now) {
    std::map<std::string, PoolLine> pools;
    for (const auto& [name, machine] : state.inventory.all()) {
        const auto pool = machine->type + "/" + machine->zone + (machine->spot ? "/spot" : "");
        add_machine(pools[pool], *machine, fleet.usable(*machine, now), state.jobs);
    }
    std::string out = "waiting=";
    for (const auto& [name, n] : waiting_by_class(state)) out += name + ":" + std::to_string(n) + ",";
    for (const auto& [pool, line] : pools)
        out += fmt::format(" {}=up:{},booting:{},unusable:{},empty:{},arrays:{},gangs:{},services:{},free_gpus:{:.0f}",
                           pool, line.up, line.booting, line.unusable, line.empty, line.tasks_by_kind[0],
                           line.tasks_by_kind[1], line.tasks_by_kind[2], line.free.gpus);
    return out;
}

}  // namespace flintdale::scheduler
