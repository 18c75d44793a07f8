// The leader's cache of relayed heartbeats, so that one which says nothing new costs a few bytes on the wire.
#pragma once
#include <map>
#include <unordered_map>

#include "model/heartbeat.hpp"
#include "peer/relay_message.hpp"

namespace flintdale::peer {

class RelayedHeartbeatCache {
  public:
    // From now on that incarnation of the member may repeat the heartbeat. One that arrives after a newer one under its
    // handle is not kept.
    void keep(const std::string& member, std::uint64_t incarnation, const RelayedHeartbeat& heartbeat) {
        auto& relay = relay_of(member, incarnation);
        if (relay.heartbeats.size() >= max_heartbeats_per_relay) relay.heartbeats.clear();
        auto& entry = relay.heartbeats[heartbeat.handle];
        if (entry.number < heartbeat.number) entry = {heartbeat.number, heartbeat.report};
    }

    // The heartbeat that is repeated, with the new sequence number; null if it is not in the cache, so that it has to
    // be sent in full. Valid until the next call.
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
        std::uint64_t number = 0;  // with which the heartbeat arrived in full
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
