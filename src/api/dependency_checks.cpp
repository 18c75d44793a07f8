#include "api/dependency_checks.hpp"

#include <algorithm>

namespace flintdale::api {

using model::JobState;
using state::Outcome;

namespace {

constexpr int max_rounds = 32;  // of checks of a job and its direct and indirect dependencies

std::optional<std::string> rejection_reason_for(const std::string& uid, const KnownJobPtr& job) {
    if (!job) return "prereqs: " + uid + " was never accepted";
    if (job->size.kind == model::JobKind::service) return "prereqs: " + uid + " is a service, which is never done";
    return std::nullopt;
}

}  // namespace

// A job in the cache was accepted, which never changes. Any other job is checked against the state service now, because
// the jobs of a pipeline are submitted in quick succession to different controllers.
awaitable<DependencyChecks::Acceptability> DependencyChecks::check_new(std::vector<std::string> dependencies,
                                                                       TimePoint deadline) {
    Acceptability out;
    CheckedJobs jobs;
    std::vector<std::pair<std::string, JobChecks::PendingCheck>> pending;
    for (const auto& uid : dependencies) {
        jobs[uid] = knowledge_.find(uid);
        if (!jobs[uid]) pending.emplace_back(uid, checks_.request(uid, deadline));
    }
    for (const auto& [uid, check] : pending) {
        const auto result = co_await checks_.result(check);
        if (!result.certain) out.known = false;
        jobs[uid] = result.job;
    }
    if (!out.known) co_return out;
    for (const auto& [uid, job] : jobs) {
        out.rejection_reason = rejection_reason_for(uid, job);
        if (out.rejection_reason) break;
    }
    co_return out;
}

awaitable<JobCheck> DependencyChecks::check_current(std::string uid, TimePoint deadline) {
    CheckedJobs checked;
    for (int round = 0; round < max_rounds; ++round) {
        auto open = open_jobs_of(uid, checked);
        move_ended_jobs(open.unchecked, checked);
        const auto own = checked.find(uid);
        if (own != checked.end() && (!own->second || own->second->ended())) co_return JobCheck{true, own->second};
        if (open.dependency_cancelled && own != checked.end()) {
            const auto job = own->second;
            state::KeyValue no_record;
            const auto outcome = co_await records_.cancel(uid, job, std::move(no_record));
            if (outcome == Outcome::ok) co_return JobCheck{true, knowledge_.newest(uid, job)};
            if (outcome != Outcome::conflict) co_return JobCheck{};
            checked.erase(uid);
            continue;
        }
        if (open.unchecked.empty()) co_return JobCheck{true, own->second};
        std::vector<std::pair<std::string, JobChecks::PendingCheck>> pending;
        for (const auto& name : open.unchecked) pending.emplace_back(name, checks_.request(name, deadline));
        for (const auto& [name, check] : pending) {
            const auto result = co_await checks_.result(check);
            if (!result.certain) co_return JobCheck{};
            checked[name] = result.job;
        }
    }
    co_return JobCheck{};
}

DependencyChecks::OpenJobs DependencyChecks::open_jobs_of(const std::string& uid, const CheckedJobs& checked) {
    OpenJobs out;
    std::vector<std::string> names{uid};
    for (std::size_t i = 0; i < names.size(); ++i) {
        const auto it = checked.find(names[i]);
        if (it == checked.end()) out.unchecked.push_back(names[i]);
        const auto job = it == checked.end() ? knowledge_.find(names[i]) : it->second;
        if (i > 0 && job && job->state == JobState::cancelled) out.dependency_cancelled = true;
        if (!job || job->ended()) continue;
        for (const auto& name : job->dependencies)
            if (std::find(names.begin(), names.end(), name) == names.end()) names.push_back(name);
    }
    return out;
}

void DependencyChecks::move_ended_jobs(std::vector<std::string>& unchecked, CheckedJobs& checked) {
    std::erase_if(unchecked, [&](const std::string& name) {
        auto job = knowledge_.find(name);
        const bool ended = job && job->ended();
        if (ended) checked[name] = std::move(job);
        return ended;
    });
}

}  // namespace flintdale::api
