#include "simulator/controllers.hpp"

#include <fmt/format.h>

#include <cmath>

#include "cloud/client.hpp"
#include "wire/json.hpp"

namespace flintdale::simulator {

using namespace std::chrono_literals;

namespace {
constexpr std::int64_t epoch_ms = 1'700'000'000'000;  // wall-clock time at the start of a run
constexpr Seconds refused_after{0.02};                // a connection to a controller that is not running

// What differs between the controllers of a cluster.
std::string settings_text(const Scenario& scenario, std::size_t node) {
    std::string out =
        fmt::format("member = \"{}\"\nlocation = \"{}\"\nserve_on = \"10.0.0.{}:80\"\npeer_listen = \"10.0.0.{}:81\"\n",
                    scenario.members[node], scenario.member_zones[node], node + 1, node + 1);
    for (std::size_t other = 0; other < scenario.members.size(); ++other)
        if (other != node)
            out += fmt::format("[[seeds]]\nmember = \"{}\"\nlocation = \"{}\"\naddr = \"10.0.0.{}:81\"\n",
                               scenario.members[other], scenario.member_zones[other], other + 1);
    return out + "[endpoints]\ncloud = \"10.2.0.2:80\"\nstate = \"10.2.0.1:80\"\n" + scenario.cluster;
}
}  // namespace

class Controllers::CloudLink : public cloud::Cloud {
  public:
    CloudLink(Events& events, Fleet& fleet, const Scenario& scenario)
        : events_(events), fleet_(fleet), scenario_(scenario) {}
    bool cut = false;

    net::awaitable<std::optional<std::vector<model::MachineType>>> catalog() override {
        const bool there = co_await reach();
        if (!there) co_return std::nullopt;
        co_return scenario_.types;
    }
    net::awaitable<std::optional<std::vector<model::ListedMachine>>> machines() override {
        const bool there = co_await reach();
        if (!there) co_return std::nullopt;
        co_return fleet_.list();
    }
    net::awaitable<cloud::LaunchResult> launch(std::string request, std::string type, std::string zone, bool spot,
                                               int count) override {
        const bool there = co_await reach();
        if (!there) co_return cloud::LaunchResult{};
        co_return fleet_.rent(request, type, zone, spot, count);
    }
    net::awaitable<bool> terminate(std::vector<std::string> names) override {
        const bool there = co_await reach();
        if (there) fleet_.release(names);
        co_return there;
    }

  private:
    net::awaitable<bool> reach() {
        co_await net::sleep_for(model::to_clock(Seconds(events_.uniform(0.05, 0.25))));
        co_return !cut && !fleet_.down;
    }
    Events& events_;
    Fleet& fleet_;
    const Scenario& scenario_;
};

class Controllers::WorkersLink : public worker::Workers {
  public:
    WorkersLink(Events& events, Fleet& fleet) : events_(events), fleet_(fleet) {}
    std::function<bool(const std::string& zone)> reaches;

    net::awaitable<std::optional<model::Heartbeat>> status(std::string address) override {
        co_await net::sleep_for(model::to_clock(Seconds(events_.uniform(0.002, 0.02))));
        const auto report = reaches(fleet_.zone_of(address)) ? fleet_.status(address) : std::nullopt;
        if (report) co_return wire::parse_heartbeat(*report);
        co_await net::sleep_for(1500ms);
        co_return std::nullopt;
    }

  private:
    Events& events_;
    Fleet& fleet_;
};

// One run of a controller's program. It has an executor of its own: what was under way when it ends never goes on.
struct Controllers::Process {
    net::asio::io_context io{1};
    state::RecordFormat record_format;
    StoreLink store;
    CloudLink cloud;
    WorkersLink workers;
    app::Controller controller;

