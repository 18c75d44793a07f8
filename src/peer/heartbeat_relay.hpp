// Forwards workers' heartbeats from a follower to the leader, and the leader's responses back. The relay decides
// nothing: each response is the leader's response to the same heartbeat (see docs/design.md, Relays).
//
// A heartbeat waits for its response for a shorter time than its worker does. If the leader changes in that time, the
// heartbeat is sent to the new leader. Responses from any other leader, incarnation or older term are ignored.
#pragma once
#include <optional>
#include <unordered_map>

#include "config/settings.hpp"
#include "model/command.hpp"
#include "model/heartbeat.hpp"
#include "peer/relay_outbox.hpp"

namespace flintdale::peer {

using net::awaitable;

// The leader, as reported by its own status messages.
struct Leader {
    std::string member;
    std::uint64_t incarnation = 0, term = 0;
    bool operator==(const Leader&) const = default;
};

// The leader's response to a heartbeat.
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

    // Sets the current leader; nullopt if there is none that accepts relayed heartbeats. Also sends heartbeats that
    // could not be sent before.
    void set_leader(const std::optional<Leader>& leader);

    // The connection to this controller has broken: heartbeats without a response may be lost and are sent again.
    void link_lost(const std::string& member);

    // Handles responses from the leader. `newest_term`: the highest term that this controller knows; responses of older
    // terms are not forwarded.
    void answered(const RelayMessage& message, std::uint64_t newest_term);

    // Relays a heartbeat and returns the leader's response; nullopt if the leader refuses or does not respond in time,
    // or if too many heartbeats are waiting.
    awaitable<std::optional<LeaderResponse>> relay(model::Heartbeat heartbeat);

    // The number of heartbeats that wait for their responses.
    std::size_t waiting() const { return pending_.size(); }

  private:
    struct PendingHeartbeat {
        PendingHeartbeat(net::Executor ex, model::Heartbeat h) : heartbeat(std::move(h)), timer(ex) {}
        model::Heartbeat heartbeat;
        net::Timer timer;
        bool sent = false;  // to the current leader
        bool finished = false;
        std::uint64_t original = 0;  // number of the full heartbeat that it was sent as, or that it repeats
        std::optional<LeaderResponse> response;
    };
    // The leader's cache entry for a worker: the last heartbeat under this handle that the leader responded to.
    struct CachedByLeader {
        std::uint32_t handle = 0;
        std::uint64_t original = 0;                 // the number with which that heartbeat was sent in full
        std::optional<model::Heartbeat> heartbeat;  // nullopt if the content of the leader's cache is uncertain
    };
    void send(std::uint64_t number, PendingHeartbeat& pending);
    void send_unsent();
    void send_failed(const RelayMessage& message);
    void answer_received(const RelayedResponse& answer, std::uint64_t newest_term);
    static void finish(PendingHeartbeat& pending);
    CachedByLeader& cached_by_leader(const std::string& machine);
    // Marks all pending heartbeats to be sent again in full.
    void reset_sent_state();

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
