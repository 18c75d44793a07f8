// Converts Cap'n Proto messages to bytes and back. For the codecs of this package only.
#pragma once
#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>

#include <cstring>
#include <stdexcept>
#include <string>
#include <vector>

namespace flintdale::peer {

// The bytes of a message, neither packed nor compressed.
inline std::string to_bytes(capnp::MessageBuilder& message) {
    const auto words = capnp::messageToFlatArray(message);
    const auto bytes = words.asBytes();
    return std::string(reinterpret_cast<const char*>(bytes.begin()), bytes.size());
}

// Calls `read` with the root of the message and returns its result. Throws std::runtime_error if the bytes are not a
// valid message.
template <class Root, class Read>
auto from_bytes(const std::string& bytes, Read read) {
    // Copied because the bytes need not be aligned to words.
    std::vector<capnp::word> words(bytes.size() / sizeof(capnp::word));
    std::memcpy(words.data(), bytes.data(), words.size() * sizeof(capnp::word));
    try {
        capnp::FlatArrayMessageReader reader(kj::arrayPtr(words.data(), words.size()));
        return read(reader.getRoot<Root>());
    } catch (const kj::Exception& e) {
        throw std::runtime_error(e.getDescription().cStr());
    }
}

}  // namespace flintdale::peer
