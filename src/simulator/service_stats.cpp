#include "simulator/service_stats.hpp"

#include <algorithm>

namespace flintdale::simulator {

namespace {
constexpr Seconds served_within{90}, largest_served_within{240};
constexpr double largest_from = 0.75;  // of the class's greatest number of tasks

// The greatest number of tasks of a job, for classes whose jobs differ in size.
std::map<std::string, std::uint32_t> greatest_sizes(const Scenario& scenario) {
    std::map<std::string, std::uint32_t> greatest;
    for (const auto& job_class : scenario.jobs) {
        if (job_class.tasks_to <= job_class.tasks_from) continue;
        auto& size = greatest[job_class.like.job_class];
        size = std::max(size, job_class.tasks_to);
    }
    return greatest;
}

bool old_enough(const UserJob& job, TimePoint now, Seconds age) {
    return now - job.accepted_at >= model::to_clock(age);
}

void add_largest(ServiceStats& stats, const UserJob& job, std::uint32_t greatest, TimePoint now) {
    if (job.spec.tasks < largest_from * greatest || job.cancel_after) return;
    if (!job.waited && !old_enough(job, now, largest_served_within)) return;
    ++stats.largest;
    stats.largest_served += job.waited && *job.waited <= largest_served_within;
}

void add_job(ServiceStats& stats, const UserJob& job, bool served, TimePoint now) {
    const bool counts = !job.cancel_after && old_enough(job, now, served_within);
    ++stats.jobs;
    stats.done += job.done;
    stats.cancelled += job.finished && !job.done;
    if (job.waited) stats.waits.push_back(job.waited->count());
    stats.counted += counts;
    stats.served += counts && served;
}

void judge(const char* kind, std::map<std::string, ServiceStats>& all, std::map<std::string, double>& shares,
           std::vector<std::string>& starved) {
    for (auto& [name, stats] : all) {
        std::sort(stats.waits.begin(), stats.waits.end());
        if (!stats.counted) continue;
        stats.share = static_cast<double>(stats.served) / static_cast<double>(stats.counted);
        shares[name] = stats.share;
        if (stats.starved()) starved.push_back(std::string(kind) + " " + name);
        if (stats.largest_starved()) starved.push_back("largest of " + name);
    }
}
}  // namespace

void summarize_service(const Scenario& scenario, const Checker& checker, const std::vector<UserJobPtr>& jobs,
                       TimePoint now, RunResult& result) {
    const auto greatest = greatest_sizes(scenario);
    for (const auto& job : jobs) {
        if (!job->accepted) continue;
        const auto& spec = job->spec;
        const bool served = checker.all_done(spec.uid) || checker.ever(spec.uid) == spec.tasks;
        auto& class_stats = result.classes[spec.job_class];
        if (const auto found = greatest.find(spec.job_class); found != greatest.end())
            add_largest(class_stats, *job, found->second, now);
        add_job(class_stats, *job, served, now);
        add_job(result.teams[spec.team], *job, served, now);
    }
    judge("class", result.classes, result.served, result.left_behind);
    judge("team", result.teams, result.team_served, result.left_behind);
}

}  // namespace flintdale::simulator
