#include "scheduler/scale_in.hpp"

#include <algorithm>

#include "scheduler/lease_rule.hpp"

namespace flintdale::scheduler {

namespace {
constexpr std::size_t max_release = 100;  // machines in one call to the cloud
constexpr Seconds default_boot{60};       // of a machine of an unknown type
constexpr Seconds min_boot_timeout{30};   // before a machine that never reported is given up
constexpr int new_leader_intervals = 4;   // heartbeat intervals before a new leader gives up such machines
constexpr double notice_intervals = 1.5;  // heartbeat intervals of silence after the time of a notice
constexpr double silent_intervals = 1.7;  // heartbeat intervals that a machine must be silent to be given up
constexpr Seconds lease_margin{5};        // beyond the lease, where many machines are silent
constexpr Seconds listed_dead{30};        // after which the cloud's list tells that a machine has died
constexpr double list_lags = 1.5;         // times the lag of the list, for the list to come
constexpr double quiet_zone_boots = 2;    // beyond its lease that a machine of a zone that is cut off is waited for
constexpr double cut_off_leases = 3;      // that a leader without heartbeats waits before it releases machines
constexpr int lately_intervals = 2;       // heartbeat intervals within which an idle machine must have reported
constexpr int missed_heartbeats = 3;      // after which a machine with cancelled work is given up at half time
constexpr Seconds release_time{5};        // for a release before the cancel deadline, beside a late heartbeat
}  // namespace

std::vector<Release> ScaleIn::run(TimePoint now) const {
    const auto situation = assess(now);
    std::vector<Release> out;
    for (const auto& [name, machine] : state_.inventory.all()) {
        const char* why = reason(*machine, situation);
        // Whatever else speaks for it: in an outage no other reason counts, not even where a release was requested
        // before or a termination was announced, for nobody can tell whether the machine is gone.
        if (cancelled_work_must_go(*machine, now)) why = cancelled_work;
        if (why) out.push_back({name, why});
    }
    // In an outage nothing but cancelled work is released, and hundreds of silent machines must not delay it.
    std::stable_partition(out.begin(), out.end(), [](const Release& r) { return r.why == cancelled_work; });
    if (out.size() > max_release) out.resize(max_release);
    return out;
}

// Many machines that are silent at once more likely mean that this controller is cut off than that all have died.
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
        Seconds(now - machine.last_report) > state_.settings.heartbeat_interval * notice_intervals)
        return "taken";
    if (!machine.reported && machine.tasks.empty()) return never_came_up(machine, now) ? "never_up" : nullptr;
    return reason_of_reporting(machine, situation);
}

const char* ScaleIn::reason_of_reporting(const Machine& machine, const Situation& situation) const {
    const auto now = situation.now;
    const Seconds silent_for = now - machine.last_report;
    const auto limit = patience(machine, situation);
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
           now - state_.term_began > model::to_clock(state_.settings.heartbeat_interval * new_leader_intervals);
}

bool ScaleIn::idle(const Machine& machine, TimePoint now) const {
    if (!machine.tasks.empty() || machine.reported_tasks != 0) return false;
    if (Seconds(now - machine.last_report) >= state_.settings.heartbeat_interval * lately_intervals) return false;
    if (machine.quarantined || machine.draining || machine.cordoned) return true;
    const Seconds idle_for = now - machine.idle_since;
    return idle_for > machine.replacement_time(boot_time(machine)) * state_.operator_settings.idle_timeout_factor;
}

Seconds ScaleIn::patience(const Machine& machine, const Situation& situation) const {
    const auto& settings = state_.settings;
    // What the cloud no longer lists is not silent because of this controller.
    const bool many = situation.silent.at(machine.spot).many() && !machine.unlisted;
    Seconds out;
    if (many && situation.cut_off_from_workers) {
        // While hardly anyone is heard, the term should pass to a controller that hears more: to release the whole
        // fleet first would leave it nothing (inc-8739, inc-e02a).
        out = settings.worker_lease * cut_off_leases;
    } else if (many) {
        out = std::max(settings.worker_lease + lease_margin, listed_dead + settings.machine_list_lag * list_lags);
    } else {
        // Heartbeats come up to a quarter late, and one may be lost on the way.
        const auto timeout =
            std::max(state_.operator_settings.silent_timeout, settings.heartbeat_interval * silent_intervals);
        out = std::min(timeout, settings.worker_lease);
    }
    // Of a zone that is cut off nothing can be replaced there, and what its machines hold is worth a wait as long as it
    // takes to have it again. Those that died are listed as such before.
    const auto& quiet = situation.quiet_zones;
    if (!machine.unlisted && machine.row.zone < quiet.size() && quiet[machine.row.zone])
        out = std::max(out, settings.worker_lease + boot_time(machine) * quiet_zone_boots);
    return out;
}

// Cancelled work must be gone in time, whatever else is out of reach: a machine that hangs does not even end it when
// its lease has expired. After half of the time the machine is given up once it has missed three heartbeats, and where
// the time is nearly over, for a leader that came late, as soon as its heartbeat is overdue.
bool ScaleIn::cancelled_work_must_go(const Machine& machine, TimePoint now) const {
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
            after(job->cancelled_at, settings.cancel_deadline - settings.heartbeat_interval * 1.25 - release_time))
            return true;
    }
    return false;
}

}  // namespace flintdale::scheduler
