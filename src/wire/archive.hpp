// Pages of records, as a controller's replica offers them after a loss and as snapshots keep them: Cap'n Proto, packed
// and compressed with a checksum (archive.capnp). A page is read as a whole or not at all.
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
    std::uint64_t mod_revision = 0;
    std::string text;  // the value, JSON
    bool operator==(const ArchivedRecord&) const = default;
};

std::string encode_archive(std::span<const ArchivedRecord> records);
// Throws DecodeError if the bytes are no whole page.
std::vector<ArchivedRecord> decode_archive(std::string_view bytes);

// The same as text without spaces or quotes, for values of the store.
std::string encode_archive_text(std::span<const ArchivedRecord> records);
std::vector<ArchivedRecord> decode_archive_text(std::string_view text);

}  // namespace flintdale::wire
