// Reads single fields of the election's records. A record that is absent, or not a JSON object, has no fields.
#pragma once
#include <cstdint>
#include <string>
#include <string_view>

#include "state/store.hpp"

namespace flintdale::election {

// 0 if the field is missing or not a number.
std::uint64_t number_field(const state::KeyValue& record, std::string_view name);
// Empty if the field is missing or not a string.
std::string text_field(const state::KeyValue& record, std::string_view name);

}  // namespace flintdale::election
