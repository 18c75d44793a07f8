// Strict readers for JSON objects from outside. Each names the field and the reason in the DecodeError that it throws.
// A field with the value null counts as missing. Pure: no I/O.
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

// Parses a text that must be one JSON object, nested at most 16 levels deep.
json::object parse_object(std::string_view body);

namespace fields {

// Throws the DecodeError "FIELD: REASON".
[[noreturn]] void fail(std::string_view field, std::string_view reason);

// Null if the field is missing.
const json::value* find(const json::object& object, std::string_view field);
const json::value& require(const json::object& object, std::string_view field);

// A string of 1 to 200 bytes.
std::string text(const json::object& object, std::string_view field);
std::optional<std::string> optional_text(const json::object& object, std::string_view field);

// A finite number from 0 to 1e9.
double amount(const json::object& object, std::string_view field);
double amount_or(const json::object& object, std::string_view field, double default_value);

bool flag(const json::object& object, std::string_view field);
bool flag_or(const json::object& object, std::string_view field, bool default_value);

// A whole number from 0; one that is written with a decimal point counts if it is exact.
std::uint64_t count(const json::object& object, std::string_view field);
std::uint64_t to_count(const json::value& value, std::string_view field);

const json::array& list(const json::object& object, std::string_view field);

// An element of the list `field`, which must be an object.
const json::object& as_object(const json::value& value, std::string_view field);

// One of the names.
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
