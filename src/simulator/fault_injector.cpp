#include "simulator/fault_injector.hpp"

#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <map>

namespace flintdale::simulator {

using namespace std::chrono_literals;

namespace {
constexpr std::size_t damaged_keys = 3;  // that one fault reverts or corrupts at most
constexpr Seconds probe_delay{5}, probe_interval{2}, probe_timeout{1};
constexpr Seconds shortest_longest_delay{0.5};
}  // namespace

FaultInjector::FaultInjector(Events& events, const Scenario& scenario, const config::Settings& settings,
                             KeyValueStore& store, Controllers& controllers, Fleet& fleet, Users& users,
                             OddRequests& odd_requests, RunResult& result)
    : events_(events),
      scenario_(scenario),
      settings_(settings),
      store_(store),
      controllers_(controllers),
      fleet_(fleet),
      users_(users),
      odd_requests_(odd_requests),
      result_(result) {}

FaultInjector::Handler FaultInjector::handler_of(FaultKind kind) {
    static const std::map<FaultKind, Handler> handlers{
        {FaultKind::store_erased, &FaultInjector::erase_store},
        {FaultKind::store_rolled_back, &FaultInjector::roll_back_store},
        {FaultKind::keys_erased, &FaultInjector::erase_keys},
        {FaultKind::keys_reverted, &FaultInjector::revert_keys},
        {FaultKind::keys_corrupted, &FaultInjector::corrupt_keys},
        {FaultKind::store_outage, &FaultInjector::begin_store_outage},
        {FaultKind::store_refuses, &FaultInjector::refuse_store},
        {FaultKind::store_partitioned, &FaultInjector::partition_store},
        {FaultKind::late_commits, &FaultInjector::delay_commits},
        {FaultKind::leases_expire, &FaultInjector::expire_leases},
        {FaultKind::controller_crash, &FaultInjector::crash_controllers},
        {FaultKind::controller_freeze, &FaultInjector::freeze_controllers},
        {FaultKind::controller_isolated, &FaultInjector::isolate_controllers},
        {FaultKind::workers_cut, &FaultInjector::cut_workers},
        {FaultKind::peers_cut, &FaultInjector::cut_peers},
        {FaultKind::zone_cut, &FaultInjector::cut_zone},
        {FaultKind::delayed_messages, &FaultInjector::delay_messages},
        {FaultKind::cloud_outage, &FaultInjector::begin_cloud_outage},
        {FaultKind::machines_die, &FaultInjector::kill_machines},
        {FaultKind::machines_hang, &FaultInjector::hang_machines},
        {FaultKind::machines_cut, &FaultInjector::cut_machines},
        {FaultKind::answers_lost, &FaultInjector::lose_answers},
        {FaultKind::heartbeats_lost, &FaultInjector::lose_heartbeats},
        {FaultKind::repeated_heartbeats, &FaultInjector::repeat_heartbeats},
        {FaultKind::arrival_burst, &FaultInjector::begin_burst},
        {FaultKind::cancel_running, &FaultInjector::cancel_running},
        {FaultKind::cancel_at_completion, &FaultInjector::cancel_at_completion},
        {FaultKind::odd_requests, &FaultInjector::send_odd_requests},
    };
    return handlers.at(kind);
}

void FaultInjector::inject(const Fault& fault) {
    record(fault);
    note_isolated_leader(fault);
    note_workers_of_isolated_leader(fault);
    (this->*handler_of(fault.kind))(fault);
}

void FaultInjector::record(const Fault& fault) {
    const auto extent = fault.kind == FaultKind::store_rolled_back ? fault.amount : fault.duration;
    result_.faults.push_back(fmt::format("{:.1f} {} {}{}{} {:.1f}", fault.at.count(), to_string(fault.kind), fault.node,
                                         fault.zone, fault.prefix, extent.count()));
    spdlog::info("event=fault_injected at={:.1f} kind={}", events_.since_start().count(), to_string(fault.kind));
}

void FaultInjector::note_isolated_leader(const Fault& fault) {
    const bool takes_store = fault.kind == FaultKind::store_refuses || fault.kind == FaultKind::store_partitioned ||
                             fault.kind == FaultKind::controller_isolated;
    if (!takes_store) return;
    for (const auto node : targets(fault)) {
        if (isolated_leader_ || !controllers_.leading(node)) continue;
        isolated_leader_ = node;
        isolated_since_ = events_.now();
        at_end_of(fault, [this] { isolated_leader_.reset(); });
    }
}

void FaultInjector::note_workers_of_isolated_leader(const Fault& fault) {
    if (fault.kind != FaultKind::store_outage || !isolated_leader_) return;
    if (fault.duration <= settings_.cancel_deadline) return;
    result_.met_workers = fleet_.answered_by(*isolated_leader_, settings_.heartbeat_interval * 1.5);
    result_.met_answers = fleet_.last_answer_from(*isolated_leader_) > isolated_since_ + 100ms;
}

std::vector<std::size_t> FaultInjector::targets(const Fault& fault) const {
    std::vector<std::size_t> out;
    for (std::size_t node = 0; node < controllers_.size(); ++node) {
        const bool leads = controllers_.leading(node);
        if (fault.node == "all" || fault.node == scenario_.members[node] || (fault.node == "leader" && leads) ||
            (fault.node == "follower" && !leads && out.empty()) || (fault.node == "followers" && !leads))
            out.push_back(node);
    }
    return out;
}

// --- loss of data ---

void FaultInjector::begin_data_loss() {
    ++result_.losses;
    data_lost();
}

void FaultInjector::erase_store(const Fault&) {
    begin_data_loss();
    store_.erase_all();
}

void FaultInjector::roll_back_store(const Fault& fault) {
    begin_data_loss();
    store_.roll_back(fault.amount);
}

void FaultInjector::erase_keys(const Fault& fault) {
    begin_data_loss();
    result_.lost_keys += store_.erase(fault.prefix);
}

void FaultInjector::revert_keys(const Fault& fault) {
    begin_data_loss();
    store_.revert(fault.prefix, damaged_keys);
}

void FaultInjector::corrupt_keys(const Fault& fault) {
    begin_data_loss();
    store_.corrupt(fault.prefix, damaged_keys);
}

// --- the store's service ---

void FaultInjector::begin_store_outage(const Fault& fault) {
    controllers_.set_store_outage(true);
    at_end_of(fault, [this] {
        controllers_.set_store_outage(false);
        store_.extend_leases();
    });
}

void FaultInjector::refuse_store(const Fault& fault) { break_link(fault, Controllers::Link::store_refused); }

void FaultInjector::partition_store(const Fault& fault) { break_link(fault, Controllers::Link::store_partitioned); }

void FaultInjector::delay_commits(const Fault& fault) {
    controllers_.set_late_commits(fault.share);
    at_end_of(fault, [this] { controllers_.set_late_commits(0); });
}

void FaultInjector::expire_leases(const Fault&) { store_.expire_all_leases(); }

// --- controllers and networks ---

void FaultInjector::break_link(const Fault& fault, Controllers::Link link) {
    for (const auto node : targets(fault)) {
        controllers_.set_broken(node, link, true);
        at_end_of(fault, [this, node, link] { controllers_.set_broken(node, link, false); });
    }
}

void FaultInjector::crash_controllers(const Fault& fault) {
    for (const auto node : targets(fault)) controllers_.crash(node, fault.duration);
    if (fault.times <= 1) return;
    auto next = fault;
    next.times = fault.times - 1;
    next.at = fault.at + fault.interval;
    events_.after(fault.interval, [this, next] { inject(next); });
}

void FaultInjector::freeze_controllers(const Fault& fault) {
    for (const auto node : targets(fault)) controllers_.freeze(node, fault.duration);
}

void FaultInjector::isolate_controllers(const Fault& fault) {
    break_link(fault, Controllers::Link::store_partitioned);
    break_link(fault, Controllers::Link::peers);
    const auto until = events_.now() + model::to_clock(fault.duration);
    for (const auto node : targets(fault))
        events_.after(probe_delay, [this, node, until] { probe_readiness(node, until); });
}

void FaultInjector::probe_readiness(std::size_t node, TimePoint until) {
    if (events_.now() + probe_interval > until) return;
    net::Request request;
    request.target = "/ready";
    controllers_.send_request(node, "", std::move(request), probe_timeout,
                              [this](unsigned http_status, const std::string&) {
                                  result_.asked_alone += http_status != 0;
                                  result_.ready_alone += http_status == 200;
                              });
    events_.after(probe_interval, [this, node, until] { probe_readiness(node, until); });
}

void FaultInjector::cut_workers(const Fault& fault) { break_link(fault, Controllers::Link::workers); }

void FaultInjector::cut_peers(const Fault& fault) { break_link(fault, Controllers::Link::peers); }

void FaultInjector::cut_zone(const Fault& fault) {
    controllers_.set_zone_cut(fault.zone, true);
    at_end_of(fault, [this, zone = fault.zone] { controllers_.set_zone_cut(zone, false); });
}

void FaultInjector::delay_messages(const Fault& fault) {
    controllers_.set_delayed_messages(fault.share, std::max(shortest_longest_delay, fault.amount));
    at_end_of(fault, [this] { controllers_.set_delayed_messages_off(); });
}

void FaultInjector::begin_cloud_outage(const Fault& fault) {
    fleet_.down = true;
    at_end_of(fault, [this] { fleet_.down = false; });
}

// --- machines and their workers ---

void FaultInjector::kill_machines(const Fault& fault) { fleet_.die(fault.share); }

void FaultInjector::hang_machines(const Fault& fault) { fleet_.hang(fault.share, fault.duration); }

void FaultInjector::cut_machines(const Fault& fault) { fleet_.cut(fault.share, fault.duration); }

void FaultInjector::lose_answers(const Fault& fault) { fleet_.lose_answers(fault.share, fault.duration); }

void FaultInjector::lose_heartbeats(const Fault& fault) { fleet_.lose_heartbeats(fault.share, fault.duration); }

void FaultInjector::repeat_heartbeats(const Fault& fault) {
    fleet_.repeated_heartbeats = fault.share;
    at_end_of(fault, [this] { fleet_.repeated_heartbeats = 0; });
}

// --- users ---

void FaultInjector::begin_burst(const Fault& fault) {
    users_.set_arrival_factor(std::max(1.0, fault.share));
    at_end_of(fault, [this] { users_.set_arrival_factor(1); });
}

void FaultInjector::cancel_running(const Fault& fault) {
    users_.cancel_running_jobs(static_cast<std::size_t>(fault.share), fault.amount);
}

void FaultInjector::cancel_at_completion(const Fault& fault) {
    odd_requests_.set_cancelled_at_completion(fault.share);
    at_end_of(fault, [this] { odd_requests_.set_cancelled_at_completion(0); });
}

void FaultInjector::send_odd_requests(const Fault& fault) {
    odd_requests_.send_until(events_.now() + model::to_clock(fault.duration));
}

}  // namespace flintdale::simulator
