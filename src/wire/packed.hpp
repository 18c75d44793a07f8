// Cap'n Proto messages packed, compressed and back. For wire/'s own sources.
#pragma once
#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/encoding.h>
#include <kj/exception.h>
#include <kj/io.h>
#include <zstd.h>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "wire/json.hpp"

namespace flintdale::wire {

// The frame carries a checksum, so that what is damaged is never taken for what was written.
inline std::string compress(capnp::MessageBuilder& message, int level) {
    kj::VectorOutputStream packed;
    capnp::writePackedMessage(packed, message);
    const auto bytes = packed.getArray();
    const std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)> context(ZSTD_createCCtx(), ZSTD_freeCCtx);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, level);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
    std::string small(ZSTD_compressBound(bytes.size()), '\0');
    const auto size = ZSTD_compress2(context.get(), small.data(), small.size(), bytes.begin(), bytes.size());
    if (ZSTD_isError(size)) throw std::runtime_error(ZSTD_getErrorName(size));
    small.resize(size);
    return small;
}

// The bytes of the packed message; throws DecodeError where they are damaged, or longer than any of ours.
inline std::vector<kj::byte> decompress(std::string_view small, std::size_t most) {
    const auto size = ZSTD_getFrameContentSize(small.data(), small.size());
    if (size == ZSTD_CONTENTSIZE_UNKNOWN || size == ZSTD_CONTENTSIZE_ERROR || size > most)
        throw DecodeError("no page of ours");
    std::vector<kj::byte> bytes(size);
    const auto got = ZSTD_decompress(bytes.data(), bytes.size(), small.data(), small.size());
    if (ZSTD_isError(got) || got != size) throw DecodeError("a page is damaged");
    return bytes;
}

inline std::string to_text(std::string_view bytes) {
    const auto text = kj::encodeBase64(kj::arrayPtr(reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
    return {text.cStr(), text.size()};
}

inline std::string from_text(std::string_view text) {
    const auto bytes = kj::decodeBase64(kj::arrayPtr(text.data(), text.size()));
    if (bytes.hadErrors) throw DecodeError("a page is damaged");
    return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

}  // namespace flintdale::wire
