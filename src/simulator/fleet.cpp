#include "simulator/fleet.hpp"

#include <algorithm>

#include "simulator/worker_protocol.hpp"
#include "wire/json.hpp"

namespace flintdale::simulator {

namespace json = boost::json;

namespace {
constexpr Seconds least_heartbeat_gap{0.5};
constexpr Seconds heartbeat_timeout{4};
constexpr Seconds lease_check_interval{0.5};
constexpr double latest_copy = 1.5;      // leases that a copy of a heartbeat is late
constexpr double restart_leases = 1.05;  // leases that a worker is silent when it starts anew

// Simulated machines have no addresses but their names.
constexpr const char* simulated_port = ":9000";

std::string machine_at(const std::string& address) { return address.substr(0, address.find(':')); }
}  // namespace

Fleet::Fleet(Events& events, TaskObserver& observer, const config::Settings& settings, const Scenario& scenario,
             Ask ask)
    : events_(events),
      settings_(settings),
      scenario_(scenario),
      ask_(std::move(ask)),
      rentals_(events, settings, scenario,
               [](const std::string& name, std::uint64_t) { return name + simulated_port; }),
      tasks_(events, observer, settings, machines_, [this](const MachinePtr& machine) { changed(machine); }) {}

// --- the cloud ---

void Fleet::add(const Rented& rented, Seconds boots_in) {
    auto machine = std::make_shared<Machine>();
    machine->name = rented.name;
    machine->address = rented.address;
    machine->type = rented.type;
    machine->zone = rented.zone;
    machine->spot = rented.spot;
    machines_[machine->name] = machine;
    events_.after(boots_in, [this, machine] { boot_completed(machine); });
}

void Fleet::warm_up(std::size_t machines) {
    for (std::size_t i = 0; i < machines; ++i) {
        const auto& type = scenario_.types[i % scenario_.types.size()];
        add(rentals_.add(type, type.zones[i / scenario_.types.size() % type.zones.size()], false), Seconds(0));
    }
}

cloud::LaunchResult Fleet::rent(const std::string& request, const std::string& type, const std::string& zone, bool spot,
                                int count) {
    auto granted = rentals_.rent(request, type, zone, spot, count);
    for (const auto* rented : granted.fresh) add(*rented, rented->type->boot * events_.uniform(0.6, 1.5));
    return std::move(granted.result);
}

void Fleet::release(const std::vector<std::string>& names) {
    for (const auto& name : names) {
        rentals_.release(name);
        const auto found = machines_.find(name);
        if (found == machines_.end()) continue;
        tasks_.drop_all(found->second);
        found->second->dead = true;
        machines_.erase(found);
    }
}

// --- direct requests to workers ---

MachinePtr Fleet::reachable(const std::string& name) const {
    const auto found = machines_.find(name);
    return found != machines_.end() && found->second->reachable(events_.now()) ? found->second : nullptr;
}

std::optional<std::string> Fleet::status(const std::string& address) {
    const auto machine = reachable(machine_at(address));
    if (!machine) return std::nullopt;
    return heartbeat_body(*machine);
}

std::optional<net::Reply> Fleet::command(const std::string& name, const std::string& body) {
    const auto machine = reachable(name);
    if (!machine) return std::nullopt;
    net::Reply reply;
    try {
        const auto fields = wire::parse_object(body);
        const auto fencing_token = fields.at("baton").to_number<std::uint64_t>();
        const auto incarnation = fields.at("tenure").to_number<std::uint64_t>();
        if (fencing_token < machine->fencing_token || incarnation != machine->incarnation) {
            reply.status = 409;
        } else {
            machine->changed = machine->changed || fencing_token > machine->fencing_token;
            machine->fencing_token = fencing_token;
            execute(machine, fields.at("orders").as_array());
        }
    } catch (const std::exception& e) {
        reply.status = 400;
        reply.body = wire::error_body(e.what());
        return reply;
    }
    if (machine->changed) changed(machine);
    reply.body = heartbeat_body(*machine);
    return reply;
}

std::string Fleet::zone_of(const std::string& address) const {
    const auto found = machines_.find(machine_at(address));
    return found == machines_.end() ? std::string() : found->second->zone;
}

// --- heartbeats ---

void Fleet::boot_completed(const MachinePtr& machine) {
    if (machine->dead) return;
    machine->up = true;
    machine->lease_from = events_.now();
    machine->node = events_.pick(scenario_.members.size());
    rentals_.came_up(machine->name);
    if (came_up) came_up(machine->name);
    send_heartbeat(machine);
    check_lease(machine);
}

void Fleet::schedule_heartbeat(const MachinePtr& machine, Seconds delay) {
    const auto timer = ++machine->timer;
    events_.after(delay, [this, machine, timer] {
        if (timer == machine->timer) send_heartbeat(machine);
    });
}

void Fleet::changed(const MachinePtr& machine) {
    machine->changed = true;
    if (machine->heartbeat_in_flight) return;
    const Seconds since = events_.now() - machine->last_sent;
    schedule_heartbeat(machine, std::max(Seconds(0), least_heartbeat_gap - since));
}

void Fleet::send_heartbeat(const MachinePtr& machine) {
    const auto now = events_.now();
    if (!machine->alive() || machine->heartbeat_in_flight) return;
    if (machine->hangs(now)) return schedule_heartbeat(machine, machine->hangs_until - now);
    machine->heartbeat_in_flight = true;
    machine->changed = false;
    machine->last_sent = now;
    const auto incarnation = machine->incarnation;
    net::Request request;
    request.verb = net::http::verb::post;
    request.target = "/agent/beat";
    request.body = heartbeat_body(*machine);
    if (machine->cut(now) || now < machine->heartbeats_lost_until) {
        events_.after(heartbeat_timeout,
                      [this, machine, incarnation, now] { answered(machine, incarnation, now, 0, ""); });
        return;
    }
    if (repeated_heartbeats > 0 && events_.chance(repeated_heartbeats)) repeat_later(*machine, request);
    ask_(machine->node, {machine->name, machine->zone}, std::move(request), heartbeat_timeout,
         [this, machine, incarnation, now](unsigned status, const std::string& body) {
             answered(machine, incarnation, now, status, body);
         });
}

void Fleet::repeat_later(const Machine& machine, const net::Request& request) {
    const Seconds delay(events_.uniform(2, settings_.worker_lease.count() * latest_copy));
    events_.after(delay, [this, node = machine.node, from = Origin{machine.name, machine.zone}, request] {
        ask_(node, from, request, heartbeat_timeout, [](unsigned, const std::string&) {});
    });
}

void Fleet::answered(const MachinePtr& machine, std::uint64_t incarnation, TimePoint sent, unsigned status,
                     const std::string& body) {
    const auto now = events_.now();
    if (now < machine->answers_lost_until && status != 0) {
        events_.after(std::max(Seconds(0), heartbeat_timeout - Seconds(now - sent)),
                      [this, machine, incarnation, sent] { answered(machine, incarnation, sent, 0, ""); });
        return;
    }
    machine->heartbeat_in_flight = false;
    if (machine->dead) return;
    if (machine->hangs(now) || machine->cut(now)) status = 0;
    if (status == 421)
        redirected(machine, body);
    else if (status == 200)
        accept_answer(machine, incarnation, sent, body);
    else
        try_next_controller(machine);
}

void Fleet::try_next_controller(const MachinePtr& machine) {
    machine->node = (machine->node + 1) % scenario_.members.size();
    schedule_heartbeat(machine, Seconds(1));
}

// The controller does not lead, and names the leader if it knows one.
void Fleet::redirected(const MachinePtr& machine, const std::string& body) {
    const auto fields = wire::parse_object(body);
    const auto* leader = fields.if_contains("overseer");
    const auto& members = scenario_.members;
    const auto found =
        leader ? std::find(members.begin(), members.end(), std::string(leader->as_string())) : members.end();
    const auto node = static_cast<std::size_t>(found - members.begin());
    if (found == members.end() || node == machine->node) return try_next_controller(machine);
    machine->node = node;
    schedule_heartbeat(machine, Seconds(events_.uniform(0, 0.5)));
}

void Fleet::accept_answer(const MachinePtr& machine, std::uint64_t incarnation, TimePoint sent,
                          const std::string& body) {
    const auto fields = wire::parse_object(body);
    const auto fencing_token = fields.at("baton").to_number<std::uint64_t>();
    if (fencing_token >= machine->fencing_token && incarnation == machine->incarnation) {
        if (fencing_token > machine->fencing_token) machine->changed = true;
        machine->fencing_token = fencing_token;
        machine->lease_from = std::max(machine->lease_from, sent);
        last_answers_[machine->node] = events_.now();
        const auto& commands = fields.at("orders").as_array();
        if (answer_accepted) answer_accepted(fencing_token, has_run_command(commands));
        execute(machine, commands);
    }
    if (machine->changed)
        changed(machine);
    else
        schedule_heartbeat(machine, settings_.heartbeat_interval * events_.uniform(0.75, 1.25));
}

void Fleet::execute(const MachinePtr& machine, const json::array& commands) {
    for (const auto& value : commands) {
        const auto command = parse_command(value);
        if (command.verb == CommandVerb::run) {
            tasks_.command_received(command.task);
            tasks_.run(machine, command.task, command.attempt);
            continue;
        }
        const auto task = machine->tasks.find(command.task);
        if (task == machine->tasks.end() || task->second.attempt != command.attempt) continue;
        const bool exited = task->second.exited();
        if (command.verb == CommandVerb::stop && !exited) tasks_.end(machine, command.task, model::ExitReason::stopped);
        if (command.verb == CommandVerb::clear && exited) machine->tasks.erase(task);
    }
}

void Fleet::check_lease(const MachinePtr& machine) {
    if (machine->dead) return;
    const auto now = events_.now();
    if (!machine->hangs(now) && now - machine->lease_from > model::to_clock(settings_.worker_lease)) {
        tasks_.lease_expired(machine);
        ++machine->incarnation;
        machine->lease_from = now;
        changed(machine);
    }
    events_.after(lease_check_interval, [this, machine] { check_lease(machine); });
}

// --- faults of machines ---

std::vector<MachinePtr> Fleet::pick_share(double share) {
    std::vector<MachinePtr> out;
    for (const auto& [name, machine] : machines_)
        if (machine->alive() && events_.chance(share)) out.push_back(machine);
    return out;
}

void Fleet::die(double share) {
    for (const auto& machine : pick_share(share)) kill(machine);
}

void Fleet::die(const std::string& name) {
    if (const auto found = machines_.find(name); found != machines_.end()) kill(found->second);
}

void Fleet::kill(const MachinePtr& machine) {
    tasks_.drop_all(machine);
    machine->dead = true;
    rentals_.died(machine->name);
}

void Fleet::restart(const std::string& name) {
    const auto found = machines_.find(name);
    if (found == machines_.end() || found->second->dead) return;
    tasks_.drop_all(found->second);
    found->second->hangs_until = events_.now() + model::to_clock(settings_.worker_lease * restart_leases);
}

void Fleet::hang(double share, Seconds duration) {
    for (const auto& machine : pick_share(share)) machine->hangs_until = events_.now() + model::to_clock(duration);
}

void Fleet::cut(double share, Seconds duration) {
    for (const auto& machine : pick_share(share)) machine->cut_until = events_.now() + model::to_clock(duration);
}

void Fleet::lose_answers(double share, Seconds duration) {
    const auto until = events_.now() + model::to_clock(duration);
    for (const auto& machine : pick_share(share)) machine->answers_lost_until = until;
}

void Fleet::lose_heartbeats(double share, Seconds duration) {
    const auto until = events_.now() + model::to_clock(duration);
    for (const auto& machine : pick_share(share)) machine->heartbeats_lost_until = until;
}

void Fleet::hang_with(const std::string& uid, std::size_t machines, Seconds duration) {
    for (const auto& [name, machine] : machines_) {
        const bool has_task = std::any_of(machine->tasks.begin(), machine->tasks.end(), [&uid](const auto& entry) {
            return entry.first.first == uid && !entry.second.exited();
        });
        if (!has_task || machine->dead || machines == 0) continue;
        --machines;
        machine->hangs_until = events_.now() + model::to_clock(duration);
    }
}

// --- observation ---

std::size_t Fleet::answered_by(std::size_t node, Seconds within) const {
    const auto counts = [&](const auto& entry) {
        const auto& machine = *entry.second;
        return machine.alive() && machine.node == node && events_.now() - machine.lease_from < model::to_clock(within);
    };
    return static_cast<std::size_t>(std::count_if(machines_.begin(), machines_.end(), counts));
}

TimePoint Fleet::last_answer_from(std::size_t node) const {
    const auto found = last_answers_.find(node);
    return found == last_answers_.end() ? TimePoint{} : found->second;
}

std::map<TaskName, std::string> Fleet::running() const {
    using model::TaskStatus;
    std::map<TaskName, std::string> out;
    for (const auto& [name, machine] : machines_) {
        if (machine->dead) continue;
        for (const auto& [task_name, task] : machine->tasks)
            if (task.status == TaskStatus::running || task.status == TaskStatus::waiting) out[task_name] = name;
    }
    return out;
}

std::size_t Fleet::tasks_on_machines(const std::string& uid) const {
    std::size_t out = 0;
    for (const auto& [name, machine] : machines_)
        for (const auto& [task_name, task] : machine->tasks) out += task_name.first == uid && !task.exited();
    return out;
}

bool Fleet::alive(const std::string& name) const {
    const auto found = machines_.find(name);
    if (found == machines_.end()) return false;
    const auto& machine = *found->second;
    return !machine.dead && !machine.hangs(events_.now()) && !machine.cut(events_.now());
}

std::size_t Fleet::up() const {
    return static_cast<std::size_t>(
        std::count_if(machines_.begin(), machines_.end(), [](const auto& entry) { return entry.second->alive(); }));
}

}  // namespace flintdale::simulator
