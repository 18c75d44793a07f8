#include "app/worker_assignment.hpp"

#include <algorithm>
#include <utility>

namespace flintdale::app {

using namespace std::chrono_literals;
using model::Seconds;
using model::TimePoint;

namespace {
// Of the sockets; the rest are for users, and for workers that come at once when a controller ends.
constexpr double sockets_for_workers = 0.75;
constexpr std::size_t own_sockets = 64;
// Of a core, for one report and its answer over HTTP, as measured (docs/CAPACITY.md).
constexpr double direct_report_s = 60e-6, relayed_report_s = 70e-6;
// Of the processor time, that a leader and others spend on workers' reports.
constexpr double leader_time = 0.5, follower_time = 0.8;
constexpr double served_reports = 2.5;  // report intervals of a period
constexpr auto heard_within = 3s;
constexpr auto fleet_remembered = 60s;
// A worker that is back so soon after it was sent to the leader does not reach it.
constexpr auto back_within = 20s;
constexpr double overload = 1.1;          // times the capacity at which workers that are served are sent away
constexpr double sent_away_share = 0.01;  // of the capacity, a second
constexpr std::size_t most_remembered = 100'000;
}  // namespace

WorkerAssignment::WorkerAssignment(const config::Settings& settings, const config::OperatorSettings& operator_settings)
    : settings_(settings), operator_settings_(operator_settings) {
    for (const auto& peer : settings.peers) peers_[peer.member].zone = peer.zone;
}

std::uint32_t WorkerAssignment::Peer::room() const {
    const auto taken = load.workers + sent;
    return load.capacity > taken ? load.capacity - taken : 0;
}

std::uint32_t WorkerAssignment::capacity(bool leading) const {
    const auto sockets = static_cast<double>(settings_.max_sockets - std::min(settings_.max_sockets / 4, own_sockets));
    double out = sockets * sockets_for_workers;
    if (settings_.cpu_share > 0) {
        const double reports_a_second =
            settings_.cpu_share * (leading ? leader_time / direct_report_s : follower_time / relayed_report_s);
        out = std::min(out, reports_a_second * settings_.heartbeat_interval.count());
    }
    if (leading) out *= operator_settings_.direct_share;
    return static_cast<std::uint32_t>(out);
}

void WorkerAssignment::peer_load_received(const std::string& member, const Load& load, TimePoint now) {
    auto& peer = peers_[member];
    peer.load = load;
    peer.sent = 0;
    peer.heard = now;
    if (!load.leading || load.fleet == 0) return;
    // A leader that has just come may not know of all yet.
    if (load.fleet >= fleet_ || now - fleet_told_ > fleet_remembered) {
        fleet_ = load.fleet;
        fleet_told_ = now;
    }
}

bool WorkerAssignment::serves(const std::string& machine) const {
    const auto it = served_.find(machine);
    return it != served_.end() && it->second + 1 >= period_;
}

void WorkerAssignment::rotate(TimePoint now) {
    if (now - period_since_ < model::to_clock(settings_.heartbeat_interval * served_reports)) return;
    ++period_;
    period_since_ = now;
    last_period_ = std::exchange(this_period_, 0);
    newcomers_ = 0;
    if (served_.size() > std::size_t{2} * last_period_ + settings_.max_sockets)
        std::erase_if(served_, [this](const auto& entry) { return entry.second + 1 < period_; });
}

std::uint32_t WorkerAssignment::workers(TimePoint now) {
    rotate(now);
    return last_period_ + newcomers_;
}

void WorkerAssignment::served(const std::string& machine) {
    auto& period = served_[machine];
    if (period == period_) return;
    if (period + 1 != period_) ++newcomers_;
    period = period_;
    ++this_period_;
}

// Slowly, for a worker that is sent away opens a new connection.
bool WorkerAssignment::may_send_away(TimePoint now, std::uint32_t capacity) {
    const Seconds gap(1 / std::max(1.0, capacity * sent_away_share));
    if (now - sent_away_ < model::to_clock(gap)) return false;
    sent_away_ = now;
    return true;
}

std::optional<std::string> WorkerAssignment::send_to(Peer& peer, const std::string& member) {
    ++peer.sent;
    return member;
}

// Of the worker's zone first.
std::optional<std::string> WorkerAssignment::with_most_room(const std::string& zone, const std::string& but,
                                                            TimePoint now) {
    std::pair<bool, std::uint32_t> best{false, 0};
    auto found = peers_.end();
    for (auto it = peers_.begin(); it != peers_.end(); ++it) {
        const auto& peer = it->second;
        if (it->first == but || !peer.load.relays || now - peer.heard >= heard_within || peer.room() == 0) continue;
        const std::pair<bool, std::uint32_t> rating{peer.zone == zone, peer.room()};
        if (found != peers_.end() && rating <= best) continue;
        best = rating;
        found = it;
    }
    if (found == peers_.end()) return std::nullopt;
    return send_to(found->second, found->first);
}

std::optional<std::string> WorkerAssignment::at_leader(const std::string& machine, const std::string& zone,
                                                       TimePoint now) {
    const auto here = workers(now);
    const auto most = capacity(true);
    const bool crowded = serves(machine) ? here > most * overload && may_send_away(now, most) : here >= most;
    if (crowded)
        if (auto other = with_most_room(zone, settings_.member, now)) return other;
    served(machine);
    return std::nullopt;
}

// Whether the leader has room for all workers there are.
bool WorkerAssignment::enough_alone(const Peer& leader) const { return fleet_ > 0 && fleet_ <= leader.load.capacity; }

// What the leader has told, divided among all that may send workers to it before it tells more.
bool WorkerAssignment::leader_has_room(const Peer& leader) const {
    if (enough_alone(leader)) return true;
    const auto others = std::max<std::size_t>(1, settings_.peers.size());
    return leader.room() > 0 && leader.sent < (leader.room() + leader.sent + others - 1) / others;
}

std::optional<std::string> WorkerAssignment::at_follower(const std::string& machine, const std::string& zone,
                                                         const std::string& leader, TimePoint now) {
    const auto here = workers(now);
    const auto most = capacity(false);
    if (serves(machine)) {
        if (here > most * overload && may_send_away(now, most))
            if (auto other = with_most_room(zone, settings_.member, now)) return other;
        served(machine);
        return std::nullopt;
    }
    auto& leading = peers_[leader];
    const auto sent = sent_on_.find(machine);
    const bool back = sent != sent_on_.end() && now - sent->second < back_within;
    if (leader_has_room(leading) && (enough_alone(leading) || !back)) {
        if (sent_on_.size() > most_remembered) sent_on_.clear();
        sent_on_[machine] = now;
        return send_to(leading, leader);
    }
    if (here >= most)
        if (auto other = with_most_room(zone, leader, now)) return other;
    served(machine);
    return std::nullopt;
}

}  // namespace flintdale::app
