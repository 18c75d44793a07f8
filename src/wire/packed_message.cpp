#include "wire/packed_message.hpp"

#include <capnp/serialize-packed.h>
#include <kj/encoding.h>
#include <kj/io.h>
#include <zstd.h>

#include <memory>

#include "wire/decode_error.hpp"

namespace flintdale::wire {

std::string compress(capnp::MessageBuilder& message, int level) {
    kj::VectorOutputStream packed;
    capnp::writePackedMessage(packed, message);
    const auto bytes = packed.getArray();
    const std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)> context(ZSTD_createCCtx(), ZSTD_freeCCtx);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, level);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
    std::string compressed(ZSTD_compressBound(bytes.size()), '\0');
    const auto size = ZSTD_compress2(context.get(), compressed.data(), compressed.size(), bytes.begin(), bytes.size());
    if (ZSTD_isError(size)) throw std::runtime_error(ZSTD_getErrorName(size));
    compressed.resize(size);
    return compressed;
}

std::vector<kj::byte> decompress(std::string_view compressed, std::size_t max_size) {
    const auto size = ZSTD_getFrameContentSize(compressed.data(), compressed.size());
    if (size == ZSTD_CONTENTSIZE_UNKNOWN || size == ZSTD_CONTENTSIZE_ERROR || size > max_size)
        throw DecodeError("page: not a Zstandard frame of known size, or too large");
    std::vector<kj::byte> bytes(size);
    const auto written = ZSTD_decompress(bytes.data(), bytes.size(), compressed.data(), compressed.size());
    if (ZSTD_isError(written) || written != size) throw DecodeError("page: damaged, decompression failed");
    return bytes;
}

std::string to_base64(std::string_view bytes) {
    const auto text = kj::encodeBase64(kj::arrayPtr(reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
    return {text.cStr(), text.size()};
}

std::string from_base64(std::string_view text) {
    const auto bytes = kj::decodeBase64(kj::arrayPtr(text.data(), text.size()));
    if (bytes.hadErrors) throw DecodeError("page: not valid base64");
    return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

}  // namespace flintdale::wire
