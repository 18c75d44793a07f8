#include "placement/planner.hpp"

#include <algorithm>
#include <set>

namespace flintdale::placement {

namespace {
constexpr Seconds image_step{5};  // waits for an image are compared in such steps
constexpr double slack = 1e-6;    // amounts are decimal fractions; sums of them are not exact
}  // namespace

unsigned task_slots(const Resources& need, const Resources& capacity) {
    double n = 1e6;
    if (need.cpus > 0) n = std::min(n, capacity.cpus / need.cpus);
    if (need.gpus > 0) n = std::min(n, capacity.gpus / need.gpus);
    if (need.memory_gb > 0) n = std::min(n, capacity.memory_gb / need.memory_gb);
    return static_cast<unsigned>(n + slack);
}

bool fits(const Resources& need, const Resources& free) {
    return need.cpus <= free.cpus + slack && need.gpus <= free.gpus + slack && need.memory_gb <= free.memory_gb + slack;
}

void subtract_resources(Resources& free, const Resources& need) {
    free.cpus -= need.cpus;
    free.gpus -= need.gpus;
    free.memory_gb -= need.memory_gb;
}

void add_resources(Resources& free, const Resources& need) {
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

bool Host::has(Id image) const { return std::find(images.begin(), images.end(), image) != images.end(); }

bool Host::fetches(Id image) const {
    return std::any_of(fetching.begin(), fetching.end(), [&](const Fetch& f) { return f.image == image; });
}

Seconds Host::image_wait(Id image, double gb) const {
    if (fetch_gb_per_s <= 0 || has(image)) return Seconds(0);
    double queue = fetches(image) ? 0 : gb;
    for (const auto& f : fetching) queue += f.gb;
    return Seconds(queue / fetch_gb_per_s);
}

bool JobHosts::anywhere() const {
    return std::any_of(per_zone.begin(), per_zone.end(), [](unsigned n) { return n > 0; });
}

bool JobHosts::excludes(Id slot) const { return std::find(excluded.begin(), excluded.end(), slot) != excluded.end(); }

Requirements make_requirements(const JobSpec& spec, const Rules& rules, Directory& directory) {
    Requirements requirements{&spec, directory.image(spec.image), spec.priority, {}};
    for (const auto& p : directory.pools()) requirements.pools.push_back(allowed(spec, rules, p.type, p.zone, p.spot));
    return requirements;
}

Planner::Planner(std::vector<Host> hosts, double memory_margin) : margin_(memory_margin) {
    hosts_.reserve(hosts.size());
    for (auto& h : hosts) add(std::move(h));
}

Planner::Trial::~Trial() {
    plan_.trial_ = nullptr;
    // Backwards: the oldest copy of a row is the one to restore.
    for (auto it = before_.rbegin(); it != before_.rend(); ++it) plan_.hosts_[it->first] = std::move(it->second);
}

std::size_t Planner::add(Host host) {
    const auto i = hosts_.size();
    if (host.slot != no_slot) {
        if (host.slot >= by_slot_.size()) by_slot_.resize(host.slot + 1, none);
        by_slot_[host.slot] = i;
    }
    with_gpus_.push_back(i);
    with_cpus_.push_back(i);
    own_.push_back(0);
    excluded_.push_back(0);
    hosts_.push_back(std::move(host));
    return i;
}

void Planner::remove(Id slot) {
    const auto i = find(slot);
    if (i == none) return;
    // The row stays, so that the others keep their places, but nothing fits it.
    by_slot_[slot] = none;
    hosts_[i].capacity = hosts_[i].free = {-1, -1, -1};
}

// Rows without room are dropped from the list during the scan, so that in a full fleet a scan costs as much as is free
// and not as much as exists. In a plan room only shrinks, except in trials, and during a trial nothing is dropped.
template <class F>
void Planner::each_roomy(const Resources& need, F visit) const {
    if (need.gpus <= slack && need.cpus <= slack) {
        for (std::size_t i = 0; i < hosts_.size(); ++i) visit(i);
        return;
    }
    const bool gpus = need.gpus > slack;
    auto& rows = gpus ? with_gpus_ : with_cpus_;
    std::size_t kept = 0;
    for (const auto i : rows) {
        const auto& free = hosts_[i].free;
        const bool room = (gpus ? free.gpus : free.cpus) > slack;
        if (room) visit(i);
        if (room || trial_) rows[kept++] = i;
    }
    rows.resize(kept);
}

bool Planner::candidate(const Requirements& requirements, const JobHosts& job, const Host& host) const {
    const auto& spec = *requirements.spec;
    if (!requirements.allows(host.pool) || !fits(spec.need, host.free)) return false;
    if (host.reserved_for && requirements.priority <= *host.reserved_for) return false;
    // The margin is for what else the machine holds. An empty machine needs none, or a task that fills a machine
    // could never run.
    if (host.load > 0 && host.free.memory_gb + slack < spec.need.memory_gb * (1 + margin_)) return false;
    // Fetches share the machine's rate: one more would hold up the more important task that waits for its own.
    if (requirements.priority < host.fetching_for && !host.fetching.empty() && !host.has(requirements.image) &&
        !host.fetches(requirements.image))
        return false;
    if (spec.one_zone)
        for (Id zone = 0; zone < job.per_zone.size(); ++zone)
            if (job.per_zone[zone] > 0 && zone != host.zone) return false;
    // A task whose zone is not known yet may be in any of them.
    return !spec.spread || job.in_zone(host.zone) + job.in_zone(unknown_zone) < (spec.tasks + 1) / 2;
}

void Planner::mark(const JobHosts& job) const {
    ++epoch_;
    for (const auto slot : job.own)
        if (const auto i = find(slot); i != none) own_[i] = epoch_;
    for (const auto slot : job.excluded)
        if (const auto i = find(slot); i != none) excluded_[i] = epoch_;
}

// Urgent tasks avoid spot machines: a chain of dependent jobs lost a minute with each task that had to start again. The
// job's own machines come first, then, for tasks without accelerators, those that have the fewest free, then those that
// have its image soonest (in coarse steps, so that load still counts), then spot ones, which not every job may use,
// then the least loaded. Services stay for good, so they go to large machines and leave whole small ones to gangs.
Planner::Score Planner::score(const Requirements& requirements, std::size_t i) const {
    const auto& h = hosts_[i];
    Score o;
    o.risky = h.spot && requirements.priority >= model::Priority::high;
    const bool service = requirements.spec->kind == model::JobKind::service;
    o.foreign = !service && own_[i] != epoch_;
    o.shared = service && own_[i] == epoch_;
    if (requirements.spec->need.gpus <= slack) o.idles = static_cast<int>(h.free.gpus + slack);
    o.wait = static_cast<int>(h.image_wait(requirements.image, requirements.spec->image_gb) / image_step);
    o.ordinary = !h.spot;
    o.size = service ? -static_cast<int>(task_slots(requirements.spec->need, h.capacity)) : 0;
    o.load = h.load;
    o.at = i;
    return o;
}

void Planner::put(std::size_t i, const Requirements& requirements, JobHosts& job) {
    reserve(i, requirements);
    auto& host = hosts_[i];
    if (!host.has(requirements.image)) {
        if (!host.fetches(requirements.image))
            host.fetching.push_back({requirements.image, requirements.spec->image_gb});
        host.fetching_for = std::max(host.fetching_for, requirements.priority);
    }
    job.add_to_zone(host.zone);
    job.own.push_back(host.slot);
    own_[i] = epoch_;
}

std::size_t Planner::best_host(const Requirements& requirements, const JobHosts& job) const {
    mark(job);
    std::optional<Score> best;
    each_roomy(requirements.spec->need, [&](std::size_t i) {
        if (excluded_[i] == epoch_ || !candidate(requirements, job, hosts_[i])) return;
        if (const auto o = score(requirements, i); !best || o < *best) best = o;
    });
    return best ? best->at : none;
}

std::size_t Planner::place(const Requirements& requirements, JobHosts& job) {
    const auto best = best_host(requirements, job);
    if (best != none) put(best, requirements, job);
    return best;
}

// All candidates are ordered once. Placing a task changes the score of its own machine alone, and otherwise only
// removes candidates (by the job's zones), which is checked when their turn comes.
std::vector<std::size_t> Planner::place_many(const Requirements& requirements, JobHosts& job, std::size_t count,
                                             std::optional<Id> only_zone) {
    std::vector<std::size_t> out;
    if (count == 0) return out;
    mark(job);
    std::vector<Score> heap;
    each_roomy(requirements.spec->need, [&](std::size_t i) {
        if (excluded_[i] == epoch_ || (only_zone && hosts_[i].zone != *only_zone) ||
            !candidate(requirements, job, hosts_[i]))
            return;
        heap.push_back(score(requirements, i));
    });
    const auto later = [](const Score& a, const Score& b) { return b < a; };
    std::make_heap(heap.begin(), heap.end(), later);
    while (out.size() < count && !heap.empty()) {
        std::pop_heap(heap.begin(), heap.end(), later);
        const auto i = heap.back().at;
        heap.pop_back();
        if (!candidate(requirements, job, hosts_[i])) continue;
        put(i, requirements, job);
        out.push_back(i);
        if (candidate(requirements, job, hosts_[i])) {
            heap.push_back(score(requirements, i));
            std::push_heap(heap.begin(), heap.end(), later);
        }
    }
    return out;
}

std::size_t Planner::place_at(std::size_t i, const Requirements& requirements, JobHosts& job, std::size_t count) {
    std::size_t n = 0;
    while (n < count && would_take(hosts_[i], requirements, job)) {
        put(i, requirements, job);
        ++n;
    }
    return n;
}

void Planner::reserve(std::size_t i, const Requirements& requirements) {
    if (trial_) trial_->before_.emplace_back(i, hosts_[i]);
    subtract_resources(hosts_[i].free, requirements.spec->need);
    ++hosts_[i].load;
}

std::size_t Planner::room_in(const Requirements& requirements, const JobHosts& job, std::size_t count,
                             std::optional<Id> zone) const {
    std::size_t room = 0;
    each_roomy(requirements.spec->need, [&](std::size_t i) {
        if (room >= count || (zone && hosts_[i].zone != *zone) || !would_take(hosts_[i], requirements, job)) return;
        room += task_slots(requirements.spec->need, hosts_[i].free);
    });
    return std::min(room, count);
}

std::vector<std::size_t> Planner::place_together(const Requirements& requirements, JobHosts& job, std::size_t count,
                                                 std::optional<Id> only_zone) {
    const auto attempt = [&](std::optional<Id> zone) {
        Together out;
        if (room_in(requirements, job, count, zone) < count)
            return out;  // most attempts end here, having cost one scan
        auto trial_job = job;
        Trial trial(*this);
        out.places = place_many(requirements, trial_job, count, zone);
        if (out.places.size() < count) out.places.clear();
        // The rows as they were before: the task placed there first waits longest.
        for (const auto& [i, before] : trial.before_)
            out.wait = std::max(out.wait, before.image_wait(requirements.image, requirements.spec->image_gb));
        return out;
    };
    Together best;
    if (!requirements.spec->one_zone || only_zone || job.anywhere()) {
        best = attempt(only_zone);
    } else {
        // All start together, so the zone is best whose last machine has the image soonest.
        std::set<Id> tried;
        for (std::size_t i = 0; i < hosts_.size(); ++i) {
            if (!tried.insert(hosts_[i].zone).second) continue;
            auto other = attempt(hosts_[i].zone);
            if (!other.places.empty() && (best.places.empty() || other.wait < best.wait)) best = std::move(other);
        }
    }
    if (best.places.empty()) return {};
    mark(job);
    for (const auto i : best.places) put(i, requirements, job);
    return best.places;
}

void Planner::reserve_for_gang(const Requirements& requirements, std::size_t count) {
    const auto& spec = *requirements.spec;
    struct Choice {
        double lack;
        std::size_t at;
        bool operator<(const Choice& o) const { return lack != o.lack ? lack < o.lack : at < o.at; }
    };
    std::vector<Choice> choices;
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        const auto& h = hosts_[i];
        if (h.reserved_for || !requirements.allows(h.pool)) continue;
        auto once_free = h.capacity;
        subtract_resources(once_free, h.held_by_services);
        if (!fits(spec.need, once_free)) continue;
        const auto lack = std::max({(spec.need.cpus - h.free.cpus) / std::max(1.0, h.capacity.cpus),
                                    (spec.need.gpus - h.free.gpus) / std::max(1.0, h.capacity.gpus),
                                    (spec.need.memory_gb - h.free.memory_gb) / std::max(1.0, h.capacity.memory_gb)});
        choices.push_back({lack, i});
    }
    if (choices.empty()) return;
    if (spec.one_zone) {
        const auto zone = hosts_[std::min_element(choices.begin(), choices.end())->at].zone;
        std::erase_if(choices, [&](const Choice& c) { return hosts_[c.at].zone != zone; });
    }
    count = std::min(count, choices.size());
    std::nth_element(choices.begin(), choices.begin() + static_cast<std::ptrdiff_t>(count - 1), choices.end());
    for (std::size_t k = 0; k < count; ++k) hosts_[choices[k].at].reserved_for = requirements.priority;
}

bool precedes(const QueueEntry& a, const QueueEntry& b, double ageing) {
    if (a.guaranteed != b.guaranteed) return a.guaranteed;
    if (a.priority != b.priority) return a.priority > b.priority;
    if (a.window != b.window) return a.window < b.window;
    const auto la = a.length - ageing * a.waited, lb = b.length - ageing * b.waited;
    if (la != lb) return la < lb;
    return a.uid < b.uid;
}

}  // namespace flintdale::placement
