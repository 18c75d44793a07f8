#include "simulator/checker.hpp"

#include <algorithm>

#include "model/job.hpp"

namespace flintdale::simulator {

void Checker::record_violation(const std::string& rule, const std::string& what) {
    if (++broken_[rule] == 1) first_[rule] = std::to_string(events_.since_start().count()) + " s: " + what;
}

bool Checker::all_done(const std::string& uid) const {
    const auto it = jobs_.find(uid);
    return it != jobs_.end() && it->second.done.size() == it->second.spec.tasks;
}

std::size_t Checker::ever(const std::string& uid) const {
    const auto it = jobs_.find(uid);
    return it == jobs_.end() ? 0 : it->second.ever.size();
}

std::size_t Checker::on_now(const std::string& uid) const {
    const auto it = jobs_.find(uid);
    return it == jobs_.end() ? 0 : it->second.on.size();
}

void Checker::arrives(const TaskName& task, const Place& place) {
    auto& job = jobs_[task.first];
    const auto name = task.first + "/" + std::to_string(task.second) + " on " + place.machine;
    if (const auto it = job.on.find(task.second); it != job.on.end()) {
        record_violation("ran_twice", name + " and on " + it->second.machine);
        return;
    }
    const auto& spec = job.spec;
    if (job.final_status == "aborted" && events_.now() > job.told_at + model::to_clock(settings_.cancel_deadline))
        record_violation("ran_cancelled", name);
    late_starts_ += job.final_status == "aborted" && events_.now() > job.told_at + std::chrono::seconds(1);
    const bool type = !spec.types || std::count(spec.types->begin(), spec.types->end(), place.type) > 0;
    std::size_t there = 1, elsewhere = 0;
    for (const auto& [i, other] : job.on) ++(other.zone == place.zone ? there : elsewhere);
    if (!type || (spec.zone && *spec.zone != place.zone) || (place.spot && !spec.spot) ||
        (spec.one_zone && elsewhere > 0) || (spec.spread && there > (spec.tasks + 1) / 2))
        record_violation("wrong_place", name);
    job.on.emplace(task.second, place);
    job.ever.insert(task.second);
    auto& use = use_[spec.team];
    placement::add_resources(use, spec.need);
    if (const auto* team = settings_.team(spec.team))
        if ((team->cpus_limit > 0 && use.cpus > team->cpus_limit + 1e-6) ||
            (team->gpus_limit > 0 && use.gpus > team->gpus_limit + 1e-6)) {
            std::string held;
            for (const auto& [uid, other] : jobs_)
                if (other.spec.team == spec.team)
                    for (const auto& [i, at] : other.on) held += " " + uid + "/" + std::to_string(i) + "@" + at.machine;
            record_violation("quota", name + " beside" + held);
        }
}

void Checker::leaves(const TaskName& task, const std::string& machine) {
    auto& job = jobs_[task.first];
    const auto it = job.on.find(task.second);
    if (it == job.on.end() || it->second.machine != machine) return;
    job.on.erase(it);
    placement::subtract_resources(use_[job.spec.team], job.spec.need);
    if (job.final_status == "aborted") longest_gone_ = std::max(longest_gone_, Seconds(events_.now() - job.told_at));
}

void Checker::told(const std::string& uid, const std::string& status, TimePoint asked) {
    const auto it = jobs_.find(uid);
    if (it == jobs_.end()) return record_violation("invented", uid);
    auto& job = it->second;
    if (!job.final_status.empty() && status != job.final_status && asked > job.told_at)
        record_violation("went_back", uid + " was " + job.final_status + ", is " + status);
    if (status == "aborted" && !job.cancel_asked) record_violation("went_back", uid + " was cancelled by nobody");
    if (status == "done" && job.done.size() < job.spec.tasks) record_violation("not_done", uid);
    if (status != "done" && status != "aborted") return;
    if (job.final_status.empty()) {
        job.final_status = status;
        job.told_at = events_.now();
        cancelled_running_ += status == "aborted" && !job.on.empty();
    }
}

void Checker::told_unknown(const std::string& uid) {
    const auto it = jobs_.find(uid);
    if (it == jobs_.end() || !it->second.accepted) return;
    forgotten_.insert(uid);
    record_violation("forgotten", uid);
}

void Checker::unanswered(const std::string& uid) {
    if (forgotten_.insert(uid).second) record_violation("forgotten", uid + " is not answered for");
}

bool Checker::within_limit(const model::JobSpec& spec, std::size_t tasks) const {
    const auto* team = settings_.team(spec.team);
    if (!team) return true;
    const auto it = use_.find(spec.team);
    const auto use = it == use_.end() ? placement::Resources{} : it->second;
    const auto n = static_cast<double>(tasks);
    return (team->cpus_limit <= 0 || use.cpus + spec.need.cpus * n <= team->cpus_limit + 1e-6) &&
           (team->gpus_limit <= 0 || use.gpus + spec.need.gpus * n <= team->gpus_limit + 1e-6);
}

void Checker::check_deadlines() {
    for (const auto& [uid, job] : jobs_)
        if (job.final_status == "aborted" && !job.on.empty() &&
            events_.now() > job.told_at + model::to_clock(settings_.cancel_deadline))
            record_violation("ran_cancelled", uid + " is still on " + job.on.begin()->second.machine);
}

}  // namespace flintdale::simulator
