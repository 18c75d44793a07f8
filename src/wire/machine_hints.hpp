// Notes on machines, in pages that a value of the state service can hold: Cap'n Proto, compressed by Zstandard, as
// text.
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
    std::string name;
    std::vector<Image> images;  // that its cache holds, oldest use first
    bool quarantined = false;   // several jobs failed there that went well elsewhere
    bool operator==(const MachineHint&) const = default;
};

// One page of text without spaces or quotes. The same notes give the same text.
std::string encode_machine_hints(std::span<const MachineHint> notes);
// Throws DecodeError if the text is no such page.
std::vector<MachineHint> decode_machine_hints(std::string_view text);

}  // namespace flintdale::wire
