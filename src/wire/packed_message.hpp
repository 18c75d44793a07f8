// Cap'n Proto messages packed, compressed by Zstandard, and back; and their bytes as text. For the codecs of this
// package only.
#pragma once
#include <capnp/message.h>
#include <kj/common.h>

#include <string>
#include <string_view>
#include <vector>

namespace flintdale::wire {

// The compressed bytes of the packed message, with a checksum, so that damaged bytes are never taken for what was
// written. `level`: Zstandard's compression level.
std::string compress(capnp::MessageBuilder& message, int level);

// The bytes of the packed message. Throws DecodeError if they are damaged, or more than `max_size` bytes.
std::vector<kj::byte> decompress(std::string_view compressed, std::size_t max_size);

// Base64, which has neither spaces nor quotes. from_text throws DecodeError if the text is damaged.
std::string to_text(std::string_view bytes);
std::string from_text(std::string_view text);

}  // namespace flintdale::wire
