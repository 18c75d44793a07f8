// Names of enumerators on the wire and in records. Each table is searched in its order.
#pragma once
#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

#include "model/job.hpp"

namespace flintdale::wire {

template <class E, std::size_t N>
using EnumNames = std::array<std::pair<E, std::string_view>, N>;

// The name of the value; empty if it has none.
template <class E, std::size_t N>
constexpr std::string_view name_of(const EnumNames<E, N>& names, E value) {
    for (const auto& [enumerator, name] : names)
        if (enumerator == value) return name;
    return "";
}

// The value with this name, if any.
template <class E, std::size_t N>
constexpr std::optional<E> value_of(const EnumNames<E, N>& names, std::string_view name) {
    for (const auto& [enumerator, its_name] : names)
        if (its_name == name) return enumerator;
    return std::nullopt;
}

inline constexpr EnumNames<model::JobKind, 3> job_kind_names{
    {{model::JobKind::array, "array"}, {model::JobKind::gang, "ensemble"}, {model::JobKind::service, "standing"}}};

inline constexpr EnumNames<model::Priority, 4> priority_names{{{model::Priority::critical, "critical"},
                                                               {model::Priority::high, "high"},
                                                               {model::Priority::normal, "normal"},
                                                               {model::Priority::idle, "idle"}}};

}  // namespace flintdale::wire
