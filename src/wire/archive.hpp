// Pages of remembered records: Cap'n Proto, packed, compressed by Zstandard with its checksum.
#pragma once
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace flintdale::wire {

struct ArchivedRecord {
    std::string key;
    std::uint64_t mod_revision = 0;
    std::string text;  // the value, JSON
    bool operator==(const ArchivedRecord&) const = default;
};

std::string encode_archive(std::span<const ArchivedRecord> records);
// Throws DecodeError if the bytes are no whole page.
std::vector<ArchivedRecord> decode_archive(std::string_view bytes);

// The same as text without spaces or quotes, for values of the state service.
std::string encode_archive_text(std::span<const ArchivedRecord> records);
std::vector<ArchivedRecord> decode_archive_text(std::string_view text);

}  // namespace flintdale::wire
