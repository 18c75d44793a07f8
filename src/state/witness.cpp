#include "state/witness.hpp"

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

std::string text(const json::object& o, std::string_view field) {
    const auto* v = o.if_contains(field);
    return v && v->is_string() ? std::string(v->get_string()) : std::string();
}

}  // namespace

boost::json::object witness_record(const Witness& w) {
    return {{"generation", w.generation},
            {"id", w.id},
            {"phase", phases[static_cast<std::size_t>(w.phase)]},
            {"by", w.by},
            {"term", w.term},
            {"of", w.of},
            {"remembers", w.remembers}};
}

std::optional<Witness> parse_witness(const Item& item) {
    if (!item.stamp || !item.value.is_object()) return std::nullopt;
    const auto& o = item.value.get_object();
    Witness w;
    w.generation = number(o, "generation");
    w.id = text(o, "id");
    w.by = text(o, "by");
    w.of = text(o, "of");
    w.term = number(o, "term");
    w.remembers = number(o, "remembers");
    w.stamp = item.stamp;
    const auto phase = text(o, "phase");
    for (std::size_t i = 0; i < phases.size(); ++i)
        if (phase == phases[i]) {
            w.phase = static_cast<Witness::Phase>(i);
            return w.generation ? std::optional(w) : std::nullopt;
        }
    return std::nullopt;
}

}  // namespace flintdale::state
