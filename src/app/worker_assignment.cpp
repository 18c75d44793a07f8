#include "app/worker_assignment.hpp"

#include <algorithm>
#include <utility>

namespace flintdale::app {

using namespace std::chrono_literals;
using model::Seconds;
using model::TimePoint;

namespace {

// Share of the sockets for workers. The rest is for users, and for workers that arrive at once when a controller ends.
constexpr double worker_socket_share = 0.75;
// Sockets for the controller's own connections: this part of the limit, and at most max_own_sockets.
constexpr std::size_t own_sockets_divisor = 4;
constexpr std::size_t max_own_sockets = 64;
// Seconds of one core for a heartbeat and its answer over HTTP (docs/CAPACITY.md).
constexpr double direct_heartbeat_seconds = 60e-6, relayed_heartbeat_seconds = 70e-6;
// Share of the processor time that a leader, or a follower, may spend on heartbeats.
constexpr double leader_cpu_share = 0.5, follower_cpu_share = 0.8;
constexpr double intervals_per_period = 2.5;  // heartbeat intervals in a period in which workers are counted
constexpr auto peer_timeout = 3s;
constexpr auto fleet_size_lifetime = 60s;
// A worker that returns within this time after a redirect to the leader cannot reach the leader.
constexpr auto return_window = 20s;
constexpr double overload_factor = 1.1;  // times the capacity: above it, workers that are served here are redirected
constexpr double shed_share = 0.01;      // of the capacity: at most so many workers are redirected per second
constexpr std::size_t max_redirected_remembered = 100'000;

}  // namespace

WorkerAssignment::WorkerAssignment(const config::Settings& settings, const config::OperatorSettings& operator_settings)
    : settings_(settings), operator_settings_(operator_settings) {
    for (const auto& peer : settings.peers) peers_[peer.member].zone = peer.zone;
}

std::uint32_t WorkerAssignment::Peer::room() const {
    const auto taken = load.workers + redirected;
    return load.capacity > taken ? load.capacity - taken : 0;
}

std::uint32_t WorkerAssignment::capacity(bool leading) const {
    const auto own_sockets = std::min(settings_.max_sockets / own_sockets_divisor, max_own_sockets);
    double workers = static_cast<double>(settings_.max_sockets - own_sockets) * worker_socket_share;
    if (settings_.cpu_share > 0) {
        const double heartbeats_per_second =
            settings_.cpu_share *
            (leading ? leader_cpu_share / direct_heartbeat_seconds : follower_cpu_share / relayed_heartbeat_seconds);
        workers = std::min(workers, heartbeats_per_second * settings_.heartbeat_interval.count());
    }
    if (leading) workers *= operator_settings_.direct_share;
    return static_cast<std::uint32_t>(workers);
}

void WorkerAssignment::peer_load_received(const std::string& member, const Load& load, TimePoint now) {
    auto& peer = peers_[member];
    peer.load = load;
    peer.redirected = 0;
    peer.received_at = now;
    if (!load.leading || load.fleet == 0) return;
    // A new leader may not know all machines yet, so a lower number counts only when the known one is old.
    if (load.fleet >= fleet_ || now - fleet_received_at_ > fleet_size_lifetime) {
        fleet_ = load.fleet;
        fleet_received_at_ = now;
    }
}

bool WorkerAssignment::serves(const std::string& machine) const {
    const auto it = served_.find(machine);
    return it != served_.end() && it->second + 1 >= period_;
}

void WorkerAssignment::begin_period_if_due(TimePoint now) {
    if (now - period_began_ < model::to_clock(settings_.heartbeat_interval * intervals_per_period)) return;
    ++period_;
    period_began_ = now;
    workers_last_period_ = std::exchange(workers_this_period_, 0);
    new_workers_ = 0;
    if (served_.size() > std::size_t{2} * workers_last_period_ + settings_.max_sockets)
        std::erase_if(served_, [this](const auto& entry) { return entry.second + 1 < period_; });
}

std::uint32_t WorkerAssignment::workers(TimePoint now) {
    begin_period_if_due(now);
    return workers_last_period_ + new_workers_;
}

void WorkerAssignment::note_served(const std::string& machine) {
    auto& period = served_[machine];
    if (period == period_) return;
    if (period + 1 != period_) ++new_workers_;
    period = period_;
    ++workers_this_period_;
}

// Workers are redirected slowly, because each of them opens a new connection.
bool WorkerAssignment::may_shed(std::uint32_t workers, std::uint32_t capacity, TimePoint now) {
    if (workers <= capacity * overload_factor) return false;
    const Seconds interval(1 / std::max(1.0, capacity * shed_share));
    if (now - last_shed_ < model::to_clock(interval)) return false;
    last_shed_ = now;
    return true;
}

std::optional<std::string> WorkerAssignment::redirect_to(Peer& peer, const std::string& member) {
    ++peer.redirected;
    return member;
}

std::optional<std::string> WorkerAssignment::redirect_to_most_room(const std::string& zone, const std::string& except,
                                                                   TimePoint now) {
    struct Rating {
        bool same_zone = false;
        std::uint32_t room = 0;
        auto operator<=>(const Rating&) const = default;
    };
    Rating best;
    auto found = peers_.end();
    for (auto it = peers_.begin(); it != peers_.end(); ++it) {
        const auto& peer = it->second;
        const bool recent = now - peer.received_at < peer_timeout;
        if (it->first == except || !peer.load.relays || !recent || peer.room() == 0) continue;
        const Rating rating{peer.zone == zone, peer.room()};
        if (found != peers_.end() && rating <= best) continue;
        best = rating;
        found = it;
    }
    if (found == peers_.end()) return std::nullopt;
    return redirect_to(found->second, found->first);
}

std::optional<std::string> WorkerAssignment::redirect_at_leader(const std::string& machine, const std::string& zone,
                                                                TimePoint now) {
    const auto here = workers(now);
    const auto limit = capacity(true);
    const bool redirects = serves(machine) ? may_shed(here, limit, now) : here >= limit;
    if (redirects)
        if (auto other = redirect_to_most_room(zone, settings_.member, now)) return other;
    note_served(machine);
    return std::nullopt;
}

bool WorkerAssignment::has_room_for_all(const Peer& leader) const {
    return fleet_ > 0 && fleet_ <= leader.load.capacity;
}

// The room that the leader last reported is divided among all controllers that may redirect workers to it until its
// next report.
bool WorkerAssignment::has_room(const Peer& leader) const {
    if (has_room_for_all(leader)) return true;
    const auto others = std::max<std::size_t>(1, settings_.peers.size());
    const auto own_part = (leader.room() + leader.redirected + others - 1) / others;
    return leader.room() > 0 && leader.redirected < own_part;
}

bool WorkerAssignment::returned_from_leader(const std::string& machine, TimePoint now) const {
    const auto it = redirected_to_leader_.find(machine);
    return it != redirected_to_leader_.end() && now - it->second < return_window;
}

std::optional<std::string> WorkerAssignment::redirect_at_follower(const std::string& machine, const std::string& zone,
                                                                  const std::string& leader, TimePoint now) {
    const auto here = workers(now);
    const auto limit = capacity(false);
    if (serves(machine)) {
        if (may_shed(here, limit, now))
            if (auto other = redirect_to_most_room(zone, settings_.member, now)) return other;
        note_served(machine);
        return std::nullopt;
    }
    auto& leading_peer = peers_[leader];
    if (has_room(leading_peer) && (has_room_for_all(leading_peer) || !returned_from_leader(machine, now))) {
        if (redirected_to_leader_.size() > max_redirected_remembered) redirected_to_leader_.clear();
        redirected_to_leader_[machine] = now;
        return redirect_to(leading_peer, leader);
    }
    if (here >= limit)
        if (auto other = redirect_to_most_room(zone, leader, now)) return other;
    note_served(machine);
    return std::nullopt;
}

}  // namespace flintdale::app
