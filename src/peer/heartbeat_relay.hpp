// Passes workers' reports on to the leader and its answers back, at a controller that does not lead. It decides
// nothing: what a worker is answered, the leader has decided on this very report. docs/design.md, Relays, says why no
// rule breaks.
//
// A report waits for its answer for less than a worker does. It is sent again to whoever leads next in that time; an
// answer counts only if it comes from the leader, incarnation and term that are followed now.
#pragma once
#include <deque>
#include <optional>
#include <unordered_map>

#include "config/settings.hpp"
#include "model/command.hpp"
#include "model/heartbeat.hpp"
#include "peer/relay_outbox.hpp"

namespace flintdale::peer {

using net::awaitable;

struct Leader {
    std::string member;
    std::uint64_t incarnation = 0, term = 0;
    bool operator==(const Leader&) const = default;
};

struct LeaderResponse {
    std::uint64_t fencing_token = 0;
    std::vector<model::Command> commands;
};

class HeartbeatRelay {
  public:
    using Send = std::function<bool(const std::string& member, const RelayMessage&)>;
    HeartbeatRelay(net::Executor ex, const config::Settings& settings, std::uint64_t incarnation, Send send);

    // Who leads, as heard from it just now; nothing: nobody that reports can be passed on to.
    void follow(const std::optional<Leader>& leader);
    // The link to that controller has broken: what was under way may be lost.
    void link_lost(const std::string& member);
    // From the leader. `newest_term`: the highest that this controller has heard of; older answers are dropped.
    void answered(const RelayMessage& message, std::uint64_t newest_term);

    // The leader's answer; nothing if it refuses, or none comes in time, or too many wait.
    awaitable<std::optional<LeaderResponse>> relay(model::Heartbeat report);
    std::size_t waiting() const { return waiting_.size(); }

  private:
    struct Waiting {
        Waiting(net::Executor ex, model::Heartbeat r) : report(std::move(r)), timer(ex) {}
        model::Heartbeat report;
        net::Timer timer;
        bool sent = false, over = false;
        std::uint64_t full = 0;  // the number of the report in full that it was sent as
        std::optional<LeaderResponse> answer;
    };
    // What the leader holds of a worker: the last report that was answered under that handle.
    struct Held {
        std::uint32_t handle = 0;
        std::uint64_t full = 0;  // the number with which that report was sent
        std::optional<model::Heartbeat> report;
    };
    void send(std::uint64_t number, Waiting& waiting);
    void send_waiting();
    void not_sent(const RelayMessage& message);
    void end(Waiting& waiting);
    Held& held(const std::string& machine);
    void forget_sent();

    net::Executor ex_;
    const config::Settings& settings_;
    std::uint64_t incarnation_;
    Send send_;
    std::optional<Leader> leader_;
    std::shared_ptr<RelayOutbox> outbox_;
    std::unordered_map<std::uint64_t, std::shared_ptr<Waiting>> waiting_;  // by number
    std::unordered_map<std::string, Held> held_;
    std::uint64_t numbers_ = 0;
    std::uint32_t handles_ = 0;
};

}  // namespace flintdale::peer
