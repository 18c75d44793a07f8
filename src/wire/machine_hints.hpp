// Hints about machines that a leader leaves for the next one, in pages that a value of the store can hold: Cap'n Proto,
// packed and compressed, as text (machine_hints.capnp).
#pragma once
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace flintdale::wire {

struct MachineHint {
    struct Image {
        std::string name;
        double gb = 0;
        bool operator==(const Image&) const = default;
    };
    std::string name;           // of the machine
    std::vector<Image> images;  // in its cache, least recently used first
    bool quarantined = false;   // several jobs failed there that succeeded elsewhere
    bool operator==(const MachineHint&) const = default;
};

// One page of text without spaces or quotes. Equal hints give equal text.
std::string encode_machine_hints(std::span<const MachineHint> hints);
// Throws DecodeError if the text is no such page.
std::vector<MachineHint> decode_machine_hints(std::string_view text);

}  // namespace flintdale::wire
