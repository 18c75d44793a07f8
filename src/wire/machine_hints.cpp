#include "wire/machine_hints.hpp"

#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <map>

#include "wire/decode_error.hpp"
#include "wire/machine_hints.capnp.h"
#include "wire/packed_message.hpp"

namespace flintdale::wire {

namespace {

constexpr int compression_level = 3;  // of Zstandard; higher levels use too much of the leader's CPU time
constexpr std::size_t max_page_bytes = 1024 * 1024;  // decompressed

// The images of all hints without duplicates, in the order of their first use.
class ImageTable {
  public:
    explicit ImageTable(std::span<const MachineHint> hints) {
        for (const auto& hint : hints)
            for (const auto& image : hint.images)
                if (indices_.try_emplace(image.name, static_cast<std::uint32_t>(images_.size())).second)
                    images_.push_back(&image);
    }
    const std::vector<const MachineHint::Image*>& images() const { return images_; }
    std::uint32_t index_of(const std::string& name) const { return indices_.at(name); }

  private:
    std::map<std::string_view, std::uint32_t> indices_;
    std::vector<const MachineHint::Image*> images_;
};

}  // namespace

std::string encode_machine_hints(std::span<const MachineHint> hints) {
    const ImageTable table(hints);
    capnp::MallocMessageBuilder message;
    auto page = message.initRoot<::Page>();
    auto images = page.initImages(static_cast<unsigned>(table.images().size()));
    for (unsigned i = 0; i < images.size(); ++i) {
        images[i].setName(table.images()[i]->name);
        images[i].setGb(table.images()[i]->gb);
    }
    auto machines = page.initMachines(static_cast<unsigned>(hints.size()));
    for (unsigned i = 0; i < hints.size(); ++i) {
        machines[i].setName(hints[i].name);
        machines[i].setQuarantined(hints[i].quarantined);
        auto cached = machines[i].initImages(static_cast<unsigned>(hints[i].images.size()));
        for (unsigned k = 0; k < cached.size(); ++k) cached.set(k, table.index_of(hints[i].images[k].name));
    }
    return to_base64(compress(message, compression_level));
}

std::vector<MachineHint> decode_machine_hints(std::string_view text) {
    const auto bytes = decompress(from_base64(text), max_page_bytes);
    std::vector<MachineHint> hints;
    try {
        kj::ArrayInputStream stream(kj::arrayPtr(bytes.data(), bytes.size()));
        capnp::PackedMessageReader message(stream);
        const auto page = message.getRoot<::Page>();
        const auto images = page.getImages();
        for (const auto machine : page.getMachines()) {
            MachineHint hint{machine.getName().cStr(), {}, machine.getQuarantined()};
            for (const auto index : machine.getImages())
                if (index < images.size())
                    hint.images.push_back({images[index].getName().cStr(), images[index].getGb()});
            hints.push_back(std::move(hint));
        }
    } catch (const kj::Exception& e) {
        throw DecodeError(std::string("page of machine hints: malformed message: ") + e.getDescription().cStr());
    }
    return hints;
}

}  // namespace flintdale::wire
