// The generation marker: one key of the store that stands for the history of all records. Whoever answers users or
// writes records of jobs does so on the condition that the marker is still the one it knows. So no controller goes on
// as if lost records had never existed after the store has lost data. docs/recovery.md has the argument.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "state/store.hpp"

namespace flintdale::state {

inline constexpr const char* marker_key = "recovery/witness";

struct GenerationMarker {
    enum class Phase : std::uint8_t {
        complete,   // the records are complete
        merging,    // data were lost: the replicas of all controllers are gathered; nobody answers users or writes
        restoring,  // the gathered records are being written back, still by the rebuilding controller alone
    };
    std::uint64_t generation = 0;  // rises with every loss
    std::string id;                // distinguishes two histories with the same generation
    Phase phase = Phase::complete;
    std::string rebuilder;            // member that rebuilds the records; empty while none does
    std::uint64_t term = 0;           // leader term of the rebuilder
    std::string base_history;         // merging: id of the history that the rebuilder's own replica is of
    std::uint64_t base_revision = 0;  // merging: revision up to which that replica reaches; others offer newer records
    bool loss_exceeds_replica = false;      // more was lost than the replica of the member that found the loss holds
    std::vector<std::uint64_t> rebuilders;  // terms that have rebuilt; none of them has placed any task
    bool keys_only = false;                 // only single records that a replica holds are gone; the history continued
    std::vector<std::string> missing;       // whole: members that could not be asked during the rebuild
    std::uint64_t mod_revision = 0;         // of the marker's key; 0 until it is in the store

    bool is_complete() const { return phase == Phase::complete; }
};

// The marker's value in the store. Fields that only matter during a rebuild are left out of a whole marker.
boost::json::object marker_record(const GenerationMarker& marker);

// Reads a marker; nothing if the key is absent or its value is no marker.
std::optional<GenerationMarker> parse_marker(const KeyValue& item);

}  // namespace flintdale::state
