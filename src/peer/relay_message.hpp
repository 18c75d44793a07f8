// What a controller that relays workers' reports and the leader tell each other.
#pragma once
#include <string>
#include <vector>

#include "wire/types.hpp"

namespace flintdale::peer {

struct RelayedReport {
    std::uint64_t number = 0;  // of the sender's incarnation; the answer bears it
    std::uint32_t handle = 0;  // under which this report may be repeated
    wire::WorkerReport report;
};

// The worker reports the same as under that handle, but for its tick.
struct RepeatedReport {
    std::uint64_t number = 0;
    std::uint32_t handle = 0;
    std::uint64_t tick = 0;
    std::uint64_t full = 0;  // the number of the report that is meant
};

enum class RelayOutcome : std::uint8_t {
    answered,
    refused,         // not entitled to answer, or the report is older than what is known
    unknown_handle,  // the report has to be sent in full
};

struct RelayedAnswer {
    std::uint64_t number = 0;
    RelayOutcome outcome = RelayOutcome::refused;
    std::uint64_t token = 0;
    std::vector<wire::Order> orders;
};

struct RelayMessage {
    std::string member;             // who sends
    std::uint64_t incarnation = 0;  // of the sender
    std::uint64_t to = 0;           // incarnation of the receiver that is meant
    std::vector<RelayedReport> reports;
    std::vector<RepeatedReport> repeated;
    std::vector<RelayedAnswer> answers;
    bool empty() const { return reports.empty() && repeated.empty() && answers.empty(); }
};

std::string encode(const RelayMessage& message);
RelayMessage decode_relay(const std::string& bytes);  // throws std::runtime_error on nonsense

}  // namespace flintdale::peer
