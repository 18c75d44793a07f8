// Reads single fields of the election's records. A record that is absent, or of another shape, has none.
#pragma once
#include <cstdint>
#include <string>
#include <string_view>

#include "state/store.hpp"

namespace flintdale::election {

// 0 if there is no such number.
std::uint64_t number_field(const state::KeyValue& record, std::string_view name);
// Empty if there is no such text.
std::string text_field(const state::KeyValue& record, std::string_view name);

}  // namespace flintdale::election
