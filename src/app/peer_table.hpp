// What the other controllers last said of themselves. Each status message replaces the one before it; a peer without a
// recent message is treated as unreachable, and nothing else is concluded from its silence.
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
    bool relays = false;         // takes part in relaying heartbeats
    bool knows_records = false;  // has read the records since it was started
    double writes = 0;           // its demand for writes to the state service, a second
    double redirects = 0;        // heartbeats that it sent to the leader in the last seconds, older ones counting less
    std::uint64_t incarnation = 0;
    std::uint64_t term = 0;
};

class PeerTable {
  public:
    using TimePoint = model::TimePoint;

    void update(const peer::StatusMessage& message, TimePoint now);
    // The peer was started anew: what the process before it said no longer counts.
    void forget(const std::string& member) { peers_.erase(member); }

    // Null if the peer has said nothing.
    const PeerStatus* find(const std::string& member) const;
    // The same, and null also if it has said nothing for a while.
    const PeerStatus* find_recent(const std::string& member, TimePoint now) const;

    // Whether the condition, of (member, status), holds for any peer that was heard recently.
    template <typename Condition>
    bool any_recent(TimePoint now, Condition condition) const {
        return std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
            return recent(entry.second, now) && condition(entry.first, entry.second);
        });
    }
    bool hears_any(TimePoint now) const;
    bool any_reaches_store(TimePoint now) const;
    bool any_leading(TimePoint now) const;
    // Heartbeats that peers which reach the state service have lately sent to the leader.
    double recent_redirects(TimePoint now) const;

  private:
    static bool recent(const PeerStatus& peer, TimePoint now);

    std::unordered_map<std::string, PeerStatus> peers_;
};

}  // namespace flintdale::app
