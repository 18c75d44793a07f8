#include "placement/planner.hpp"

#include <algorithm>
#include <tuple>

namespace flintdale::placement {

namespace {
constexpr Seconds image_step{5};
constexpr double slack = 1e-6;  // amounts are decimal fractions; sums of them are not exact
}  // namespace

unsigned slots(const Resources& need, const Resources& capacity) {
    double n = 1e6;
    if (need.cpus > 0) n = std::min(n, capacity.cpus / need.cpus);
    if (need.gpus > 0) n = std::min(n, capacity.gpus / need.gpus);
    if (need.memory_gb > 0) n = std::min(n, capacity.memory_gb / need.memory_gb);
    return static_cast<unsigned>(n + slack);
}

bool fits(const Resources& need, const Resources& free) {
    return need.cpus <= free.cpus + slack && need.gpus <= free.gpus + slack && need.memory_gb <= free.memory_gb + slack;
}

void take(Resources& free, const Resources& need) {
    free.cpus -= need.cpus;
    free.gpus -= need.gpus;
    free.memory_gb -= need.memory_gb;
}

void give(Resources& free, const Resources& need) {
    free.cpus += need.cpus;
    free.gpus += need.gpus;
    free.memory_gb += need.memory_gb;
}

bool allowed(const JobSpec& spec, const Rules& rules, const std::string& type, const std::string& zone, bool spot) {
    const auto has = [&](const std::vector<std::string>& v) { return std::find(v.begin(), v.end(), type) != v.end(); };
    if (spot && !spec.spot) return false;
    if (spec.types && !has(*spec.types)) return false;
    if (spec.zone && *spec.zone != zone) return false;
    const auto group = rules.groups.find(spec.job_class);
    return group == rules.groups.end() || has(group->second);
}

Seconds Host::image_wait(const std::string& image, double gb) const {
    if (images.contains(image) || fetch_gb_per_s <= 0) return Seconds(0);
    double queue = fetching.contains(image) ? 0 : gb;
    for (const auto& [name, size] : fetching) queue += size;
    return Seconds(queue / fetch_gb_per_s);
}

bool Planner::candidate(const JobSpec& spec, const JobHosts& job, const Host& host) const {
    if (!allowed(spec, rules_, host.type, host.zone, host.spot)) return false;
    if (job.excluded.contains(host.name)) return false;
    if (!fits(spec.need, host.free)) return false;
    if (host.held_for && spec.rank <= *host.held_for) return false;
    // The margin is for what else the machine holds. An empty machine needs none, or a task that fills a machine
    // could never run.
    if (host.load > 0 && host.free.memory_gb + slack < spec.need.memory_gb * (1 + rules_.memory_margin)) return false;
    // Fetches share the machine's rate: one more would hold up the more important task that waits for its own.
    if (spec.rank < host.fetching_for && !host.fetching.empty() && !host.images.contains(spec.image) &&
        !host.fetching.contains(spec.image))
        return false;
    if (spec.one_zone)
        for (const auto& [zone, n] : job.per_zone)
            if (n > 0 && zone != host.zone) return false;
    if (spec.spread) {
        const auto here = job.per_zone.find(host.zone);
        if (here != job.per_zone.end() && here->second >= (spec.tasks + 1) / 2) return false;
    }
    return true;
}

void Planner::put(std::size_t i, const JobSpec& spec, JobHosts& job) {
    auto& host = hosts_[i];
    take(host.free, spec.need);
    ++host.load;
    if (!host.images.contains(spec.image)) {
        host.fetching[spec.image] = spec.image_gb;
        host.fetching_for = std::max(host.fetching_for, spec.rank);
    }
    ++job.per_zone[host.zone];
    job.own.insert(host.name);
}

std::size_t Planner::peek(const JobSpec& spec, const JobHosts& job) const {
    std::size_t best = none;
    // Lowest wins: the job's own machines, then those where its image is there soonest (in coarse steps, so that
    // load still counts), then spot ones, which not every job may use, then the least loaded. Services stay for
    // good, so they go to large machines and leave whole small ones to gangs.
    const auto rank = [&](const Host& h) {
        const auto wait = static_cast<int>(h.image_wait(spec.image, spec.image_gb) / image_step);
        const int size = spec.shape == wire::Shape::service ? -static_cast<int>(slots(spec.need, h.capacity)) : 0;
        return std::make_tuple(!job.own.contains(h.name), wait, !h.spot, size, h.load, h.name);
    };
    for (std::size_t i = 0; i < hosts_.size(); ++i)
        if (candidate(spec, job, hosts_[i]) && (best == none || rank(hosts_[i]) < rank(hosts_[best]))) best = i;
    return best;
}

std::size_t Planner::place(const JobSpec& spec, JobHosts& job) {
    const auto best = peek(spec, job);
    if (best != none) put(best, spec, job);
    return best;
}

bool Planner::place_on(const std::string& name, const JobSpec& spec, JobHosts& job) {
    for (std::size_t i = 0; i < hosts_.size(); ++i)
        if (hosts_[i].name == name) {
            if (!candidate(spec, job, hosts_[i])) return false;
            put(i, spec, job);
            return true;
        }
    return false;
}

void Planner::reserve(const std::string& name, const JobSpec& spec) {
    for (auto& host : hosts_)
        if (host.name == name) {
            take(host.free, spec.need);
            ++host.load;
        }
}

std::vector<std::size_t> Planner::place_together(const JobSpec& spec, JobHosts& job, std::size_t count) {
    const auto attempt = [&](JobHosts trial_job) {
        auto saved = hosts_;
        std::vector<std::size_t> out;
        while (out.size() < count) {
            const auto i = place(spec, trial_job);
            if (i == none) break;
            out.push_back(i);
        }
        if (out.size() == count)
            job = std::move(trial_job);
        else {
            hosts_ = std::move(saved);
            out.clear();
        }
        return out;
    };
    if (!spec.one_zone || !job.per_zone.empty()) return attempt(job);
    // The zone of the first choice may lack room for all: try each zone in the order placement would prefer it.
    std::set<std::string> zones;
    for (const auto& h : hosts_) zones.insert(h.zone);
    std::vector<std::size_t> out;
    for (const auto& zone : zones) {
        JobHosts trial = job;
        trial.per_zone[zone] = 0;
        for (const auto& h : hosts_)
            if (h.zone != zone) trial.excluded.insert(h.name);
        out = attempt(std::move(trial));
        if (!out.empty()) break;
    }
    return out;
}

void Planner::remove(const std::string& name) {
    std::erase_if(hosts_, [&](const Host& h) { return h.name == name; });
}

void Planner::hold_for(const JobSpec& spec, std::size_t count) {
    std::string zone;
    for (std::size_t k = 0; k < count; ++k) {
        Host* best = nullptr;
        const auto lack = [&](const Host& h) {
            return std::max({(spec.need.cpus - h.free.cpus) / std::max(1.0, h.capacity.cpus),
                             (spec.need.gpus - h.free.gpus) / std::max(1.0, h.capacity.gpus),
                             (spec.need.memory_gb - h.free.memory_gb) / std::max(1.0, h.capacity.memory_gb)});
        };
        for (auto& h : hosts_) {
            if (h.held_for || !allowed(spec, rules_, h.type, h.zone, h.spot)) continue;
            if (spec.one_zone && !zone.empty() && h.zone != zone) continue;
            auto once_free = h.capacity;
            take(once_free, h.standing);
            if (!fits(spec.need, once_free)) continue;
            if (!best || lack(h) < lack(*best)) best = &h;
        }
        if (!best) return;
        best->held_for = spec.rank;
        zone = best->zone;
    }
}

bool before(const Waiting& a, const Waiting& b, double ageing) {
    if (a.rank != b.rank) return a.rank > b.rank;
    if (a.window != b.window) return a.window < b.window;
    const auto la = a.length - ageing * a.waited, lb = b.length - ageing * b.waited;
    if (la != lb) return la < lb;
    return a.uid < b.uid;
}

}  // namespace flintdale::placement
