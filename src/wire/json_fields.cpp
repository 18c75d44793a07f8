#include "wire/json_fields.hpp"

#include <cmath>

namespace flintdale::wire {

namespace {

constexpr std::size_t max_depth = 16;  // levels of nesting
constexpr std::size_t max_text_bytes = 200;
constexpr double max_amount = 1e9;
constexpr double max_exact_integer = 9e15;  // a double represents every whole number below exactly

double to_double(const json::value& value, std::string_view field) {
    if (value.is_double()) return value.get_double();
    if (value.is_int64()) return static_cast<double>(value.get_int64());
    if (value.is_uint64()) return static_cast<double>(value.get_uint64());
    fields::fail(field, "must be a number");
}

bool is_exact_count(double number) { return number >= 0 && number < max_exact_integer && number == std::floor(number); }

}  // namespace

json::object parse_object(std::string_view body) {
    json::error_code failed;
    json::parse_options options;
    options.max_depth = max_depth;
    auto value = json::parse(json::string_view(body.data(), body.size()), failed, {}, options);
    if (failed) throw DecodeError("body: not JSON");
    if (!value.is_object()) throw DecodeError("body: not a JSON object");
    return std::move(value.get_object());
}

namespace fields {

void fail(std::string_view field, std::string_view reason) {
    throw DecodeError(std::string(field) + ": " + std::string(reason));
}

const json::value* find(const json::object& object, std::string_view field) {
    const auto* value = object.if_contains(field);
    return value && !value->is_null() ? value : nullptr;
}

const json::value& require(const json::object& object, std::string_view field) {
    const auto* value = find(object, field);
    if (!value) fail(field, "missing");
    return *value;
}

std::string text(const json::object& object, std::string_view field) {
    const auto& value = require(object, field);
    if (!value.is_string()) fail(field, "must be a string");
    const auto& text = value.get_string();
    if (text.empty() || text.size() > max_text_bytes) fail(field, "must be 1 to 200 bytes long");
    return std::string(text);
}

std::optional<std::string> optional_text(const json::object& object, std::string_view field) {
    if (!find(object, field)) return std::nullopt;
    return text(object, field);
}

double amount(const json::object& object, std::string_view field) {
    const double number = to_double(require(object, field), field);
    if (!std::isfinite(number)) fail(field, "must be finite");
    if (number < 0) fail(field, "must not be negative");
    if (number > max_amount) fail(field, "is too large");
    return number;
}

double amount_or(const json::object& object, std::string_view field, double default_value) {
    return find(object, field) ? amount(object, field) : default_value;
}

bool flag(const json::object& object, std::string_view field) {
    const auto& value = require(object, field);
    if (!value.is_bool()) fail(field, "must be true or false");
    return value.get_bool();
}

bool flag_or(const json::object& object, std::string_view field, bool default_value) {
    return find(object, field) ? flag(object, field) : default_value;
}

std::uint64_t to_count(const json::value& value, std::string_view field) {
    if (value.is_uint64()) return value.get_uint64();
    if (value.is_int64() && value.get_int64() >= 0) return static_cast<std::uint64_t>(value.get_int64());
    if (value.is_double() && is_exact_count(value.get_double())) return static_cast<std::uint64_t>(value.get_double());
    fail(field, "must be a whole number");
}

std::uint64_t count(const json::object& object, std::string_view field) {
    return to_count(require(object, field), field);
}

const json::array& list(const json::object& object, std::string_view field) {
    const auto& value = require(object, field);
    if (!value.is_array()) fail(field, "must be a list");
    return value.get_array();
}

const json::object& as_object(const json::value& value, std::string_view field) {
    if (!value.is_object()) fail(field, "must hold objects");
    return value.get_object();
}

}  // namespace fields

}  // namespace flintdale::wire
