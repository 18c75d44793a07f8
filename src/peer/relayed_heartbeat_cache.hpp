// The leader's cache of relayed heartbeats. With it a relay sends an unchanged heartbeat in a few bytes.
#pragma once
#include <map>
#include <unordered_map>

#include "model/heartbeat.hpp"
#include "peer/relay_message.hpp"

namespace flintdale::peer {

class RelayedHeartbeatCache {
  public:
    // Stores a full heartbeat, which this incarnation of the member may repeat from now on. A heartbeat that is older
    // than the stored one of its handle is ignored.
    void keep(const std::string& member, std::uint64_t incarnation, const RelayedHeartbeat& heartbeat) {
        auto& relay = relay_of(member, incarnation);
        if (relay.heartbeats.size() >= max_heartbeats_per_relay) relay.heartbeats.clear();
        auto& entry = relay.heartbeats[heartbeat.handle];
        if (entry.number < heartbeat.number) entry = {heartbeat.number, heartbeat.report};
    }

    // The cached heartbeat with the new sequence number; null if it is not in the cache and has to be sent in full. The
    // pointer is valid until the next call.
    const model::Heartbeat* repeated(const std::string& member, std::uint64_t incarnation,
                                     const RepeatedHeartbeat& heartbeat) {
        auto& relay = relay_of(member, incarnation);
        const auto it = relay.heartbeats.find(heartbeat.handle);
        if (it == relay.heartbeats.end() || it->second.number != heartbeat.original) return nullptr;
        it->second.heartbeat.sequence = heartbeat.sequence;
        return &it->second.heartbeat;
    }

    void clear() { relays_.clear(); }

  private:
    static constexpr std::size_t max_heartbeats_per_relay = 50'000;

    struct Entry {
        std::uint64_t number = 0;  // number under which the heartbeat was sent in full
        model::Heartbeat heartbeat;
    };
    struct Relay {
        std::uint64_t incarnation = 0;
        std::unordered_map<std::uint32_t, Entry> heartbeats;  // by handle
    };
    Relay& relay_of(const std::string& member, std::uint64_t incarnation) {
        auto& relay = relays_[member];
        if (relay.incarnation != incarnation) relay = {incarnation, {}};
        return relay;
    }

    std::map<std::string, Relay> relays_;  // by member
};

}  // namespace flintdale::peer
