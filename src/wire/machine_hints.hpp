// Codec for pages of hints about machines that a leader leaves for the next one. Each page is one value in the store.
// Format: packed Cap'n Proto (machine_hints.capnp), compressed, as base64.
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

// Encodes one page as text without spaces or quotes. Equal hints give equal text.
std::string encode_machine_hints(std::span<const MachineHint> hints);
// Throws DecodeError if the text is not such a page.
std::vector<MachineHint> decode_machine_hints(std::string_view text);

}  // namespace flintdale::wire
