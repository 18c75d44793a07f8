// The status message that every controller broadcasts to its peers once a second, and its codec (wire/peer.capnp). No
// rule needs such a message to arrive: it makes answers to users fresher and failovers quicker. Lists that are longer
// than a message takes are cut.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "peer/cancellations.hpp"

namespace flintdale::peer {

// What users may see of an open job.
struct JobCount {
    std::string uid;
    std::uint32_t done = 0, running = 0;  // tasks
};

struct StatusMessage {
    // The sender.
    std::string member;
    std::uint64_t incarnation = 0;  // another one each time the sender is started; 0: an old version that has none
    std::uint64_t connection = 0;   // not on the wire: number of the accepted connection that the message came on

    // Election.
    std::string leader;      // who leads `term` to the sender's knowledge; empty: not known
    std::uint64_t term = 0;  // the highest that the sender knows
    bool leading = false;    // the sender leads

    // The store.
    bool store_healthy = false;  // it answers the sender
    double writes = 0;           // that the sender requested since its last message
    std::uint32_t format = 0;    // the record format that the sender knows every controller to read; 0: not told

    // The sender's replica of the records: see recovery::RecoveryCoordinator.
    std::uint64_t generation = 0;        // of the history that it is of; 0: none, or not told
    std::string history;                 // id of that history
    std::uint64_t replica_revision = 0;  // up to which it reaches; 0: not certain
    std::uint64_t rebuilding = 0;        // the generation that the sender sees being rebuilt; 0: none

    // Relays of heartbeats: see app::WorkerAssignment.
    bool relays = false;          // the sender relays heartbeats, and answers those that are relayed to it
    std::uint32_t workers = 0;    // that report to the sender
    std::uint32_t capacity = 0;   // the number of workers that may
    std::uint32_t fleet = 0;      // from the leader: machines that it knows of; 0: none yet
    std::uint32_t redirects = 0;  // heartbeats that the sender redirected to the leader since its last message

    std::vector<JobCount> counts;  // from the leader: jobs whose counts have changed
    CancellationReport cancellations;
};

std::string encode(const StatusMessage& status);

// Throws std::runtime_error if the bytes are no such message.
StatusMessage decode_status(const std::string& bytes);

}  // namespace flintdale::peer
