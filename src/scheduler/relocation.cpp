#include "scheduler/relocation.hpp"

#include <spdlog/spdlog.h>

namespace flintdale::scheduler {

using State = Task::State;

namespace {
constexpr double slow_fetch_factor = 1.33;  // factor on the nominal fetch time of an image
constexpr int move_timeout_intervals = 4;   // heartbeat intervals after which a move is given up
constexpr int min_gain_intervals = 2;       // heartbeat intervals of remaining fetch time that justify a move
}  // namespace

void Relocation::start(const Job& job, std::uint32_t task, placement::Id to, TimePoint now) {
    spdlog::debug("event=task_relocation_started task={}/{} from={} to={}", job.spec.uid, task,
                  job.tasks[task].machine->name, state_.inventory.at(to)->name);
    state_.jobs.find(job.spec.uid)->tasks[task].draining = true;
    moves_.push_back({job.spec.uid, to, task, after(now, state_.settings.heartbeat_interval * move_timeout_intervals)});
}

bool Relocation::finish(placement::Planner& plan, TimePoint now) {
    bool any_placed = false;
    std::erase_if(moves_, [&](const Move& move) {
        const auto progress = advance(move, plan, now);
        any_placed = any_placed || progress == Progress::placed;
        return progress != Progress::pending;
    });
    return any_placed;
}

Relocation::Progress Relocation::advance(const Move& move, placement::Planner& plan, TimePoint now) {
    auto* job = state_.jobs.find(move.uid);
    if (!job || job->cancelled || job->finished || now > move.until) return Progress::given_up;
    const auto& task = job->tasks[move.task];
    const auto to = plan.find(move.to);
    if (task.state == State::placed && task.draining) {
        if (to != placement::Planner::none) plan.reserve(to, demand_.ask_of(*job));
        return Progress::pending;
    }
    if (task.state != State::waiting || to == placement::Planner::none) return Progress::given_up;
    auto hosts = demand_.hosts_of(*job);
    if (demand_.within_quota(*job, 1) == 0) return Progress::given_up;
    if (!plan.place_at(to, demand_.ask_of(*job), hosts, 1)) return Progress::given_up;
    std::erase(job->requeued, move.task);
    tasks_.place(*job, move.task, *state_.inventory.at(move.to), task.attempt + 1, now);
    tasks_.record_change(*job, move.task, RecordUrgency::immediate, now);
    return Progress::placed;
}

void Relocation::move_fetching(placement::Planner& plan, TimePoint now) {
    for (const auto& [uid, job] : state_.jobs.all()) {
        if (!job->is(model::JobKind::service) || job->cancelled || job->finished || job->placed <= job->running)
            continue;
        for (std::uint32_t i = 0; i < job->spec.tasks; ++i) move_if_faster(*job, i, plan, now);
    }
}

void Relocation::move_if_faster(const Job& job, std::uint32_t task, placement::Planner& plan, TimePoint now) {
    const auto& t = job.tasks[task];
    if (t.state != State::placed || !t.reported || t.started || t.draining) return;
    const auto& here = t.machine->row;
    const auto& ask = demand_.ask_of(job);
    if (here.has(ask.image)) return;
    const Seconds left = here.image_wait(ask.image, job.spec.image_gb) * slow_fetch_factor - (now - t.placed_at);
    if (left < state_.settings.heartbeat_interval * min_gain_intervals) return;
    const auto at = plan.best_host(ask, demand_.hosts_without(job, task));
    if (at == placement::Planner::none || !plan.host(at).has(ask.image)) return;
    plan.reserve(at, ask);
    start(job, task, plan.host(at).slot, now);
}

}  // namespace flintdale::scheduler
