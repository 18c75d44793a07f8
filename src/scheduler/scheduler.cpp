#include "scheduler/scheduler.hpp"

#include <spdlog/spdlog.h>

namespace flintdale::scheduler {

Scheduler::Scheduler(const config::Settings& settings, const config::OperatorSettings& operator_settings,
                     const state::RecordFormat& record_format, std::uint64_t term, std::uint64_t term_revision,
                     TimePoint now)
    : state_(settings, operator_settings, record_format, term, term_revision, now),
      tasks_(state_),
      lifecycle_(state_, tasks_),
      demand_(state_),
      fleet_(state_),
      gangs_(state_, tasks_),
      failures_(state_),
      runs_(state_),
      reconciler_(state_, tasks_, fleet_, gangs_, failures_, runs_),
      queue_(state_, demand_),
      preemption_(state_, demand_, fleet_),
      relocation_(state_, tasks_, demand_),
      defragmentation_(state_, demand_, fleet_, relocation_),
      spare_(state_, fleet_, now),
      placement_(state_, tasks_, demand_, fleet_, queue_, preemption_, relocation_, spare_),
      scale_out_(state_, demand_, fleet_, queue_),
      scale_in_(state_, fleet_),
      writer_(state_, lifecycle_),
      loader_(state_, tasks_, lifecycle_) {}

bool Scheduler::cancelled_by_peer(const std::string& uid, TimePoint now) {
    auto* job = state_.jobs.find(uid);
    if (!job || job->cancelled || job->finished) return false;
    lifecycle_.cancel(*job, now);
    return true;
}

void Scheduler::job_over(const std::string& uid, TimePoint now, Seconds ago) {
    auto* job = state_.jobs.find(uid);
    if (!job || job->finished) return;
    state_.dependencies.closed_unread(uid);
    lifecycle_.cancel(*job, now - model::to_clock(ago));
}

Scheduler::ExpectedWork Scheduler::expected_work(const model::Heartbeat& heartbeat, std::uint64_t passes) const {
    const auto* machine = state_.inventory.find(heartbeat.machine);
    if (!machine || machine->releasing || !RunCommands::is_latest(*machine, heartbeat)) return ExpectedWork::none;
    if (runs_.any_pending(*machine)) return ExpectedWork::record_write;
    const bool unplanned = placement_.any_waiting() && passes == placement_.passes();
    return unplanned && !machine->cordoned && machine->in_use() < 1 ? ExpectedWork::placement : ExpectedWork::none;
}

void Scheduler::machines_launched(const fleet::Pool& pool, const std::vector<std::string>& machines, TimePoint now) {
    state_.inventory.granted(pool);
    for (const auto& name : machines)
        if (!state_.inventory.gone(name)) state_.inventory.add(name, pool.type, pool.zone, pool.spot, now);
}

void Scheduler::machines_released(const std::vector<std::string>& machines, TimePoint now) {
    for (const auto& name : machines) {
        auto* machine = state_.inventory.find(name);
        if (!machine) continue;
        tasks_.lose_all(*machine, false, now);
        state_.inventory.remove(name);
    }
}

void Scheduler::relocate(TimePoint now) {
    if (state_.awaiting_reconciliation) return;
    if (!fleet_.first_round_complete(now)) return;
    gangs_.release_expired(now);
    auto plan = fleet_.make_planner(now);
    relocation_.finish(plan, now);
    relocation_.move_fetching(plan, now);
    defragmentation_.run(plan, now);
    spare_.cordon_spare(now);
}

void Scheduler::release_requested(const std::vector<Release>& machines) {
    for (const auto& [name, why] : machines) {
        auto* machine = state_.inventory.find(name);
        if (!machine || machine->releasing) continue;
        spdlog::info("event=machine_scale_in machine={} type={} spot={} tasks={} why={}", name, machine->type,
                     machine->spot, machine->tasks.size(), why);
        machine->releasing = true;
    }
}

void Scheduler::process_paused(model::Clock::duration gap) {
    state_.term_began += gap;
    for (auto& [name, machine] : state_.inventory.all()) machine->last_report += gap;
}

void Scheduler::record_reread(const state::KeyValue& item, TimePoint now) {
    if (const auto key = parse_work_key(item.key))
        writer_.record_reread(*key, item);
    else
        loader_.job_changed(item, now, 0);
}

}  // namespace flintdale::scheduler
