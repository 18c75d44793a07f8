#include "simulator/fleet.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "model/job.hpp"
#include "model/machine.hpp"
#include "model/task.hpp"

namespace flintdale::simulator {

using model::ExitReason;
using model::JobKind;
using model::TaskStatus;
namespace json = boost::json;

namespace {

constexpr Seconds least_gap{0.5};        // between two reports
constexpr Seconds patience{4};           // of a worker
constexpr double latest_copy = 1.5;      // leases that a copy of a report is late
constexpr double restart_leases = 1.05;  // leases that a worker is silent when it starts anew

const char* name_of(TaskStatus s) {
    constexpr const char* names[] = {"pulling", "waiting", "running", "saving", "ended"};
    return names[static_cast<std::size_t>(s)];
}

const char* name_of(ExitReason c) {
    constexpr const char* names[] = {"error", "done", "halted", "peers",  "incomplete",
                                     "error", "full", "in_use", "no_such"};
    return names[static_cast<std::size_t>(c)];
}

bool is_run(const json::value& order) { return order.as_object().at("verb").as_string() == "run"; }

// Machines of the emulated world have no addresses but their names.
constexpr const char* emulated_port = ":9000";

}  // namespace

Fleet::Fleet(Events& events, TaskObserver& observer, const config::Settings& settings, const Scenario& scenario,
             Ask ask)
    : events_(events),
      observer_(observer),
      settings_(settings),
      scenario_(scenario),
      ask_(std::move(ask)),
      rentals_(events, settings, scenario,
               [](const std::string& name, std::uint64_t) { return name + emulated_port; }) {}

// --- the cloud ---

void Fleet::add(const Rented& rented, Seconds boots_in) {
    auto host = std::make_shared<Host>();
    host->name = rented.name;
    host->address = rented.address;
    host->type = rented.type;
    host->zone = rented.zone;
    host->spot = rented.spot;
    hosts_[host->name] = host;
    events_.after(boots_in, [this, host] { comes_up(host); });
}

void Fleet::warm_up(std::size_t machines) {
    for (std::size_t i = 0; i < machines; ++i) {
        const auto& type = scenario_.types[i % scenario_.types.size()];
        add(rentals_.add(type, type.zones[i / scenario_.types.size() % type.zones.size()], false), Seconds(0));
    }
}

cloud::RentResult Fleet::rent(const std::string& request, const std::string& type, const std::string& zone, bool spot,
                              int count) {
    auto granted = rentals_.rent(request, type, zone, spot, count);
    for (const auto* rented : granted.fresh) add(*rented, rented->type->boot * events_.uniform(0.6, 1.5));
    return std::move(granted.result);
}

void Fleet::release(const std::vector<std::string>& names) {
    for (const auto& name : names) {
        rentals_.release(name);
        if (const auto it = hosts_.find(name); it != hosts_.end()) {
            drop_all(it->second);
            it->second->dead = true;
            hosts_.erase(it);
        }
    }
}

std::vector<model::ListedMachine> Fleet::list() const { return rentals_.list(); }

// The machine, if a question reaches its worker now.
Fleet::HostPtr Fleet::reached(const std::string& machine) const {
    const auto it = hosts_.find(machine);
    if (it == hosts_.end()) return nullptr;
    const auto& h = *it->second;
    const auto now = events_.now();
    const bool silent = h.dead || !h.up || now < h.hangs_until || now < h.cut_until || now < h.answers_lost_until;
    return silent ? nullptr : it->second;
}

std::optional<std::string> Fleet::status(const std::string& address) {
    const auto host = reached(address.substr(0, address.find(':')));
    if (!host) return std::nullopt;
    return body_of(*host);
}

std::optional<net::Reply> Fleet::command(const std::string& machine, const std::string& body) {
    const auto host = reached(machine);
    if (!host) return std::nullopt;
    net::Reply reply;
    try {
        const auto o = wire::parse_object(body);
        const auto fencing_token = o.at("baton").to_number<std::uint64_t>();
        const auto incarnation = o.at("tenure").to_number<std::uint64_t>();
        if (fencing_token < host->fencing_token || incarnation != host->incarnation) {
            reply.status = 409;
        } else {
            host->changed = host->changed || fencing_token > host->fencing_token;
            host->fencing_token = fencing_token;
            execute(host, o.at("orders").as_array());
        }
    } catch (const std::exception& e) {
        reply.status = 400;
        reply.body = wire::error_body(e.what());
        return reply;
    }
    if (host->changed) changed(host);
    reply.body = body_of(*host);
    return reply;
}

std::string Fleet::zone_of(const std::string& address) const {
    const auto it = hosts_.find(address.substr(0, address.find(':')));
    return it == hosts_.end() ? std::string() : it->second->zone;
}

// --- a worker's reports ---

void Fleet::comes_up(const HostPtr& host) {
    if (host->dead) return;
    host->up = true;
    host->lease_from = events_.now();
    host->node = events_.pick(scenario_.members.size());
    rentals_.came_up(host->name);
    if (came_up) came_up(host->name);
    report(host);
    check_lease(host);
}

void Fleet::schedule_report(const HostPtr& host, Seconds in) {
    const auto timer = ++host->timer;
    events_.after(in, [this, host, timer] {
        if (timer == host->timer) report(host);
    });
}

void Fleet::changed(const HostPtr& host) {
    host->changed = true;
    if (host->in_flight) return;
    const Seconds since = events_.now() - host->last_sent;
    schedule_report(host, std::max(Seconds(0), least_gap - since));
}

std::string Fleet::body_of(Host& h) {
    json::array tasks;
    for (const auto& [name, t] : h.tasks) {
        json::object o{{"shard", name.first + "/" + std::to_string(name.second)},
                       {"try", t.attempt},
                       {"status", name_of(t.status)}};
        if (t.status == TaskStatus::exited) o["cause"] = name_of(t.exit_reason);
        tasks.push_back(std::move(o));
    }
    return json::serialize(json::object{{"host", h.name},
                                        {"endpoint", h.address},
                                        {"hosttype", h.type->name},
                                        {"hall", h.zone},
                                        {"loaners", h.spot},
                                        {"tenure", h.incarnation},
                                        {"tick", ++h.sequence},
                                        {"baton", h.fencing_token},
                                        {"warning_s", nullptr},
                                        {"shards", std::move(tasks)}});
}

void Fleet::report(const HostPtr& host) {
    auto& h = *host;
    if (h.dead || !h.up || h.in_flight) return;
    if (events_.now() < h.hangs_until) return schedule_report(host, h.hangs_until - events_.now());
    h.in_flight = true;
    h.changed = false;
    h.last_sent = events_.now();
    const auto sent = h.last_sent;
    const auto incarnation = h.incarnation;
    net::Request request;
    request.verb = net::http::verb::post;
    request.target = "/agent/beat";
    request.body = body_of(h);
    if (events_.now() < h.cut_until || events_.now() < h.heartbeats_lost_until) {
        events_.after(patience, [this, host, incarnation, sent] { answered(host, incarnation, sent, 0, ""); });
        return;
    }
    if (repeated_heartbeats > 0 && events_.chance(repeated_heartbeats))
        events_.after(Seconds(events_.uniform(2, settings_.worker_lease.count() * latest_copy)),
                      [this, node = h.node, from = Origin{h.name, h.zone}, request] {
                          ask_(node, from, request, patience, [](unsigned, const std::string&) {});
                      });
    ask_(h.node, {h.name, h.zone}, std::move(request), patience,
         [this, host, incarnation, sent](unsigned status, const std::string& body) {
             answered(host, incarnation, sent, status, body);
         });
}

void Fleet::answered(const HostPtr& host, std::uint64_t incarnation, TimePoint sent, unsigned status,
                     const std::string& body) {
    auto& h = *host;
    if (events_.now() < h.answers_lost_until && status != 0) {
        events_.after(std::max(Seconds(0), patience - Seconds(events_.now() - sent)),
                      [this, host, incarnation, sent] { answered(host, incarnation, sent, 0, ""); });
        return;
    }
    h.in_flight = false;
    if (h.dead) return;
    if (events_.now() < h.hangs_until || events_.now() < h.cut_until) status = 0;
    const auto next_node = [&] {
        h.node = (h.node + 1) % scenario_.members.size();
        schedule_report(host, Seconds(1));
    };
    if (status == 421) {
        const auto o = wire::parse_object(body);
        const auto* leader = o.if_contains("overseer");
        const auto to =
            leader ? std::find(scenario_.members.begin(), scenario_.members.end(), std::string(leader->as_string()))
                   : scenario_.members.end();
        const auto at = static_cast<std::size_t>(to - scenario_.members.begin());
        if (to == scenario_.members.end() || at == h.node) return next_node();
        h.node = at;
        return schedule_report(host, Seconds(events_.uniform(0, 0.5)));
    }
    if (status != 200) return next_node();
    const auto o = wire::parse_object(body);
    const auto fencing_token = o.at("baton").to_number<std::uint64_t>();
    if (fencing_token >= h.fencing_token && incarnation == h.incarnation) {
        if (fencing_token > h.fencing_token) h.changed = true;
        h.fencing_token = fencing_token;
        h.lease_from = std::max(h.lease_from, sent);
        last_answer[h.node] = events_.now();
        const auto& commands = o.at("orders").as_array();
        if (answer_accepted) answer_accepted(fencing_token, std::any_of(commands.begin(), commands.end(), is_run));
        execute(host, commands);
    }
    if (h.changed)
        changed(host);
    else
        schedule_report(host, settings_.heartbeat_interval * events_.uniform(0.75, 1.25));
}

void Fleet::execute(const HostPtr& host, const json::array& commands) {
    for (const auto& v : commands) {
        const auto& o = v.as_object();
        const std::string shard(o.at("shard").as_string());
        const auto slash = shard.rfind('/');
        const TaskName name{shard.substr(0, slash), static_cast<std::uint32_t>(std::stoul(shard.substr(slash + 1)))};
        const auto attempt = o.at("try").to_number<std::uint64_t>();
        const std::string verb(o.at("verb").as_string());
        const auto it = host->tasks.find(name);
        if (verb == "run") {
            observer_.ordered(name);
            run(host, name, attempt);
        } else if (it != host->tasks.end() && it->second.attempt == attempt) {
            const bool ended = it->second.status == TaskStatus::exited;
            if (verb == "kill" && !ended) ends(host, name, ExitReason::stopped);
            if (verb == "clear" && ended) host->tasks.erase(it);
        }
    }
}

// --- tasks ---

void Fleet::run(const HostPtr& host, const TaskName& name, std::uint64_t attempt) {
    auto& h = *host;
    const auto held = h.tasks.find(name);
    if (held != h.tasks.end() && held->second.attempt == attempt) return;
    const auto serial = ++serials_;
    h.changed = true;
    const auto job = jobs_.find(name.first);
    auto exit_reason = ExitReason::none;
    auto free = h.type->capacity;
    placement::take(free, h.used);
    if (job == jobs_.end() || name.second >= job->second.spec.tasks)
        exit_reason = ExitReason::unknown_task;
    else if (held != h.tasks.end() && held->second.status != TaskStatus::exited)
        return;  // refused as in use; the report shows the other attempt
    else if (!placement::fits(job->second.spec.need, free))
        exit_reason = ExitReason::insufficient_resources;
    auto& task = h.tasks[name];
    task = {attempt, exit_reason == ExitReason::none ? TaskStatus::fetching : TaskStatus::exited, exit_reason, serial};
    if (exit_reason != ExitReason::none) return;
    const auto& spec = job->second.spec;
    placement::give(h.used, spec.need);
    const bool cached = h.images.contains(spec.image);
    const Seconds fetch(cached ? 0.05 : spec.image_gb / h.type->fetch_gb_per_s * events_.uniform(0.8, 1.3));
    events_.after(fetch, [this, host, name, serial] { has_image(host, name, serial); });
}

std::vector<std::pair<Fleet::HostPtr, TaskName>> Fleet::members(const std::string& uid, std::uint64_t attempt) const {
    std::vector<std::pair<HostPtr, TaskName>> out;
    const auto it = gangs_.find({uid, attempt});
    if (it == gangs_.end()) return out;
    for (const auto& name : it->second)
        if (const auto h = hosts_.find(name); h != hosts_.end())
            for (const auto& [task, t] : h->second->tasks)
                if (task.first == uid && t.attempt == attempt && t.status != TaskStatus::exited)
                    out.emplace_back(h->second, task);
    return out;
}

void Fleet::has_image(const HostPtr& host, const TaskName& name, std::uint64_t serial) {
    auto& h = *host;
    const auto it = h.tasks.find(name);
    if (h.dead || it == h.tasks.end() || it->second.serial != serial || it->second.status != TaskStatus::fetching)
        return;
    if (events_.now() < h.hangs_until) {
        events_.after(h.hangs_until - events_.now() + Seconds(0.01),
                      [this, host, name, serial] { has_image(host, name, serial); });
        return;
    }
    auto& job = jobs_[name.first];
    h.images.insert(job.spec.image);
    observer_.arrives(name, {h.name, h.type->name, h.zone, h.spot});
    last_start = events_.now();
    if (job.done.contains(name.second)) {
        it->second.status = TaskStatus::running;
        return ends(host, name, ExitReason::done);
    }
    if (job.spec.kind != JobKind::gang) {
        starts(host, name);
        return;
    }
    const auto attempt = it->second.attempt;
    it->second.status = TaskStatus::waiting;
    gangs_[{name.first, attempt}].insert(h.name);
    changed(host);
    const auto all = members(name.first, attempt);
    const auto ready = std::count_if(all.begin(), all.end(), [](const auto& m) {
        return m.first->tasks.at(m.second).status == TaskStatus::waiting;
    });
    if (static_cast<std::uint32_t>(ready) == job.spec.tasks) {
        for (const auto& [other, task] : all) starts(other, task);
        return;
    }
    events_.after(settings_.gang_barrier_timeout, [this, host, name, serial] {
        const auto t = host->tasks.find(name);
        if (!host->dead && t != host->tasks.end() && t->second.serial == serial &&
            t->second.status == TaskStatus::waiting)
            ends(host, name, ExitReason::gang_incomplete);
    });
}

void Fleet::starts(const HostPtr& host, const TaskName& name) {
    auto& task = host->tasks[name];
    task.status = TaskStatus::running;
    const auto serial = task.serial;
    const auto& job = jobs_[name.first];
    ++started;
    ++started_by_class[job.spec.job_class];
    changed(host);
    if (job.spec.kind == JobKind::service) return;
    events_.after(job.runs, [this, host, name, serial] { completes(host, name, serial); });
}

void Fleet::completes(const HostPtr& host, const TaskName& name, std::uint64_t serial) {
    const auto t = host->tasks.find(name);
    if (host->dead || t == host->tasks.end() || t->second.serial != serial || t->second.status != TaskStatus::running)
        return;
    auto& job = jobs_[name.first];
    if (job.spec.kind != JobKind::gang) {
        if (events_.now() >= host->hangs_until) return ends(host, name, ExitReason::done);
        // What hangs goes on later.
        events_.after(host->hangs_until - events_.now() + Seconds(0.01),
                      [this, host, name, serial] { completes(host, name, serial); });
        return;
    }
    // A gang completes as one; where a member hangs, the others notice, and exit.
    const auto all = members(name.first, t->second.attempt);
    for (const auto& [other, task] : all)
        if (events_.now() < other->hangs_until) return gang_member_gone(name, t->second.attempt);
    if (all.size() < job.spec.tasks) return;
    for (std::uint32_t i = 0; i < job.spec.tasks; ++i) {
        job.done.insert(i);
        observer_.completed({name.first, i});
    }
    for (const auto& [other, task] : all) ends(other, task, ExitReason::done);
}

void Fleet::ends(const HostPtr& host, const TaskName& name, ExitReason exit_reason) {
    auto& task = host->tasks[name];
    const bool was_there = task.status != TaskStatus::fetching;
    auto& job = jobs_[name.first];
    task.status = TaskStatus::exited;
    task.exit_reason = exit_reason;
    placement::take(host->used, job.spec.need);
    if (was_there) observer_.leaves(name, host->name);
    if (exit_reason == ExitReason::stopped && was_there && job.spec.kind != JobKind::service)
        stopped[name] = events_.now();
    if (exit_reason == ExitReason::done) {
        ++finished;
        if (job.done.insert(name.second).second) observer_.completed(name);
    } else if (job.spec.kind == JobKind::gang) {
        gang_member_gone(name, task.attempt);
    }
    changed(host);
}

// The others of a running gang notice, and exit.
void Fleet::gang_member_gone(const TaskName& name, std::uint64_t attempt) {
    const auto uid = name.first;
    events_.after(settings_.gang_failure_detection * events_.uniform(0.3, 1), [this, uid, attempt] {
        for (const auto& [other, task] : members(uid, attempt))
            if (other->tasks.at(task).status == TaskStatus::running) ends(other, task, ExitReason::gang_member_lost);
    });
}

void Fleet::drop_all(const HostPtr& host) {
    for (const auto& [name, t] : host->tasks) {
        if (t.status == TaskStatus::exited) continue;
        if (t.status != TaskStatus::fetching) observer_.leaves(name, host->name);
        if (jobs_[name.first].spec.kind == JobKind::gang) gang_member_gone(name, t.attempt);
    }
    host->tasks.clear();
    host->used = {};
}

void Fleet::check_lease(const HostPtr& host) {
    auto& h = *host;
    if (h.dead) return;
    if (events_.now() >= h.hangs_until && events_.now() - h.lease_from > model::to_clock(settings_.worker_lease)) {
        lease_kills += h.tasks.size();
        for (const auto& [name, t] : h.tasks)
            if (t.status != TaskStatus::exited) stopped[name] = events_.now();
        drop_all(host);
        ++h.incarnation;
        h.lease_from = events_.now();
        changed(host);
    }
    events_.after(Seconds(0.5), [this, host] { check_lease(host); });
}

// --- troubles ---

std::vector<Fleet::HostPtr> Fleet::some(double share) {
    std::vector<HostPtr> out;
    for (const auto& [name, h] : hosts_)
        if (h->up && !h->dead && events_.chance(share)) out.push_back(h);
    return out;
}

void Fleet::die(double share) {
    for (const auto& h : some(share)) kill(h);
}

void Fleet::die(const std::string& machine) {
    if (const auto it = hosts_.find(machine); it != hosts_.end()) kill(it->second);
}

void Fleet::kill(const HostPtr& host) {
    drop_all(host);
    host->dead = true;
    rentals_.died(host->name);
}

void Fleet::restart(const std::string& machine) {
    const auto it = hosts_.find(machine);
    if (it == hosts_.end() || it->second->dead) return;
    drop_all(it->second);
    it->second->hangs_until = events_.now() + model::to_clock(settings_.worker_lease * restart_leases);
}

void Fleet::hang(double share, Seconds lasts) {
    for (const auto& h : some(share)) h->hangs_until = events_.now() + model::to_clock(lasts);
}

void Fleet::cut(double share, Seconds lasts) {
    for (const auto& h : some(share)) h->cut_until = events_.now() + model::to_clock(lasts);
}

void Fleet::lose_heartbeats(double share, Seconds lasts) {
    for (const auto& h : some(share)) h->heartbeats_lost_until = events_.now() + model::to_clock(lasts);
}

void Fleet::hang_with(const std::string& uid, std::size_t machines, Seconds lasts) {
    for (const auto& [name, h] : hosts_) {
        const bool holds = std::any_of(h->tasks.begin(), h->tasks.end(), [&](const auto& t) {
            return t.first.first == uid && t.second.status != TaskStatus::exited;
        });
        if (!holds || h->dead || machines == 0) continue;
        --machines;
        h->hangs_until = events_.now() + model::to_clock(lasts);
    }
}

void Fleet::lose_answers(double share, Seconds lasts) {
    for (const auto& h : some(share)) h->answers_lost_until = events_.now() + model::to_clock(lasts);
}

std::size_t Fleet::answered_by(std::size_t node, Seconds within) const {
    return static_cast<std::size_t>(std::count_if(hosts_.begin(), hosts_.end(), [&](const auto& h) {
        return h.second->up && !h.second->dead && h.second->node == node &&
               events_.now() - h.second->lease_from < model::to_clock(within);
    }));
}

std::map<TaskName, std::string> Fleet::running() const {
    std::map<TaskName, std::string> out;
    for (const auto& [name, h] : hosts_)
        for (const auto& [task, t] : h->tasks)
            if (!h->dead && (t.status == TaskStatus::running || t.status == TaskStatus::waiting)) out[task] = name;
    return out;
}

std::size_t Fleet::tasks_on_machines(const std::string& uid) const {
    std::size_t out = 0;
    for (const auto& [name, h] : hosts_)
        for (const auto& [task, t] : h->tasks) out += task.first == uid && t.status != TaskStatus::exited;
    return out;
}

Fleet::Room Fleet::room_on(const model::JobSpec& spec) const {
    Room out;
    const auto now = events_.now();
    for (const auto& [name, h] : hosts_) {
        const bool reached = h->up && !h->dead && now >= h->hangs_until && now >= h->cut_until &&
                             now >= h->answers_lost_until && now >= h->heartbeats_lost_until;
        const bool wanted = (!spec.types || std::count(spec.types->begin(), spec.types->end(), h->type->name) > 0) &&
                            (!spec.zone || *spec.zone == h->zone) && (spec.spot || !h->spot);
        if (!reached || !wanted) continue;
        auto free = h->type->capacity;
        placement::take(free, h->used);
        if (const auto slots = placement::slots(spec.need, free)) out[name] = slots;
    }
    return out;
}

std::size_t Fleet::room_for(const model::JobSpec& spec, const Room& room) const {
    std::map<std::string, std::size_t> by_zone, there;
    for (const auto& [name, h] : hosts_) {
        if (const auto it = room.find(name); it != room.end()) by_zone[h->zone] += it->second;
        for (const auto& [task, t] : h->tasks)
            there[h->zone] += task.first == spec.uid && t.status != TaskStatus::exited;
    }
    const bool somewhere = std::any_of(there.begin(), there.end(), [](const auto& z) { return z.second > 0; });
    std::size_t out = 0;
    for (auto [zone, slots] : by_zone) {
        const std::size_t half = (spec.tasks + 1) / 2;
        if (spec.spread) slots = std::min(slots, half - std::min(half, there[zone]));
        if (!spec.one_zone) out += slots;
        if (spec.one_zone && (!somewhere || there[zone] > 0)) out = std::max(out, slots);
    }
    return out;
}

bool Fleet::alive(const std::string& machine) const {
    const auto it = hosts_.find(machine);
    return it != hosts_.end() && !it->second->dead && events_.now() >= it->second->hangs_until &&
           events_.now() >= it->second->cut_until;
}

std::size_t Fleet::up() const {
    return static_cast<std::size_t>(
        std::count_if(hosts_.begin(), hosts_.end(), [](const auto& h) { return h.second->up && !h.second->dead; }));
}

}  // namespace flintdale::simulator
