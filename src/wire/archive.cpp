#include "wire/archive.hpp"

#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include "wire/archive.capnp.h"
#include "wire/decode_error.hpp"
#include "wire/packed_message.hpp"

namespace flintdale::wire {

namespace {

constexpr int compression_level = 3;                      // of Zstandard
constexpr std::size_t max_page_bytes = 16 * 1024 * 1024;  // decompressed

}  // namespace

std::string encode_archive(std::span<const ArchivedRecord> records) {
    capnp::MallocMessageBuilder message;
    auto list = message.initRoot<::Archive>().initRecords(static_cast<unsigned>(records.size()));
    for (unsigned i = 0; i < records.size(); ++i) {
        list[i].setKey(records[i].key);
        list[i].setModRevision(records[i].mod_revision);
        list[i].setText(records[i].text);
    }
    return compress(message, compression_level);
}

std::vector<ArchivedRecord> decode_archive(std::string_view compressed) {
    const auto bytes = decompress(compressed, max_page_bytes);
    std::vector<ArchivedRecord> records;
    try {
        kj::ArrayInputStream stream(kj::arrayPtr(bytes.data(), bytes.size()));
        capnp::ReaderOptions options;
        options.traversalLimitInWords = max_page_bytes;
        capnp::PackedMessageReader message(stream, options);
        for (const auto record : message.getRoot<::Archive>().getRecords())
            records.push_back({record.getKey().cStr(), record.getModRevision(), record.getText().cStr()});
    } catch (const kj::Exception& e) {
        throw DecodeError(std::string("archive page: malformed message: ") + e.getDescription().cStr());
    }
    return records;
}

std::string encode_archive_text(std::span<const ArchivedRecord> records) { return to_base64(encode_archive(records)); }

std::vector<ArchivedRecord> decode_archive_text(std::string_view text) { return decode_archive(from_base64(text)); }

}  // namespace flintdale::wire
