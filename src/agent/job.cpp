#include "agent/job.hpp"

#include <charconv>

namespace flintdale::agent {

std::string outcome_key(const std::string& uid) { return std::string(jobs_prefix) + "over/" + uid; }

std::string work_key(const std::string& uid, std::uint32_t chunk) {
    return work_prefix + uid + (chunk ? "/" + std::to_string(chunk) : std::string());
}

bool parse_work_key(const std::string& key, std::string& uid, std::uint32_t& chunk) {
    if (!key.starts_with(work_prefix)) return false;
    const auto rest = key.substr(std::string_view(work_prefix).size());
    const auto slash = rest.find('/');
    uid = rest.substr(0, slash);
    chunk = 0;
    if (slash == std::string::npos) return true;
    const auto* end = rest.data() + rest.size();
    const auto [p, ec] = std::from_chars(rest.data() + slash + 1, end, chunk);
    return ec == std::errc() && p == end;
}

boost::json::object outcome_record(const JobSpec& spec, wire::JobState state) {
    return {{"state", wire::job_state_name(state)}, {"spec", wire::spec_to_record(spec)}};
}

boost::json::object first_work_record(const JobSpec& spec) {
    return {{"spec", wire::spec_to_record(spec)}, {"tasks", boost::json::array()}};
}

boost::json::object work_record(const Job& job, std::uint32_t chunk) {
    std::vector<wire::TaskRange> ranges;
    const std::uint32_t from = chunk * chunk_tasks;
    const std::uint32_t to = std::min<std::uint32_t>(from + chunk_tasks, job.spec.tasks);
    for (std::uint32_t i = from; i < to; ++i) {
        const auto& t = job.tasks[i];
        wire::TaskRange r{i, i, t.attempt, t.state == Task::State::placed ? t.machine->name : "",
                          t.state == Task::State::done};
        if (!ranges.empty()) {
            auto& last = ranges.back();
            if (last.attempt == r.attempt && last.machine == r.machine && last.done == r.done) {
                last.to = i;
                continue;
            }
        }
        ranges.push_back(std::move(r));
    }
    boost::json::object o;
    if (chunk == 0) o["spec"] = wire::spec_to_record(job.spec);
    o["tasks"] = wire::ranges_to_record(ranges);
    return o;
}

}  // namespace flintdale::agent
