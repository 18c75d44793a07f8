// Codec for pages of records. Replicas offer such pages after a loss of records, and snapshots contain them.
// Format: packed Cap'n Proto (archive.capnp), compressed with a checksum. Decoding accepts complete pages only.
#pragma once
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace flintdale::wire {

// A record of the store.
struct ArchivedRecord {
    std::string key;
    std::uint64_t mod_revision = 0;  // revision of the store at the key's last change
    std::string text;                // the value, JSON
    bool operator==(const ArchivedRecord&) const = default;
};

std::string encode_archive(std::span<const ArchivedRecord> records);
// Throws DecodeError if the bytes are not a complete, undamaged page.
std::vector<ArchivedRecord> decode_archive(std::string_view bytes);

// The same as base64, which has no spaces or quotes, for values in the store.
std::string encode_archive_text(std::span<const ArchivedRecord> records);
std::vector<ArchivedRecord> decode_archive_text(std::string_view text);

}  // namespace flintdale::wire
