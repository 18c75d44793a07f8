#include "wire/archive.hpp"

#include "wire/archive.capnp.h"
#include "wire/packed.hpp"

namespace flintdale::wire {

namespace {
constexpr int level = 3;
constexpr std::size_t max_page = 16 * 1024 * 1024;  // once it is unpacked
}  // namespace

std::string encode_archive(std::span<const ArchivedRecord> records) {
    capnp::MallocMessageBuilder message;
    auto list = message.initRoot<::Archive>().initRecords(static_cast<unsigned>(records.size()));
    for (unsigned i = 0; i < records.size(); ++i) {
        list[i].setKey(records[i].key);
        list[i].setModRevision(records[i].mod_revision);
        list[i].setText(records[i].text);
    }
    return compress(message, level);
}

std::vector<ArchivedRecord> decode_archive(std::string_view small) {
    const auto bytes = decompress(small, max_page);
    std::vector<ArchivedRecord> out;
    try {
        kj::ArrayInputStream stream(kj::arrayPtr(bytes.data(), bytes.size()));
        capnp::ReaderOptions options;
        options.traversalLimitInWords = max_page;
        capnp::PackedMessageReader message(stream, options);
        for (const auto record : message.getRoot<::Archive>().getRecords())
            out.push_back({record.getKey().cStr(), record.getModRevision(), record.getText().cStr()});
    } catch (const kj::Exception& e) {
        throw DecodeError(std::string("a page cannot be read: ") + e.getDescription().cStr());
    }
    return out;
}

std::string encode_archive_text(std::span<const ArchivedRecord> records) { return to_text(encode_archive(records)); }
std::vector<ArchivedRecord> decode_archive_text(std::string_view text) { return decode_archive(from_text(text)); }

}  // namespace flintdale::wire
