#include "api/job_feasibility.hpp"

#include "placement/planner.hpp"

namespace flintdale::api {

namespace {

constexpr double rounding_tolerance = 1e-9;

bool exceeds(double limit, double need) { return limit > 0 && need > limit + rounding_tolerance; }

bool allowed_somewhere(const model::JobSpec& spec, const model::MachineType& type) {
    const placement::Rules no_rules;
    for (const auto& zone : type.zones)
        if (placement::allowed(spec, no_rules, type.name, zone, false)) return true;
    return false;
}

}  // namespace

std::optional<std::string> infeasibility_reason(const model::JobSpec& spec, const config::Settings& settings,
                                                const std::vector<model::MachineType>& types) {
    const auto* team = settings.team(spec.team);
    if (!team) return "owner: unknown team";
    // Tasks of an array need not run at the same time, so each is checked alone.
    const bool array = spec.kind == model::JobKind::array;
    const double tasks = array ? 1.0 : static_cast<double>(spec.tasks);
    if (exceeds(team->cpus_limit, spec.need.cpus * tasks)) return "cores: more than the team's limit";
    if (exceeds(team->gpus_limit, spec.need.gpus * tasks)) return "accelerators: more than the team's limit";
    // A zone takes at most half of a spread job's tasks, rounded up. So several tasks never fit into a single zone.
    if (spec.spread && (spec.one_zone || spec.zone) && !array && spec.tasks > 1)
        return "scatter: all tasks would have to be in one zone";
    for (const auto& type : types)
        if (placement::fits(spec.need, type.capacity) && allowed_somewhere(spec, type)) return std::nullopt;
    return "hosttypes: a task fits no allowed machine type";
}

}  // namespace flintdale::api
