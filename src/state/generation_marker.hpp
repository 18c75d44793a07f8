// The marker: one key that stands for the history of what the state service keeps. Whoever answers users or writes
// records of jobs does so on the condition that the marker is still the one it knows, so that after a loss nobody goes
// on as if what is missing had never been. docs/rebuilding.md has the argument.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "state/store.hpp"

namespace flintdale::state {

inline constexpr const char* marker_key = "recovery/witness";

struct GenerationMarker {
    enum class Phase : std::uint8_t {
        whole,      // the records are what they should be
        merging,    // data were lost: what everybody remembers is gathered, and nobody answers or writes
        restoring,  // what was gathered is being written back, still by one controller alone
    };
    std::uint64_t generation = 0;  // rises with every loss
    std::string id;                // tells two histories of the same generation apart
    Phase phase = Phase::whole;
    std::string by;                         // who rebuilds; empty while nobody does
    std::uint64_t term = 0;                 // of the one who rebuilds
    std::string of;                         // merging: the history that the rebuilder itself remembers,
    std::uint64_t remembers = 0;            // and up to which of its revisions; others offer what is newer
    bool beyond_memory = false;             // more was lost than whoever found it remembers
    std::vector<std::uint64_t> rebuilders;  // terms that have rebuilt: none of them has placed anything
    bool keys_only = false;                 // only records are gone that were remembered; the history itself went on
    std::vector<std::string> missing;       // whole: controllers that could not be asked when it was rebuilt
    std::uint64_t mod_revision = 0;         // of the key, once it is on record

    bool whole() const { return phase == Phase::whole; }
};

boost::json::object marker_record(const GenerationMarker& marker);
// Nothing if the key is absent or is no marker.
std::optional<GenerationMarker> parse_marker(const KeyValue& item);

}  // namespace flintdale::state
