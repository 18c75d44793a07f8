#include "scheduler/scale_in.hpp"

#include <algorithm>

#include "scheduler/lease_rule.hpp"

namespace flintdale::scheduler {

namespace {
constexpr std::size_t max_release = 100;  // limit of one call to the cloud
constexpr Seconds default_boot{60};       // boot time of machines of unknown type
constexpr Seconds min_boot_timeout{30};   // minimum time until a machine that never reported is released
// Heartbeat intervals of a new term before machines that never reported are released.
constexpr int new_term_intervals = 4;
// Heartbeat intervals of silence after the announced termination time.
constexpr double termination_silence_intervals = 1.5;
constexpr double silent_intervals = 1.7;    // minimum heartbeat intervals of silence before a machine is released
constexpr Seconds lease_margin{5};          // added to the lease where many machines are silent
constexpr Seconds death_listing_delay{30};  // time until the cloud's list shows that a machine has died
constexpr double list_lag_factor = 1.5;     // list lags until such a list has arrived
constexpr double quiet_zone_boots = 2;  // boot times, added to the lease, that machines of a cut-off zone may be silent
// Leases that a leader without heartbeats waits before it releases silent machines.
constexpr double cut_off_leases = 3;
constexpr int idle_report_intervals = 2;  // heartbeat intervals within which an idle machine must have reported
// Missed before a machine with cancelled work is released at half of the cancel deadline.
constexpr int missed_heartbeats = 3;
constexpr Seconds release_margin{5};  // time for a release to take effect, beside one late heartbeat
}  // namespace

std::vector<Release> ScaleIn::run(TimePoint now) const {
    const auto situation = assess(now);
    std::vector<Release> out;
    for (const auto& [name, machine] : state_.inventory.all()) {
        const char* why = reason(*machine, situation);
        // Cancelled work takes precedence over every other reason. During an outage of the store only this reason
        // counts, even for machines with an earlier release or a termination notice, because such a machine may still
        // run.
        if (cancelled_work_at_risk(*machine, now)) why = cancelled_work;
        if (why) out.push_back({name, why});
    }
    // During an outage of the store only machines with cancelled work are released. Hundreds of silent machines must
    // not delay them.
    std::stable_partition(out.begin(), out.end(), [](const Release& r) { return r.why == cancelled_work; });
    if (out.size() > max_release) out.resize(max_release);
    return out;
}

// Counts silent machines: many at once more likely mean that this controller is cut off than that all have died.
ScaleIn::Situation ScaleIn::assess(TimePoint now) const {
    Situation out{now, {}, fleet_.heartbeat_coverage(now).cut_off_from_workers(), fleet_.quiet_zones(now)};
    for (const auto& [name, machine] : state_.inventory.all()) {
        if (machine->releasing || (!machine->reported && machine->tasks.empty())) continue;
        auto& count = out.silent[machine->spot];
        ++count.all;
        count.silent += now - machine->last_report > model::to_clock(fleet_.heartbeat_overdue());
    }
    return out;
}

const char* ScaleIn::reason(const Machine& machine, const Situation& situation) const {
    const auto now = situation.now;
    if (machine.releasing) return "again";
    if (machine.listed_failed) return "failed";
    if (machine.terminates_at && now > after(*machine.terminates_at, Seconds(1)) &&
        Seconds(now - machine.last_report) > state_.settings.heartbeat_interval * termination_silence_intervals)
        return "taken";
    if (!machine.reported && machine.tasks.empty()) return never_came_up(machine, now) ? "never_up" : nullptr;
    return reason_of_reporting(machine, situation);
}

const char* ScaleIn::reason_of_reporting(const Machine& machine, const Situation& situation) const {
    const auto now = situation.now;
    const Seconds silent_for = now - machine.last_report;
    const auto limit = silence_timeout(machine, situation);
    if (silent_for > limit && now - state_.term_began > model::to_clock(std::min(limit, state_.settings.worker_lease)))
        return "silent";
    return idle(machine, now) ? "idle" : nullptr;
}

Seconds ScaleIn::boot_time(const Machine& machine) const {
    const auto* type = state_.inventory.type(machine.type);
    return type ? type->boot : default_boot;
}

bool ScaleIn::never_came_up(const Machine& machine, TimePoint now) const {
    const auto timeout = std::max(boot_time(machine) * state_.operator_settings.boot_timeout_factor, min_boot_timeout);
    return now - machine.known_since > model::to_clock(timeout) &&
           now - state_.term_began > model::to_clock(state_.settings.heartbeat_interval * new_term_intervals);
}

bool ScaleIn::idle(const Machine& machine, TimePoint now) const {
    if (!machine.tasks.empty() || machine.reported_tasks != 0) return false;
    if (Seconds(now - machine.last_report) >= state_.settings.heartbeat_interval * idle_report_intervals) return false;
    if (machine.quarantined || machine.draining || machine.cordoned) return true;
    const Seconds idle_for = now - machine.idle_since;
    return idle_for > machine.replacement_time(boot_time(machine)) * state_.operator_settings.idle_timeout_factor;
}

Seconds ScaleIn::silence_timeout(const Machine& machine, const Situation& situation) const {
    const auto& settings = state_.settings;
    // A machine that the cloud no longer lists is not silent because of this controller.
    const bool many = situation.silent.at(machine.spot).too_many_for_chance() && !machine.unlisted;
    Seconds out;
    if (many && situation.cut_off_from_workers) {
        // A leader that receives hardly any heartbeats should lose its term to a controller that receives more.
        // Releasing the fleet first would leave that controller without machines (inc-8739, inc-e02a).
        out = settings.worker_lease * cut_off_leases;
    } else if (many) {
        out = std::max(settings.worker_lease + lease_margin,
                       death_listing_delay + settings.machine_list_lag * list_lag_factor);
    } else {
        // Heartbeats may be up to a quarter of an interval late, and one may be lost.
        const auto timeout =
            std::max(state_.operator_settings.silent_timeout, settings.heartbeat_interval * silent_intervals);
        out = std::min(timeout, settings.worker_lease);
    }
    // In a zone that is cut off no machine can be replaced, so its machines are kept for as long as replacing them and
    // their images would take. Dead ones are released earlier, once they are listed as failed.
    const auto& quiet = situation.quiet_zones;
    if (!machine.unlisted && machine.row.zone < quiet.size() && quiet[machine.row.zone])
        out = std::max(out, settings.worker_lease + boot_time(machine) * quiet_zone_boots);
    return out;
}

// Cancelled work must be gone before the cancel deadline, even if other services are unreachable. A machine that hangs
// does not end the work when its lease expires. After half of the deadline the machine is released once it has missed
// three heartbeats. Shortly before the deadline, for a leader that was elected late, one overdue heartbeat suffices.
bool ScaleIn::cancelled_work_at_risk(const Machine& machine, TimePoint now) const {
    const auto& settings = state_.settings;
    const Seconds silent_for = now - machine.last_report;
    if (silent_for <= fleet_.heartbeat_overdue()) return false;
    for (const auto& [uid, i] : machine.tasks) {
        const auto* job = state_.jobs.find(uid);
        if (!job || !job->cancelled) continue;
        if (silent_for > settings.heartbeat_interval * missed_heartbeats &&
            now > after(job->cancelled_at, give_up_silent_after(settings)))
            return true;
        if (now >
            after(job->cancelled_at, settings.cancel_deadline - settings.heartbeat_interval * 1.25 - release_margin))
            return true;
    }
    return false;
}

}  // namespace flintdale::scheduler
