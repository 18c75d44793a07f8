// Strict readers of fields in untrusted JSON objects. Each throws a DecodeError that names the field and the reason.
// A field with the value null counts as missing. Readers with a suffix _or return the default value if the field is
// missing. Pure: no I/O.
#pragma once
#include <boost/json.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "wire/decode_error.hpp"
#include "wire/enum_names.hpp"

namespace flintdale::wire {

namespace json = boost::json;

// Parses a text that must be one JSON object with at most 16 levels of nesting.
json::object parse_object(std::string_view body);

namespace fields {

// Throws the DecodeError "FIELD: REASON".
[[noreturn]] void fail(std::string_view field, std::string_view reason);

// Returns null if the field is missing.
const json::value* find(const json::object& object, std::string_view field);
// Throws if the field is missing.
const json::value& require(const json::object& object, std::string_view field);

// A string of 1 to 200 bytes.
std::string text(const json::object& object, std::string_view field);
// Empty if the field is missing.
std::optional<std::string> optional_text(const json::object& object, std::string_view field);

// A finite number from 0 to 1e9.
double amount(const json::object& object, std::string_view field);
double amount_or(const json::object& object, std::string_view field, double default_value);

bool flag(const json::object& object, std::string_view field);
bool flag_or(const json::object& object, std::string_view field, bool default_value);

// A whole number, 0 or more. A number with a decimal point is accepted if it is an exactly represented whole number.
std::uint64_t count(const json::object& object, std::string_view field);
// The same for a value on its own; `field` is its name in the error.
std::uint64_t to_count(const json::value& value, std::string_view field);

const json::array& list(const json::object& object, std::string_view field);

// Returns an element of the list `field` as an object. Throws if it is none.
const json::object& as_object(const json::value& value, std::string_view field);

// The enumerator whose name is the field's value. Throws if there is no such name.
template <class E, std::size_t N>
E enumerator(const json::object& object, std::string_view field, const EnumNames<E, N>& names) {
    const auto& value = require(object, field);
    if (value.is_string())
        if (const auto found = value_of(names, std::string_view(value.get_string()))) return *found;
    std::string reason = "must be one of";
    for (const auto& [enumerator, name] : names) reason += " " + std::string(name);
    fail(field, reason);
}

}  // namespace fields

}  // namespace flintdale::wire
