#include "state/generation_marker.hpp"

#include <array>

#include "state/record_fields.hpp"

namespace flintdale::state {

namespace {

// Stored names, indexed by GenerationMarker::Phase.
constexpr std::array<std::string_view, 3> phase_names{"whole", "merging", "restoring"};

std::optional<GenerationMarker::Phase> parse_phase(std::string_view name) {
    for (std::size_t i = 0; i < phase_names.size(); ++i)
        if (name == phase_names[i]) return static_cast<GenerationMarker::Phase>(i);
    return std::nullopt;
}

std::vector<std::string> texts_in(const json::object& record, std::string_view field) {
    std::vector<std::string> out;
    const auto* list = record.if_contains(field);
    if (!list || !list->is_array()) return out;
    for (const auto& text : list->get_array())
        if (text.is_string()) out.emplace_back(text.get_string());
    return out;
}

std::vector<std::uint64_t> numbers_in(const json::object& record, std::string_view field) {
    std::vector<std::uint64_t> out;
    const auto* list = record.if_contains(field);
    if (!list || !list->is_array()) return out;
    for (const auto& number : list->get_array())
        if (number.is_number()) out.push_back(number.to_number<std::uint64_t>());
    return out;
}

}  // namespace

boost::json::object marker_record(const GenerationMarker& marker) {
    json::object record{{"generation", marker.generation},
                        {"id", marker.id},
                        {"phase", phase_names[static_cast<std::size_t>(marker.phase)]}};
    if (!marker.missing.empty()) record["missing"] = json::array(marker.missing.begin(), marker.missing.end());
    if (marker.term) record["term"] = marker.term;
    record["beyond_memory"] = marker.loss_exceeds_replica;
    if (marker.is_complete()) return record;
    if (marker.keys_only) record["keys_only"] = true;
    if (!marker.rebuilders.empty())
        record["rebuilders"] = json::array(marker.rebuilders.begin(), marker.rebuilders.end());
    record["by"] = marker.rebuilder;
    record["of"] = marker.base_history;
    record["remembers"] = marker.base_revision;
    return record;
}

std::optional<GenerationMarker> parse_marker(const KeyValue& item) {
    if (!item.mod_revision || !item.value.is_object()) return std::nullopt;
    const auto& record = item.value.get_object();
    GenerationMarker marker;
    marker.generation = number_or_zero(record, "generation");
    marker.id = text_or_empty(record, "id");
    marker.rebuilder = text_or_empty(record, "by");
    marker.base_history = text_or_empty(record, "of");
    marker.term = number_or_zero(record, "term");
    marker.base_revision = number_or_zero(record, "remembers");
    marker.mod_revision = item.mod_revision;
    marker.loss_exceeds_replica = flag_or_false(record, "beyond_memory");
    marker.keys_only = flag_or_false(record, "keys_only");
    marker.missing = texts_in(record, "missing");
    marker.rebuilders = numbers_in(record, "rebuilders");
    const auto phase = parse_phase(text_or_empty(record, "phase"));
    if (!phase || !marker.generation) return std::nullopt;
    marker.phase = *phase;
    return marker;
}

}  // namespace flintdale::state
