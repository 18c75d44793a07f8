#include "placement/planner.hpp"

#include <algorithm>
#include <set>

namespace flintdale::placement {

namespace {
constexpr Seconds image_wait_step{5};  // waits for an image are compared in steps of this size
constexpr double tolerance = 1e-6;     // of amounts: sums of decimal fractions are not exact in binary
}  // namespace

unsigned task_slots(const Resources& need, const Resources& capacity) {
    double n = 1e6;  // the result for a task that needs no resource
    if (need.cpus > 0) n = std::min(n, capacity.cpus / need.cpus);
    if (need.gpus > 0) n = std::min(n, capacity.gpus / need.gpus);
    if (need.memory_gb > 0) n = std::min(n, capacity.memory_gb / need.memory_gb);
    return static_cast<unsigned>(n + tolerance);
}

bool fits(const Resources& need, const Resources& free) {
    return need.cpus <= free.cpus + tolerance && need.gpus <= free.gpus + tolerance &&
           need.memory_gb <= free.memory_gb + tolerance;
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
    const auto has_type = [&](const std::vector<std::string>& types) {
        return std::find(types.begin(), types.end(), type) != types.end();
    };
    if (spot && !spec.spot) return false;
    if (spec.types && !has_type(*spec.types)) return false;
    if (spec.zone && *spec.zone != zone) return false;
    const auto group = rules.groups.find(spec.job_class);
    return group == rules.groups.end() || has_type(group->second);
}

bool Host::has(Id image) const { return std::find(images.begin(), images.end(), image) != images.end(); }

bool Host::fetches(Id image) const {
    return std::any_of(fetching.begin(), fetching.end(), [&](const Fetch& f) { return f.image == image; });
}

Seconds Host::image_wait(Id image, double gb) const {
    if (fetch_gb_per_s <= 0 || has(image)) return Seconds(0);
    double queued_gb = fetches(image) ? 0 : gb;
    for (const auto& f : fetching) queued_gb += f.gb;
    return Seconds(queued_gb / fetch_gb_per_s);
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

Planner::Planner(std::vector<Host> hosts, double memory_margin) : memory_margin_(memory_margin) {
    hosts_.reserve(hosts.size());
    for (auto& h : hosts) add(std::move(h));
}

Planner::Trial::~Trial() {
    plan_.trial_ = nullptr;
    // In reverse order, because the oldest copy of a row is the one to restore.
    for (auto it = saved_rows_.rbegin(); it != saved_rows_.rend(); ++it)
        plan_.hosts_[it->first] = std::move(it->second);
}

std::size_t Planner::add(Host host) {
    const auto row = hosts_.size();
    if (host.slot != no_slot) {
        if (host.slot >= by_slot_.size()) by_slot_.resize(host.slot + 1, none);
        by_slot_[host.slot] = row;
    }
    with_gpus_.push_back(row);
    with_cpus_.push_back(row);
    own_.push_back(0);
    excluded_.push_back(0);
    hosts_.push_back(std::move(host));
    return row;
}

void Planner::remove(Id slot) {
    const auto row = find(slot);
    if (row == none) return;
    // The row stays, so that the other rows keep their index. With negative resources no task fits it.
    by_slot_[slot] = none;
    hosts_[row].capacity = hosts_[row].free = {-1, -1, -1};
}

// Visits the rows that have free accelerators, or free CPUs for a task without accelerators. Drops rows without room
// from the list during the scan, so that the cost of a scan in a full fleet is proportional to the machines with room,
// not to all machines. Room only shrinks within a plan, except at the end of a trial; during a trial no row is dropped.
template <class F>
void Planner::for_each_with_room(const Resources& need, F visit) const {
    if (need.gpus <= tolerance && need.cpus <= tolerance) {
        for (std::size_t row = 0; row < hosts_.size(); ++row) visit(row);
        return;
    }
    const bool gpus = need.gpus > tolerance;
    auto& rows = gpus ? with_gpus_ : with_cpus_;
    std::size_t kept = 0;
    for (const auto row : rows) {
        const auto& free = hosts_[row].free;
        const bool room = (gpus ? free.gpus : free.cpus) > tolerance;
        if (room) visit(row);
        if (room || trial_) rows[kept++] = row;
    }
    rows.resize(kept);
}

bool Planner::candidate(const Requirements& requirements, const JobHosts& job, const Host& host) const {
    const auto& spec = *requirements.spec;
    if (!requirements.allows(host.pool) || !fits(spec.need, host.free)) return false;
    if (host.reserved_for && requirements.priority <= *host.reserved_for) return false;
    // The memory margin protects the other tasks on the machine. It does not apply to an empty machine; otherwise a
    // task that needs a whole machine could never run.
    if (host.load > 0 && host.free.memory_gb + tolerance < spec.need.memory_gb * (1 + memory_margin_)) return false;
    // Fetches share the machine's rate: a new fetch would delay a task of higher priority that waits for its image.
    if (requirements.priority < host.fetching_for && !host.fetching.empty() && !host.has(requirements.image) &&
        !host.fetches(requirements.image))
        return false;
    if (spec.one_zone)
        for (Id zone = 0; zone < job.per_zone.size(); ++zone)
            if (job.per_zone[zone] > 0 && zone != host.zone) return false;
    // A task whose zone is not known yet may be in any zone, so it counts in each.
    return !spec.spread || job.in_zone(host.zone) + job.in_zone(unknown_zone) < (spec.tasks + 1) / 2;
}

void Planner::mark(const JobHosts& job) const {
    ++mark_epoch_;
    for (const auto slot : job.own)
        if (const auto row = find(slot); row != none) own_[row] = mark_epoch_;
    for (const auto slot : job.excluded)
        if (const auto row = find(slot); row != none) excluded_[row] = mark_epoch_;
}

// The order of preference:
// 1. Urgent tasks avoid spot machines. A task that loses its machine starts again, and a chain of dependent jobs lost a
//    minute with each such task.
// 2. The job's own machines.
// 3. For tasks without accelerators: the machines with the fewest free accelerators.
// 4. The machines that have the image soonest, in coarse steps, so that load still counts.
// 5. Spot machines, which not every job may use.
// 6. For services: large machines, which leave whole small ones to gangs because services run until they are cancelled;
//    then machines without a replica of the service.
// 7. The least loaded machine.
Planner::Score Planner::score(const Requirements& requirements, std::size_t row) const {
    const auto& host = hosts_[row];
    Score score;
    score.risky = host.spot && requirements.priority >= model::Priority::high;
    const bool service = requirements.spec->kind == model::JobKind::service;
    score.not_own = !service && own_[row] != mark_epoch_;
    score.has_replica = service && own_[row] == mark_epoch_;
    if (requirements.spec->need.gpus <= tolerance) score.idle_gpus = static_cast<int>(host.free.gpus + tolerance);
    score.image_wait =
        static_cast<int>(host.image_wait(requirements.image, requirements.spec->image_gb) / image_wait_step);
    score.on_demand = !host.spot;
    score.size = service ? -static_cast<int>(task_slots(requirements.spec->need, host.capacity)) : 0;
    score.load = host.load;
    score.row = row;
    return score;
}

void Planner::put(std::size_t row, const Requirements& requirements, JobHosts& job) {
    reserve(row, requirements);
    auto& host = hosts_[row];
    if (!host.has(requirements.image)) {
        if (!host.fetches(requirements.image))
            host.fetching.push_back({requirements.image, requirements.spec->image_gb});
        host.fetching_for = std::max(host.fetching_for, requirements.priority);
    }
    job.add_to_zone(host.zone);
    job.own.push_back(host.slot);
    own_[row] = mark_epoch_;
}

std::size_t Planner::best_host(const Requirements& requirements, const JobHosts& job) const {
    mark(job);
    std::optional<Score> best;
    for_each_with_room(requirements.spec->need, [&](std::size_t row) {
        if (excluded_[row] == mark_epoch_ || !candidate(requirements, job, hosts_[row])) return;
        if (const auto its_score = score(requirements, row); !best || its_score < *best) best = its_score;
    });
    return best ? best->row : none;
}

std::size_t Planner::place(const Requirements& requirements, JobHosts& job) {
    const auto best = best_host(requirements, job);
    if (best != none) put(best, requirements, job);
    return best;
}

// Orders all candidates once, in a heap. Placing a task changes the score of its own machine only. It can also rule out
// other candidates, by the job's zones, so each candidate is checked again when it is taken from the heap.
std::vector<std::size_t> Planner::place_many(const Requirements& requirements, JobHosts& job, std::size_t count,
                                             std::optional<Id> only_zone) {
    std::vector<std::size_t> placed;
    if (count == 0) return placed;
    mark(job);
    std::vector<Score> heap;
    for_each_with_room(requirements.spec->need, [&](std::size_t row) {
        if (excluded_[row] == mark_epoch_ || (only_zone && hosts_[row].zone != *only_zone) ||
            !candidate(requirements, job, hosts_[row]))
            return;
        heap.push_back(score(requirements, row));
    });
    const auto later = [](const Score& a, const Score& b) { return b < a; };
    std::make_heap(heap.begin(), heap.end(), later);
    while (placed.size() < count && !heap.empty()) {
        std::pop_heap(heap.begin(), heap.end(), later);
        const auto row = heap.back().row;
        heap.pop_back();
        if (!candidate(requirements, job, hosts_[row])) continue;
        put(row, requirements, job);
        placed.push_back(row);
        if (candidate(requirements, job, hosts_[row])) {
            heap.push_back(score(requirements, row));
            std::push_heap(heap.begin(), heap.end(), later);
        }
    }
    return placed;
}

std::size_t Planner::place_at(std::size_t row, const Requirements& requirements, JobHosts& job, std::size_t count) {
    std::size_t n = 0;
    while (n < count && would_take(hosts_[row], requirements, job)) {
        put(row, requirements, job);
        ++n;
    }
    return n;
}

void Planner::reserve(std::size_t row, const Requirements& requirements) {
    if (trial_) trial_->saved_rows_.emplace_back(row, hosts_[row]);
    subtract_resources(hosts_[row].free, requirements.spec->need);
    ++hosts_[row].load;
}

std::size_t Planner::room_in(const Requirements& requirements, const JobHosts& job, std::size_t count,
                             std::optional<Id> zone) const {
    std::size_t room = 0;
    for_each_with_room(requirements.spec->need, [&](std::size_t row) {
        if (room >= count || (zone && hosts_[row].zone != *zone) || !would_take(hosts_[row], requirements, job)) return;
        room += task_slots(requirements.spec->need, hosts_[row].free);
    });
    return std::min(room, count);
}

std::vector<std::size_t> Planner::place_together(const Requirements& requirements, JobHosts& job, std::size_t count,
                                                 std::optional<Id> only_zone) {
    const auto attempt = [&](std::optional<Id> zone) {
        GangPlacement placement;
        if (room_in(requirements, job, count, zone) < count) return placement;  // ends most attempts after one scan
        auto trial_job = job;
        Trial trial(*this);
        placement.rows = place_many(requirements, trial_job, count, zone);
        if (placement.rows.size() < count) placement.rows.clear();
        // The copies show each host before a placement: the first task placed on a host waits longest for the image.
        for (const auto& [row, saved] : trial.saved_rows_)
            placement.image_wait =
                std::max(placement.image_wait, saved.image_wait(requirements.image, requirements.spec->image_gb));
        return placement;
    };
    GangPlacement best;
    if (!requirements.spec->one_zone || only_zone || job.anywhere()) {
        best = attempt(only_zone);
    } else {
        // The tasks of a gang start together, so the best zone is the one whose last machine has the image soonest.
        std::set<Id> tried;
        for (std::size_t row = 0; row < hosts_.size(); ++row) {
            if (!tried.insert(hosts_[row].zone).second) continue;
            auto other = attempt(hosts_[row].zone);
            if (!other.rows.empty() && (best.rows.empty() || other.image_wait < best.image_wait))
                best = std::move(other);
        }
    }
    if (best.rows.empty()) return {};
    mark(job);
    for (const auto row : best.rows) put(row, requirements, job);
    return best.rows;
}

void Planner::reserve_for_gang(const Requirements& requirements, std::size_t count) {
    const auto& spec = *requirements.spec;
    struct Choice {
        double shortfall;  // the largest share of a resource's capacity that is missing for one task
        std::size_t row;
        bool operator<(const Choice& other) const {
            return shortfall != other.shortfall ? shortfall < other.shortfall : row < other.row;
        }
    };
    std::vector<Choice> choices;
    for (std::size_t row = 0; row < hosts_.size(); ++row) {
        const auto& h = hosts_[row];
        if (h.reserved_for || !requirements.allows(h.pool)) continue;
        auto without_services = h.capacity;
        subtract_resources(without_services, h.held_by_services);
        if (!fits(spec.need, without_services)) continue;
        const auto shortfall =
            std::max({(spec.need.cpus - h.free.cpus) / std::max(1.0, h.capacity.cpus),
                      (spec.need.gpus - h.free.gpus) / std::max(1.0, h.capacity.gpus),
                      (spec.need.memory_gb - h.free.memory_gb) / std::max(1.0, h.capacity.memory_gb)});
        choices.push_back({shortfall, row});
    }
    if (choices.empty()) return;
    if (spec.one_zone) {
        const auto zone = hosts_[std::min_element(choices.begin(), choices.end())->row].zone;
        std::erase_if(choices, [&](const Choice& c) { return hosts_[c.row].zone != zone; });
    }
    count = std::min(count, choices.size());
    std::nth_element(choices.begin(), choices.begin() + static_cast<std::ptrdiff_t>(count - 1), choices.end());
    for (std::size_t k = 0; k < count; ++k) hosts_[choices[k].row].reserved_for = requirements.priority;
}

bool precedes(const QueueEntry& a, const QueueEntry& b, double aging_rate) {
    if (a.guaranteed != b.guaranteed) return a.guaranteed;
    if (a.priority != b.priority) return a.priority > b.priority;
    if (a.window != b.window) return a.window < b.window;
    const auto aged_a = a.length - aging_rate * a.waited, aged_b = b.length - aging_rate * b.waited;
    if (aged_a != aged_b) return aged_a < aged_b;
    return a.uid < b.uid;
}

}  // namespace flintdale::placement
