// What a controller that relays workers' reports and the leader tell each other.
#pragma once
#include <string>
#include <vector>

#include "model/command.hpp"
#include "model/heartbeat.hpp"

namespace flintdale::peer {

struct RelayedHeartbeat {
    std::uint64_t number = 0;  // of the sender's incarnation; the answer bears it
    std::uint32_t handle = 0;  // under which this report may be repeated
    model::Heartbeat report;
};

// The worker reports the same as under that handle, but for its tick.
struct RepeatedHeartbeat {
    std::uint64_t number = 0;
    std::uint32_t handle = 0;
    std::uint64_t sequence = 0;
    std::uint64_t full = 0;  // the number of the report that is meant
};

enum class RelayOutcome : std::uint8_t {
    answered,
    refused,         // not entitled to answer, or the report is older than what is known
    unknown_handle,  // the report has to be sent in full
};

struct RelayedResponse {
    std::uint64_t number = 0;
    RelayOutcome outcome = RelayOutcome::refused;
    std::uint64_t fencing_token = 0;
    std::vector<model::Command> commands;
};

struct RelayMessage {
    std::string member;             // who sends
    std::uint64_t incarnation = 0;  // of the sender
    std::uint64_t to = 0;           // incarnation of the receiver that is meant
    std::vector<RelayedHeartbeat> reports;
    std::vector<RepeatedHeartbeat> repeated;
    std::vector<RelayedResponse> answers;
    bool empty() const { return reports.empty() && repeated.empty() && answers.empty(); }
};

std::string encode(const RelayMessage& message);
RelayMessage decode_relay(const std::string& bytes);  // throws std::runtime_error on nonsense

}  // namespace flintdale::peer
