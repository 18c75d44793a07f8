// The messages between a follower that relays workers' heartbeats and the leader, and their codec (wire/relay.capnp).
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "model/command.hpp"
#include "model/heartbeat.hpp"

namespace flintdale::peer {

// A heartbeat in full.
struct RelayedHeartbeat {
    std::uint64_t number = 0;  // unique within the sender's incarnation; the response has the same number
    std::uint32_t handle = 0;  // identifies the machine's cache entry when this heartbeat is repeated
    model::Heartbeat report;
};

// A heartbeat that differs from an earlier one under the same handle only in its sequence number.
struct RepeatedHeartbeat {
    std::uint64_t number = 0;
    std::uint32_t handle = 0;
    std::uint64_t sequence = 0;
    std::uint64_t original = 0;  // number of the full heartbeat that is repeated
};

enum class RelayOutcome : std::uint8_t {
    answered,
    refused,         // the receiver may not respond, or it knows a newer heartbeat
    unknown_handle,  // the heartbeat has to be sent in full
};

struct RelayedResponse {
    std::uint64_t number = 0;  // of the heartbeat
    RelayOutcome outcome = RelayOutcome::refused;
    std::uint64_t fencing_token = 0;
    std::vector<model::Command> commands;
};

struct RelayMessage {
    std::string member;                      // the sender
    std::uint64_t incarnation = 0;           // of the sender
    std::uint64_t receiver_incarnation = 0;  // any other incarnation of the receiver must ignore the message
    std::vector<RelayedHeartbeat> reports;
    std::vector<RepeatedHeartbeat> repeated;
    std::vector<RelayedResponse> answers;
    bool empty() const { return reports.empty() && repeated.empty() && answers.empty(); }
};

std::string encode(const RelayMessage& message);

// Throws std::runtime_error if the bytes are not a valid message.
RelayMessage decode_relay(const std::string& bytes);

}  // namespace flintdale::peer
