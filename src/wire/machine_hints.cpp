#include "wire/machine_hints.hpp"

#include <map>

#include "wire/machine_hints.capnp.h"
#include "wire/packed.hpp"

namespace flintdale::wire {

namespace {
constexpr int level = 3;                       // of compression: the leader's processor time is scarce
constexpr std::size_t max_page = 1024 * 1024;  // of a page once it is unpacked: what claims more is none of ours
}  // namespace

std::string encode_machine_hints(std::span<const MachineHint> notes) {
    std::map<std::string_view, std::uint32_t> places;
    std::vector<const MachineHint::Image*> images;
    for (const auto& note : notes)
        for (const auto& image : note.images)
            if (places.try_emplace(image.name, static_cast<std::uint32_t>(images.size())).second)
                images.push_back(&image);
    capnp::MallocMessageBuilder message;
    auto page = message.initRoot<::Page>();
    auto names = page.initImages(static_cast<unsigned>(images.size()));
    for (unsigned i = 0; i < images.size(); ++i) {
        names[i].setName(images[i]->name);
        names[i].setGb(images[i]->gb);
    }
    auto machines = page.initMachines(static_cast<unsigned>(notes.size()));
    for (unsigned i = 0; i < notes.size(); ++i) {
        machines[i].setName(notes[i].name);
        machines[i].setQuarantined(notes[i].quarantined);
        auto held = machines[i].initImages(static_cast<unsigned>(notes[i].images.size()));
        for (unsigned k = 0; k < notes[i].images.size(); ++k) held.set(k, places.at(notes[i].images[k].name));
    }
    return to_text(compress(message, level));
}

std::vector<MachineHint> decode_machine_hints(std::string_view text) {
    const auto bytes = decompress(from_text(text), max_page);
    std::vector<MachineHint> out;
    try {
        kj::ArrayInputStream stream(kj::arrayPtr(bytes.data(), bytes.size()));
        capnp::PackedMessageReader message(stream);
        const auto page = message.getRoot<::Page>();
        const auto images = page.getImages();
        for (const auto machine : page.getMachines()) {
            MachineHint note{machine.getName().cStr(), {}, machine.getQuarantined()};
            for (const auto place : machine.getImages())
                if (place < images.size())
                    note.images.push_back({images[place].getName().cStr(), images[place].getGb()});
            out.push_back(std::move(note));
        }
    } catch (const kj::Exception& e) {
        throw DecodeError(std::string("a page of notes cannot be read: ") + e.getDescription().cStr());
    }
    return out;
}

}  // namespace flintdale::wire
