#include "scheduler/job_table.hpp"

namespace flintdale::scheduler {

Job* JobTable::find(const std::string& uid) const {
    const auto it = jobs_.find(uid);
    return it == jobs_.end() ? nullptr : it->second.get();
}

Job& JobTable::add(std::unique_ptr<Job> job) {
    auto& added = *job;
    jobs_[added.spec.uid] = std::move(job);
    return added;
}

std::vector<std::string> JobTable::open_jobs() const {
    std::vector<std::string> out;
    for (const auto& [uid, job] : jobs_)
        if (!job->cancelled && !job->finished) out.push_back(uid);
    return out;
}

std::optional<JobCount> JobTable::count(const std::string& uid) const {
    const auto* job = find(uid);
    if (!job) return std::nullopt;
    return JobCount{job->done, job->running};
}

std::vector<std::pair<std::string, JobCount>> JobTable::take_changed_counts() {
    std::vector<std::pair<std::string, JobCount>> out;
    for (const auto& uid : counts_changed_)
        if (auto counted = count(uid)) out.emplace_back(uid, *counted);
    counts_changed_.clear();
    return out;
}

}  // namespace flintdale::scheduler
