// Lenient readers for fields of JSON objects that the store returns. A field that is missing or has another type reads
// as the empty value of its type: 0, an empty string or false.
#pragma once
#include <boost/json.hpp>
#include <cstdint>
#include <string>
#include <string_view>

namespace flintdale::state {

// An unsigned integer; 0 if the field holds none or is out of range.
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
