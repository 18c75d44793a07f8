// Conversion of Cap'n Proto messages to packed, Zstandard-compressed bytes and base64 text, and back. Internal to this
// package.
#pragma once
#include <capnp/message.h>
#include <kj/common.h>

#include <string>
#include <string_view>
#include <vector>

namespace flintdale::wire {

// Packs and compresses a message. The result has a checksum, by which decompress() detects damaged bytes. `level`: the
// compression level of Zstandard.
std::string compress(capnp::MessageBuilder& message, int level);

// Returns the bytes of the packed message. Throws DecodeError if the input is damaged, or if the result would exceed
// `max_size` bytes.
std::vector<kj::byte> decompress(std::string_view compressed, std::size_t max_size);

// Base64 has no spaces or quotes. from_base64() throws DecodeError if the text is malformed.
std::string to_base64(std::string_view bytes);
std::string from_base64(std::string_view text);

}  // namespace flintdale::wire
