// The latest status of each other controller. A status message replaces the one before it. A peer without a recent
// message is treated as unreachable; no other conclusion is drawn from a missing message.
#pragma once
#include <algorithm>
#include <string>
#include <unordered_map>

#include "model/clock.hpp"
#include "peer/peer_connections.hpp"

namespace flintdale::app {

struct PeerStatus {
    model::TimePoint received_at{};
    bool reaches_store = false;
    bool leading = false;
    bool relays = false;            // takes part in relaying heartbeats
    bool has_read_records = false;  // since it was started
    double writes = 0;              // its demand for writes to the state service, per second
    double redirects = 0;  // heartbeats that it redirected to the leader in the last seconds, older ones weighted less
    std::uint64_t incarnation = 0;
    std::uint64_t term = 0;
};

class PeerTable {
  public:
    using TimePoint = model::TimePoint;

    void update(const peer::StatusMessage& message, TimePoint now);
    // The peer was restarted: discards the status of its earlier process.
    void forget(const std::string& member) { peers_.erase(member); }

    // Null if the peer has sent no status.
    const PeerStatus* find(const std::string& member) const;
    // Null also if the peer's last status is not recent.
    const PeerStatus* find_recent(const std::string& member, TimePoint now) const;

    // Whether condition(member, status) holds for any peer with a recent status.
    template <typename Condition>
    bool any_recent(TimePoint now, Condition condition) const {
        return std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
            return recent(entry.second, now) && condition(entry.first, entry.second);
        });
    }
    bool has_recent_peer(TimePoint now) const;
    bool any_reaches_store(TimePoint now) const;
    bool any_leading(TimePoint now) const;
    // Heartbeats that peers which reach the state service have redirected to the leader in the last seconds.
    double recent_redirects(TimePoint now) const;

  private:
    static bool recent(const PeerStatus& peer, TimePoint now);

    std::unordered_map<std::string, PeerStatus> peers_;
};

}  // namespace flintdale::app
