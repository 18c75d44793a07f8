// Reads or removes all keys under a prefix.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "recovery/recovery_context.hpp"

namespace flintdale::recovery {

// Reads all items under the prefix, page by page; pages may be from different revisions. Nullopt if too many requests
// failed.
awaitable<std::optional<std::vector<state::KeyValue>>> read_all(state::Store& store, std::string prefix);

// Removes all keys under the prefix, in several transactions, each under `conditions`. Stops at the first that fails.
awaitable<void> remove_all(RecoveryContext& context, std::string prefix, std::vector<state::Condition> conditions);

}  // namespace flintdale::recovery
