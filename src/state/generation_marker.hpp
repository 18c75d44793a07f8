// The generation marker: one key of the store that identifies the current history of all job records. Every answer to
// a user and every write of a job record is conditioned on the marker being unchanged. After the store has lost data,
// no controller therefore goes on as if the lost records had never existed. docs/recovery.md explains why this is safe.
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
        merging,    // data were lost: the replicas of all controllers are gathered; users get no answers, no job
                    // record is written
        restoring,  // the merged records are being written back; only the rebuilding controller writes
    };
    std::uint64_t generation = 0;  // incremented with every loss
    std::string id;                // distinguishes two histories with the same generation
    Phase phase = Phase::complete;
    std::string rebuilder;                  // member that rebuilds the records; empty if there is none
    std::uint64_t term = 0;                 // leader term of the rebuilder
    std::string base_history;               // merging: id of the history of the rebuilder's own replica
    std::uint64_t base_revision = 0;        // merging: revision of that replica; other members offer only newer records
    bool loss_exceeds_replica = false;      // records are lost that the replica of the detecting member does not hold
    std::vector<std::uint64_t> rebuilders;  // terms that claimed the rebuild; none of them has placed any task
    bool keys_only = false;                 // only single records that a replica holds are lost; the history continued
    std::vector<std::string> missing;       // complete: members whose replicas were not available for the rebuild
    std::uint64_t mod_revision = 0;         // of the marker's key; 0 until it is in the store

    bool is_complete() const { return phase == Phase::complete; }
};

// The marker's value in the store. In phase `complete`, fields that only matter during a rebuild are omitted.
boost::json::object marker_record(const GenerationMarker& marker);

// Parses a marker; nullopt if the key is absent or its value is not a valid marker.
std::optional<GenerationMarker> parse_marker(const KeyValue& item);

}  // namespace flintdale::state
