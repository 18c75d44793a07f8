#include "simulator/run_observer.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "simulator/service_stats.hpp"
#include "state/generation_marker.hpp"

namespace flintdale::simulator {

namespace {
constexpr Seconds check_interval{0.5}, waiting_check_interval{2};
constexpr Seconds unanswered_limit{75};    // after which an accepted job that nobody answers for counts as forgotten
constexpr Seconds waiting_limit{90};       // beside free room
constexpr Seconds disturbance_period{45};  // after a loss of data
constexpr Seconds placing_settles{1};      // starts that were under way when data were lost do not count
constexpr const char *class_prefix = "class ", *team_prefix = "team ";
}  // namespace

RunObserver::RunObserver(Events& events, const Scenario& scenario, Checker& checker, const Fleet& fleet,
                         const Controllers& controllers, const KeyValueStore& store, const Users& users,
                         FaultSchedule& schedule, RunResult& result)
    : events_(events),
      scenario_(scenario),
      checker_(checker),
      fleet_(fleet),
      controllers_(controllers),
      store_(store),
      users_(users),
      schedule_(schedule),
      result_(result) {}

void RunObserver::start() {
    check();
    check_waiting_jobs();
}

void RunObserver::check() {
    checker_.check_deadlines();
    check_idle_jobs();
    check_leaders();
    check_unanswered_jobs();
    check_rebuilds();
    if (data_lost_at_ && fleet_.task_stats().last_start > *data_lost_at_ + model::to_clock(placing_settles)) {
        const Seconds waited = fleet_.task_stats().last_start - *data_lost_at_;
        result_.placing_after = std::max(result_.placing_after, waited.count());
        data_lost_at_.reset();
    }
    events_.after(check_interval, [this] { check(); });
}

void RunObserver::check_rebuilds() {
    const auto marker = state::parse_marker(store_.get(state::marker_key));
    if (!marker || marker->generation <= result_.rebuilt) return;
    result_.rebuilt = marker->generation;
    last_rebuild_s_ = events_.since_start().count();
}

// Which classes and teams have open work, and whether any of it is on a machine.
void RunObserver::check_idle_jobs() {
    std::map<std::string, bool> running;
    for (const auto& job : users_.jobs()) {
        const auto& spec = job->spec;
        if (!job->accepted || job->finished || checker_.all_done(spec.uid)) continue;
        if (!job->waited && checker_.ever(spec.uid) == spec.tasks) job->waited = events_.now() - job->accepted_at;
        const bool on_machine = checker_.on_now(spec.uid) > 0;
        for (const auto& name : {class_prefix + spec.job_class, team_prefix + spec.team})
            running[name] = running[name] || on_machine;
    }
    std::erase_if(idle_since_, [&](const auto& idle) {
        const auto found = running.find(idle.first);
        return found == running.end() || found->second;
    });
    for (const auto& [name, on_machine] : running)
        if (!on_machine) record_idle(name);
}

void RunObserver::record_idle(const std::string& name) {
    const auto since = idle_since_.try_emplace(name, events_.now()).first->second;
    const bool team = name.starts_with(team_prefix);
    const std::string_view prefix = team ? team_prefix : class_prefix;
    auto& stats = (team ? result_.teams : result_.classes)[name.substr(prefix.size())];
    stats.longest_idle = std::max(stats.longest_idle, Seconds(events_.now() - since).count());
}

void RunObserver::check_leaders() {
    std::set<std::size_t> leaders;
    for (std::size_t node = 0; node < controllers_.size(); ++node)
        if (controllers_.leading(node)) leaders.insert(node);
    const bool elected = !std::includes(leaders_.begin(), leaders_.end(), leaders.begin(), leaders.end());
    leaders_ = std::move(leaders);
    if (!elected) return;
    ++result_.elections;
    schedule_.step_seen(FaultTrigger::leader_elected);
}

void RunObserver::check_unanswered_jobs() {
    for (const auto& job : users_.jobs()) {
        if (!job->accepted) continue;
        const auto since = std::max({job->answered_at, job->accepted_at, schedule_.faults_over()});
        if (events_.now() - since > model::to_clock(unanswered_limit)) checker_.unanswered(job->spec.uid);
    }
}

// Once all faults are over, a job must not wait for long while machines that fit have room all that time and its team
// is under its limit: of a gang for all of it, of others for one task.
void RunObserver::check_waiting_jobs() {
    for (const auto& job : users_.jobs()) {
        if (!waits_beside_room(*job)) job->last_without_room = events_.now();
        const Seconds waited = events_.now() - job->last_without_room;
        result_.longest_left = std::max(result_.longest_left, waited.count());
        if (waited <= waiting_limit) continue;
        checker_.left_waiting(job->spec.uid + " beside " + job->free_since.begin()->first);
        job->last_without_room = events_.now();
    }
    events_.after(waiting_check_interval, [this] { check_waiting_jobs(); });
}

bool RunObserver::waits_beside_room(UserJob& job) const {
    const auto& spec = job.spec;
    const bool gang = spec.kind == model::JobKind::gang;
    const auto placed =
        std::min<std::size_t>(spec.tasks, fleet_.tasks_on_machines(spec.uid) + checker_.done_of(spec.uid));
    const std::size_t least = gang ? spec.tasks : 1;
    if (!job.accepted || job.finished || job.cancelling) return false;
    if (gang ? placed > 0 : placed >= spec.tasks) return false;
    if (events_.now() <= schedule_.faults_over() || !checker_.within_limit(spec, least)) return false;

    const auto room = fleet_.room_on(spec);
    const bool began_to_wait = events_.now() - job.last_without_room <= waiting_check_interval * 1.5;
    if (began_to_wait) job.free_since = room;
    Fleet::Room still_free;
    for (const auto& [machine, slots] : job.free_since)
        if (const auto found = room.find(machine); found != room.end())
            still_free[machine] = std::min(slots, found->second);
    job.free_since = std::move(still_free);
    return fleet_.room_for(spec, job.free_since) >= least;
}

// --- loss of data ---

void RunObserver::data_lost() {
    data_lost_at_ = events_.now();
    events_.after(disturbance_period, [this, before = fleet_.running()] { record_undisturbed(before); });
}

bool RunObserver::cancelled_by_user(const std::string& uid) const {
    return std::any_of(users_.jobs().begin(), users_.jobs().end(),
                       [&uid](const auto& job) { return job->spec.uid == uid && job->cancel_after; });
}

void RunObserver::record_undisturbed(const std::map<TaskName, std::string>& before) {
    const auto& all_stopped = fleet_.task_stats().stopped;
    std::size_t counted = 0, undisturbed = 0;
    const auto since = events_.now() - model::to_clock(disturbance_period);
    for (const auto& [task, machine] : before) {
        if (!fleet_.alive(machine) || cancelled_by_user(task.first)) continue;
        const auto stopped = all_stopped.find(task);
        ++counted;
        undisturbed += stopped == all_stopped.end() || stopped->second < since;
    }
    if (!counted) return;
    const auto share = static_cast<double>(undisturbed) / static_cast<double>(counted);
    result_.undisturbed = std::min(result_.undisturbed, share);
}

// --- the end of the run ---

void RunObserver::finish() {
    result_.broken = checker_.broken();
    result_.first = checker_.first();
    result_.forgotten = checker_.forgotten();
    result_.machines = fleet_.up();
    result_.started = fleet_.task_stats().started;
    result_.lease_kills = fleet_.task_stats().lease_kills;
    result_.cancelled_running = checker_.cancelled_running();
    result_.late_starts = checker_.late_starts();
    result_.longest_gone = checker_.longest_gone().count();
    result_.relayed = controllers_.relayed_messages();
    if (result_.rebuilt) --result_.rebuilt;  // the first generation is not a rebuild
    if (!result_.losses && result_.rebuilt) {
        result_.broken["false_alarm"] = static_cast<unsigned>(result_.rebuilt);
        result_.first["false_alarm"] = fmt::format("{:.1f} s: a loss declared where none was", last_rebuild_s_);
    }
    summarize_service(scenario_, checker_, users_.jobs(), events_.now(), result_);
}

}  // namespace flintdale::simulator