    Process(Controllers& all, std::size_t node, const config::Settings& settings)
        : record_format(settings),
          store(io.get_executor(), all.events_, all.store_, settings.store_limits, settings.controllers),
          cloud(all.events_, all.fleet_, all.scenario_),
          workers(all.events_, all.fleet_),
          controller(io.get_executor(), settings, all.operator_settings_, record_format,
                     {store, cloud, workers,
                      [&all, node](const peer::StatusMessage& status) { all.broadcast_status(node, status); },
                      [&all] { return epoch_ms + std::llround(all.events_.since_start().count() * 1000); },
                      [&all, node](const std::string& member, const peer::RelayMessage& message) {
                          return all.relay(node, member, message);
                      }}) {
        store.outage = &all.store_outage_;
        workers.reaches = [&all, node](const std::string& zone) { return all.reached_by(zone, node); };
        store.late = all.scenario_.late;
        store.late_now = &all.late_commits_;
        store.slow = all.scenario_.slow;
        store.slowest = all.scenario_.slowest;
        controller.start();
    }
};

// One controller: its process, if it runs, and the state of its links, which outlasts the process.
struct Controllers::Node {
    std::unique_ptr<Process> process;
    TimePoint frozen_until{};
    TimePoint next_timer{};
    bool message_waiting = false;
    bool store_partitioned = false, store_refused = false, workers_cut = false, peers_cut = false;
};

std::vector<config::Settings> Controllers::parse_settings(const Scenario& scenario) {
    std::vector<config::Settings> out;
    for (std::size_t node = 0; node < scenario.members.size(); ++node)
        out.push_back(config::parse_settings(settings_text(scenario, node), scenario.name));
    return out;
}

Controllers::Controllers(Events& events, const Scenario& scenario, const std::vector<config::Settings>& settings,
                         KeyValueStore& store, Fleet& fleet)
    : events_(events), scenario_(scenario), settings_(settings), store_(store), fleet_(fleet) {
    operator_settings_.job_cache_size = scenario.known_jobs;
    operator_settings_.direct_share = scenario.direct_share;
}

Controllers::~Controllers() = default;

// --- processes ---

void Controllers::start_all() {
    for (std::size_t node = 0; node < scenario_.members.size(); ++node) {
        nodes_.push_back(std::make_unique<Node>());
        start(node);
    }
}

void Controllers::stop_all() { nodes_.clear(); }

void Controllers::start(std::size_t n) {
    auto& node = *nodes_[n];
    node.process = std::make_unique<Process>(*this, n, settings_[n]);
    node.message_waiting = true;
    node.process->store.cut = node.store_partitioned;
    node.process->store.refused = node.store_refused;
}

void Controllers::crash(std::size_t node, Seconds restart_delay) {
    if (!running(node)) return;
    nodes_[node]->process.reset();
    events_.after(restart_delay, [this, node] { start(node); });
}

void Controllers::freeze(std::size_t node, Seconds duration) {
    nodes_[node]->frozen_until = events_.now() + model::to_clock(duration);
}

void Controllers::run_due() {
    for (auto& node : nodes_) {
        if (!node->process || events_.now() < node->frozen_until) continue;
        if (!node->message_waiting && events_.now() < node->next_timer) continue;
        node->message_waiting = false;
        net::WaitTraits::earliest = model::to_clock(Seconds(1));
        node->process->io.restart();
        node->process->io.poll();
        node->next_timer = events_.now() + net::WaitTraits::earliest;
    }
}

bool Controllers::running(std::size_t node) const { return nodes_[node]->process != nullptr; }

bool Controllers::leading(std::size_t node) const {
    return running(node) && nodes_[node]->process->controller.leading();
}

std::size_t Controllers::pick_any() { return events_.pick(nodes_.size()); }

// --- links ---

bool Controllers::reaches(const std::string& zone, std::size_t node) const {
    const auto& other = scenario_.member_zones[node];
    // A cut zone goes on working inside; users are of no zone.
    return zone == other || (!cut_zones_.contains(zone) && !cut_zones_.contains(other));
}

bool Controllers::reached_by(const std::string& zone, std::size_t node) const {
    const bool worker = !zone.empty();
    return reaches(zone, node) && !(worker && nodes_[node]->workers_cut);
}

void Controllers::set_broken(std::size_t n, Link link, bool broken) {
    auto& node = *nodes_[n];
    switch (link) {
        case Link::store_partitioned:
            node.store_partitioned = broken;
            if (node.process) node.process->store.cut = broken;
            break;
        case Link::store_refused:
            node.store_refused = broken;
            if (node.process) node.process->store.refused = broken;
            break;
        case Link::workers:
            node.workers_cut = broken;
            break;
        case Link::peers:
            node.peers_cut = broken;
            break;
    }
}

void Controllers::set_zone_cut(const std::string& zone, bool cut) {
    if (cut)
        cut_zones_.insert(zone);
    else
        cut_zones_.erase(zone);
    // The store is outside of every zone.
    for (std::size_t node = 0; node < nodes_.size(); ++node)
        if (scenario_.member_zones[node] == zone) set_broken(node, Link::store_partitioned, cut);
}

void Controllers::set_delayed_messages(double share, Seconds longest) {
    delayed_share_ = share;
    longest_delay_ = longest;
}

// A delayed message may arrive long after its sender has stopped waiting for the answer.
double Controllers::extra_delay(bool worker) {
    if (!worker || delayed_share_ <= 0 || !events_.chance(delayed_share_)) return 0;
    return events_.uniform(0.5, longest_delay_.count());
}

// --- requests ---

void Controllers::send_request(std::size_t node, const std::string& zone, net::Request request, Seconds timeout,
                               Answered done) {
    // The first answer counts, be it the timeout.
    auto waiting = std::make_shared<Answered>(std::move(done));
    const Answered answer_once = [waiting](unsigned status, const std::string& body) {
        if (auto callback = std::exchange(*waiting, nullptr)) callback(status, body);
    };
    events_.after(timeout, [answer_once] { answer_once(0, ""); });
    const bool worker = !zone.empty();
    const bool open = reached_by(zone, node);
    if (!running(node)) {
        events_.after(refused_after, [answer_once] { answer_once(0, ""); });
        return;
    }
    auto delay = open ? events_.uniform(0.001, 0.02) : events_.uniform(5, 60);
    if (open) delay += extra_delay(worker);
    // Of the requests that meet a broken link most are lost; the others arrive late, if the link is restored by then.
    if (!open && events_.chance(0.7)) return;
    events_.after(Seconds(delay), [this, node, zone, answer_once, request = std::move(request)]() mutable {
        deliver_request(node, zone, std::move(request), answer_once);
    });
}

void Controllers::deliver_request(std::size_t node, const std::string& zone, net::Request request,
                                  const Answered& done) {
    nodes_[node]->message_waiting = true;
    if (!running(node) || !reached_by(zone, node)) return;
    auto& process = *nodes_[node]->process;
    const bool worker = !zone.empty();
    net::asio::co_spawn(process.io, process.controller.handle(std::move(request)),
                        [this, done, node, zone, worker](std::exception_ptr error, net::Reply reply) {
                            if (error) std::rethrow_exception(error);
                            if (!reaches(zone, node)) return;
                            auto delay = events_.uniform(0.001, 0.02);
                            delay += extra_delay(worker);
                            events_.after(Seconds(delay),
                                          [done, reply = std::move(reply)] { done(reply.status, reply.body); });
                        });
}

// --- messages between controllers ---

bool Controllers::peers_connected(std::size_t from, std::size_t to) const {
    return from != to && !nodes_[from]->peers_cut && !nodes_[to]->peers_cut &&
           reaches(scenario_.member_zones[from], to);
}

void Controllers::send_to_peer(std::size_t to, std::function<void(app::Controller&)> action) {
    events_.after(Seconds(events_.uniform(0.001, 0.02)), [this, to, action = std::move(action)] {
        nodes_[to]->message_waiting = true;
        if (!running(to)) return;
        net::asio::post(nodes_[to]->process->io, [this, to, action] { action(nodes_[to]->process->controller); });
    });
}

void Controllers::broadcast_status(std::size_t from, const peer::StatusMessage& status) {
    for (std::size_t to = 0; to < nodes_.size(); ++to)
        if (peers_connected(from, to))
            send_to_peer(to, [status](app::Controller& controller) { controller.received(status); });
}

bool Controllers::relay(std::size_t from, const std::string& member, const peer::RelayMessage& message) {
    const auto found = std::find(scenario_.members.begin(), scenario_.members.end(), member);
    if (found == scenario_.members.end()) return false;
    const auto to = static_cast<std::size_t>(found - scenario_.members.begin());
    if (!running(to)) return false;
    // A cut is not noticed at once: the message is sent, and lost.
    if (!peers_connected(from, to)) return true;
    ++relayed_messages_;
    send_to_peer(to, [bytes = peer::encode(message)](app::Controller& controller) {
        controller.relayed(peer::decode_relay(bytes));
    });
    return true;
}

}  // namespace flintdale::simulator
