// Forwards workers' heartbeats to the leader and its responses back, at a controller that does not lead. It decides
// nothing: the leader has decided on a worker's response on this very heartbeat. docs/design.md, Relays, says why no
// rule breaks.
//
// A heartbeat waits for its response for a shorter time than its worker does. In that time it is sent again to whoever
// leads next. A response counts only if it is from the leader, incarnation and term that are followed now.
#pragma once
#include <optional>
#include <unordered_map>

#include "config/settings.hpp"
#include "model/command.hpp"
#include "model/heartbeat.hpp"
#include "peer/relay_outbox.hpp"

namespace flintdale::peer {

using net::awaitable;

// The controller that leads, as its own status messages say.
struct Leader {
    std::string member;
    std::uint64_t incarnation = 0, term = 0;
    bool operator==(const Leader&) const = default;
};

// What the leader responds to a heartbeat.
struct LeaderResponse {
    std::uint64_t fencing_token = 0;
    std::vector<model::Command> commands;
};

class HeartbeatRelay {
  public:
    // Sends a message to a member; false if it cannot be sent now.
    using Send = std::function<bool(const std::string& member, const RelayMessage&)>;

    // `incarnation`: of this controller. `settings` must outlive the object.
    HeartbeatRelay(net::Executor ex, const config::Settings& settings, std::uint64_t incarnation, Send send);

    // Who leads now; nothing if there is no leader that heartbeats can be relayed to. Sends again what could not be
    // sent before.
    void set_leader(const std::optional<Leader>& leader);

    // The connection to that controller has broken: what was sent and not answered may be lost.
    void link_lost(const std::string& member);

    // Responses have arrived. `newest_term`: the highest that this controller knows; responses of older terms are not
    // passed on.
    void answered(const RelayMessage& message, std::uint64_t newest_term);

    // The leader's response; nothing if it refuses, or does not respond in time, or too many heartbeats wait.
    awaitable<std::optional<LeaderResponse>> relay(model::Heartbeat heartbeat);

    // The number of heartbeats that wait for their responses.
    std::size_t waiting() const { return pending_.size(); }

  private:
    struct PendingHeartbeat {
        PendingHeartbeat(net::Executor ex, model::Heartbeat h) : heartbeat(std::move(h)), timer(ex) {}
        model::Heartbeat heartbeat;
        net::Timer timer;
        bool sent = false;  // to the present leader
        bool finished = false;
        std::uint64_t original = 0;  // number of the heartbeat in full that it was sent as, or that it repeats
        std::optional<LeaderResponse> response;
    };
    // What the leader's cache has of a worker: the last heartbeat that it answered under that handle.
    struct CachedByLeader {
        std::uint32_t handle = 0;
        std::uint64_t original = 0;                 // the number with which that heartbeat was sent in full
        std::optional<model::Heartbeat> heartbeat;  // nothing if it is not certain
    };
    void send(std::uint64_t number, PendingHeartbeat& pending);
    void send_unsent();
    void send_failed(const RelayMessage& message);
    void answer_received(const RelayedResponse& answer, std::uint64_t newest_term);
    static void finish(PendingHeartbeat& pending);
    CachedByLeader& cached_by_leader(const std::string& machine);
    // All that is pending has to be sent again, and in full.
    void forget_sent();

    net::Executor ex_;
    const config::Settings& settings_;
    std::uint64_t incarnation_;
    Send send_;
    std::optional<Leader> leader_;
    std::shared_ptr<RelayOutbox> outbox_;
    std::unordered_map<std::uint64_t, std::shared_ptr<PendingHeartbeat>> pending_;  // by number
    std::unordered_map<std::string, CachedByLeader> cached_by_leader_;              // by machine
    std::uint64_t last_number_ = 0;
    std::uint32_t last_handle_ = 0;
};

}  // namespace flintdale::peer
