// Notes on machines, in pages that a value of the state service can hold: Cap'n Proto, compressed by Zstandard, as
// text.
#pragma once
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace flintdale::wire {

struct MachineNote {
    struct Image {
        std::string name;
        double gb = 0;
        bool operator==(const Image&) const = default;
    };
    std::string name;
    std::vector<Image> images;  // that its cache holds, oldest use first
    bool suspect = false;       // several jobs failed there that went well elsewhere
    bool operator==(const MachineNote&) const = default;
};

// One page of text without spaces or quotes. The same notes give the same text.
std::string encode_notes(std::span<const MachineNote> notes);
// Throws BadBody if the text is no such page.
std::vector<MachineNote> decode_notes(std::string_view text);

}  // namespace flintdale::wire
