#include "state/generation_marker.hpp"

#include <array>

namespace flintdale::state {

namespace {

constexpr std::array<std::string_view, 3> phases{"whole", "merging", "restoring"};

std::uint64_t number(const json::object& o, std::string_view field) {
    const auto* v = o.if_contains(field);
    json::error_code ec;
    const auto n = v && v->is_number() ? v->to_number<std::uint64_t>(ec) : 0;
    return ec ? 0 : n;
}

bool flag(const json::object& o, std::string_view field) {
    const auto* v = o.if_contains(field);
    return v && v->is_bool() && v->get_bool();
}

std::string text(const json::object& o, std::string_view field) {
    const auto* v = o.if_contains(field);
    return v && v->is_string() ? std::string(v->get_string()) : std::string();
}

}  // namespace

boost::json::object marker_record(const GenerationMarker& w) {
    json::object o{{"generation", w.generation}, {"id", w.id}, {"phase", phases[static_cast<std::size_t>(w.phase)]}};
    if (!w.missing.empty()) o["missing"] = json::array(w.missing.begin(), w.missing.end());
    if (w.term) o["term"] = w.term;
    o["beyond_memory"] = w.beyond_memory;
    if (w.whole()) return o;
    if (w.keys_only) o["keys_only"] = true;
    if (!w.rebuilders.empty()) o["rebuilders"] = json::array(w.rebuilders.begin(), w.rebuilders.end());
    o["by"] = w.by;
    o["of"] = w.of;
    o["remembers"] = w.remembers;
    return o;
}

std::optional<GenerationMarker> parse_marker(const KeyValue& item) {
    if (!item.mod_revision || !item.value.is_object()) return std::nullopt;
    const auto& o = item.value.get_object();
    GenerationMarker w;
    w.generation = number(o, "generation");
    w.id = text(o, "id");
    w.by = text(o, "by");
    w.of = text(o, "of");
    w.term = number(o, "term");
    w.remembers = number(o, "remembers");
    w.mod_revision = item.mod_revision;
    w.beyond_memory = flag(o, "beyond_memory");
    w.keys_only = flag(o, "keys_only");
    if (const auto* missing = o.if_contains("missing"); missing && missing->is_array())
        for (const auto& member : missing->get_array())
            if (member.is_string()) w.missing.emplace_back(member.get_string());
    if (const auto* rebuilders = o.if_contains("rebuilders"); rebuilders && rebuilders->is_array())
        for (const auto& term : rebuilders->get_array())
            if (term.is_number()) w.rebuilders.push_back(term.to_number<std::uint64_t>());
    const auto phase = text(o, "phase");
    for (std::size_t i = 0; i < phases.size(); ++i)
        if (phase == phases[i]) {
            w.phase = static_cast<GenerationMarker::Phase>(i);
            return w.generation ? std::optional(w) : std::nullopt;
        }
    return std::nullopt;
}

}  // namespace flintdale::state
