// Encodes and decodes the teams' limits and guarantees in a controller's record under members/.
#pragma once
#include <boost/json.hpp>
#include <optional>

#include "quota/quota_accounting.hpp"
#include "state/store.hpp"

namespace flintdale::election {

boost::json::object encode_quota_table(const quota::Table& table);
// The table in a member's record; nullopt if the member's version writes none, or if it cannot be decoded.
std::optional<quota::Table> quota_table_in(const state::KeyValue& record);

}  // namespace flintdale::election
