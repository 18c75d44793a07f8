// The status message that every controller broadcasts to its peers once a second, and its codec (wire/peer.capnp).
// Correctness does not depend on its delivery: it makes replies to users fresher and failovers faster. Lists that are
// too long for a message are truncated.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "peer/cancellations.hpp"

namespace flintdale::peer {

// Task counts of an open job, for display to users.
struct JobCount {
    std::string uid;
    std::uint32_t done = 0, running = 0;  // tasks
};

struct StatusMessage {
    // The sender.
    std::string member;
    std::uint64_t incarnation = 0;  // differs after each start of the sender; 0: an old version without incarnations
    std::uint64_t connection = 0;   // not on the wire: number of the accepted connection it arrived on

    // Election.
    std::string leader;      // leader of `term` as far as the sender knows; empty: not known
    std::uint64_t term = 0;  // the highest term that the sender knows
    bool leading = false;    // the sender is the leader

    // The store.
    bool store_healthy = false;  // the store responds to the sender
    double writes = 0;           // writes that the sender requested since its last message
    std::uint32_t format = 0;  // record format that every controller reads, as far as the sender knows; 0: not reported

    // The sender's replica of the records: see recovery::RecoveryCoordinator.
    std::uint64_t generation = 0;        // of the replica's history; 0: none, or not reported
    std::string history;                 // id of the history
    std::uint64_t replica_revision = 0;  // newest revision in the replica; 0: not certain
    std::uint64_t rebuilding = 0;        // generation that is being rebuilt, as far as the sender knows; 0: none

    // Relays of heartbeats: see app::WorkerAssignment.
    bool relays = false;          // the sender relays heartbeats, and responds to heartbeats relayed to it
    std::uint32_t workers = 0;    // workers that report to the sender
    std::uint32_t capacity = 0;   // number of workers that may report to the sender
    std::uint32_t fleet = 0;      // from the leader: number of machines it knows; 0: none yet
    std::uint32_t redirects = 0;  // heartbeats that the sender redirected to the leader since its last message

    std::vector<JobCount> counts;  // from the leader: jobs whose counts have changed
    CancellationReport cancellations;
};

std::string encode(const StatusMessage& status);

// Throws std::runtime_error if the bytes are not a valid message.
StatusMessage decode_status(const std::string& bytes);

}  // namespace flintdale::peer
