// Lenient readers for fields of JSON objects that the store sends. A field that is missing or of another type has the
// type's empty value: such an object says nothing, and the caller treats it like one without the field.
#pragma once
#include <boost/json.hpp>
#include <cstdint>
#include <string>
#include <string_view>

namespace flintdale::state {

// A whole number; 0 if the field holds none, or one out of range.
inline std::uint64_t number_or_zero(const boost::json::object& object, std::string_view field) {
    const auto* value = object.if_contains(field);
    if (!value || !value->is_number()) return 0;
    boost::json::error_code failed;
    const auto number = value->to_number<std::uint64_t>(failed);
    return failed ? 0 : number;
}

inline std::string text_or_empty(const boost::json::object& object, std::string_view field) {
    const auto* value = object.if_contains(field);
    return value && value->is_string() ? std::string(value->get_string()) : std::string();
}

inline bool flag_or_false(const boost::json::object& object, std::string_view field) {
    const auto* value = object.if_contains(field);
    return value && value->is_bool() && value->get_bool();
}

}  // namespace flintdale::state
