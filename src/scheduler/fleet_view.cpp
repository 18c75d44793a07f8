#include "scheduler/fleet_view.hpp"

#include <algorithm>
#include <string_view>

namespace flintdale::scheduler {

namespace {
using namespace std::chrono_literals;
constexpr double unusable_intervals = 2.2;  // heartbeat intervals of silence after which a machine gets no new work
constexpr double overdue_intervals = 1.25;  // heartbeats may be a quarter of an interval late
constexpr Seconds packet_loss{1};           // allowance for one lost packet
constexpr auto first_round_slack = 500ms;   // allowance beyond the first round of heartbeats of a term
// Share of the machines with work whose heartbeat a new leader waits for.
constexpr double required_report_share = 0.95;
constexpr std::size_t min_quiet_zone_machines = 8;  // smaller zones may be silent by chance
// Heartbeat intervals within which a share of the machines must have reported.
constexpr double quiet_zone_window = 0.5;

// Whether the machine should report: it has reported before or has tasks, and is not known to be gone.
bool expected_to_report(const Machine& machine) {
    if (machine.releasing || machine.unlisted || machine.listed_failed) return false;
    return machine.reported || !machine.tasks.empty();
}
}  // namespace

bool FleetView::usable(const Machine& machine, TimePoint now) const {
    return machine.reported && !machine.releasing && !machine.draining && !machine.cordoned && !machine.quarantined &&
           !machine.terminates_at && !machine.listed_failed &&
           now - machine.last_report < model::to_clock(state_.settings.heartbeat_interval * unusable_intervals);
}

std::size_t FleetView::usable_machines(TimePoint now) const {
    std::size_t n = 0;
    for (const auto& [name, m] : state_.inventory.all()) n += usable(*m, now);
    return n;
}

Seconds FleetView::heartbeat_overdue() const {
    return state_.settings.heartbeat_interval * overdue_intervals + packet_loss;
}

HeartbeatCoverage FleetView::heartbeat_coverage(TimePoint now) const {
    HeartbeatCoverage out;
    for (const auto& [name, machine] : state_.inventory.all()) {
        if (!expected_to_report(*machine)) continue;
        ++out.expected;
        out.reporting += now - machine->last_report < model::to_clock(heartbeat_overdue());
    }
    return out;
}

// A zone that is cut off falls silent as a whole. In half a heartbeat interval half of its machines should report, so
// the silence shows before any single machine is overdue for long. Single failures, or even many, change that share
// little.
std::vector<bool> FleetView::quiet_zones(TimePoint now) const {
    struct Count {
        std::size_t expected = 0, reported = 0;
    };
    std::vector<Count> zones;
    for (const auto& [name, machine] : state_.inventory.all()) {
        if (!expected_to_report(*machine)) continue;
        const auto zone = machine->row.zone;
        if (zone >= zones.size()) zones.resize(zone + 1);
        ++zones[zone].expected;
        zones[zone].reported +=
            machine->reported &&
            now - machine->last_report < model::to_clock(state_.settings.heartbeat_interval * quiet_zone_window);
    }
    std::vector<bool> out(zones.size());
    for (std::size_t zone = 0; zone < zones.size(); ++zone) {
        const auto& count = zones[zone];
        out[zone] = zone != placement::unknown_zone && count.expected >= min_quiet_zone_machines &&
                    count.reported * 8 < count.expected;
    }
    return out;
}

placement::Planner FleetView::make_planner(TimePoint now) const {
    std::vector<placement::Host> hosts;
    for (const auto& [name, m] : state_.inventory.all())
        if (usable(*m, now) && (!state_.awaiting_reconciliation || reconciled(*m))) hosts.push_back(m->row);
    return placement::Planner(std::move(hosts), state_.rules.memory_margin);
}

// A new leader knows the load only after one round of heartbeats. If no tasks were on record when its term began, there
// is no load to wait for.
bool FleetView::first_round_complete(TimePoint now) const {
    if (state_.awaiting_reconciliation && !all_listed()) return false;
    const auto round = state_.settings.heartbeat_interval * overdue_intervals + first_round_slack;
    if (!state_.inherited_tasks || now >= after(state_.term_began, round)) return true;
    // Workers report to a leader of a higher term at once. Planning does not wait for the few machines that are gone.
    double working = 0, reported = 0;
    for (const auto& [name, machine] : state_.inventory.all()) {
        working += !machine->tasks.empty();
        reported += !machine->tasks.empty() && machine->reported;
    }
    return reported >= working * required_report_share;
}

void FleetView::machines_listed(const std::vector<model::ListedMachine>& machines, TimePoint now) {
    listed_at_ = now;
    for (const auto& listed : machines) {
        // The list lags and may still show released machines, which must not be added again.
        if (state_.inventory.confirmed_gone(listed.name)) continue;
        const bool is_new = !state_.inventory.find(listed.name);
        auto& machine = state_.inventory.add(listed.name, listed.type, listed.zone, listed.spot, now);
        if (is_new) machine.known_since = now - model::to_clock(listed.age);
        machine.listed_failed = listed.status == model::MachineStatus::failed;
        if (listed.status == model::MachineStatus::booting) machine.listed_booting_at = now;
    }
    // A list may be twice as old as its nominal lag, and lacks machines that are younger than that.
    std::set<std::string_view> names;
    for (const auto& listed : machines) names.insert(listed.name);
    const auto shown_after = model::to_clock(state_.settings.machine_list_lag * 3 + Seconds(2));
    for (auto& [name, machine] : state_.inventory.all())
        machine->unlisted = !names.contains(name) && now - machine->known_since > shown_after;
}

// If the last placements are lost, any waiting task may run on any machine that has not reported. A list contains all
// machines that are older than its lag, which may be twice the nominal one. A list that arrives this long after the
// beginning of the term therefore contains every machine that existed then.
model::Clock::duration FleetView::list_age() const {
    return model::to_clock(state_.settings.machine_list_lag * 2 + Seconds(2));
}

bool FleetView::all_listed() const { return listed_at_ - state_.term_began >= list_age(); }

// The tasks of a machine are known if it has reported under this term. They are also known if it was still booting
// after the term began: no command of an earlier leader can have reached it.
bool FleetView::reconciled(const Machine& machine) const {
    return (machine.has_current_term && !with_unknown_tasks_.contains(machine.name)) ||
           machine.listed_booting_at - list_age() >= state_.term_began;
}

bool FleetView::all_reconciled() const {
    const auto& machines = state_.inventory.all();
    return all_listed() &&
           std::all_of(machines.begin(), machines.end(), [&](const auto& entry) { return reconciled(*entry.second); });
}

void FleetView::set_unknown_tasks(const Machine& machine, bool any) {
    if (any)
        with_unknown_tasks_.insert(machine.name);
    else
        with_unknown_tasks_.erase(machine.name);
}

}  // namespace flintdale::scheduler
