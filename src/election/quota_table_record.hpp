// The teams' limits and guarantees as a controller puts them on record beside its name.
#pragma once
#include <boost/json.hpp>
#include <optional>

#include "quota/quota_accounting.hpp"
#include "state/store.hpp"

namespace flintdale::election {

boost::json::object encode_quota_table(const quota::Table& table);
// The table in a member's record; nothing if its version does not write one, or it cannot be read.
std::optional<quota::Table> quota_table_in(const state::KeyValue& record);

}  // namespace flintdale::election
