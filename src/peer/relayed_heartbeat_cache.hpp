// What the leader keeps of relayed reports, so that one which says nothing new costs a few bytes.
#pragma once
#include <map>
#include <unordered_map>

#include "model/heartbeat.hpp"
#include "peer/relay_message.hpp"

namespace flintdale::peer {

class RelayedHeartbeatCache {
  public:
    // The report may be repeated by that incarnation of the member from now on. One that came after a newer one under
    // its handle is not kept.
    void keep(const std::string& member, std::uint64_t incarnation, const RelayedHeartbeat& report) {
        auto& relay = relay_of(member, incarnation);
        if (relay.reports.size() >= most_of_a_relay) relay.reports.clear();
        auto& kept = relay.reports[report.handle];
        if (kept.full < report.number) kept = {report.number, report.report};
    }
    // The same report with a newer tick; null if the one that is meant is not known, so that it has to be sent in full.
    const model::Heartbeat* repeated(const std::string& member, std::uint64_t incarnation,
                                     const RepeatedHeartbeat& report) {
        auto& relay = relay_of(member, incarnation);
        const auto it = relay.reports.find(report.handle);
        if (it == relay.reports.end() || it->second.full != report.full) return nullptr;
        it->second.report.sequence = report.sequence;
        return &it->second.report;
    }
    void clear() { relays_.clear(); }

  private:
    static constexpr std::size_t most_of_a_relay = 50'000;
    struct Kept {
        std::uint64_t full = 0;  // the number with which it came
        model::Heartbeat report;
    };
    struct Relay {
        std::uint64_t incarnation = 0;
        std::unordered_map<std::uint32_t, Kept> reports;  // by handle
    };
    Relay& relay_of(const std::string& member, std::uint64_t incarnation) {
        auto& relay = relays_[member];
        if (relay.incarnation != incarnation) relay = {incarnation, {}};
        return relay;
    }
    std::map<std::string, Relay> relays_;
};

}  // namespace flintdale::peer
