// Reading and removing all keys under a prefix.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "recovery/recovery_context.hpp"

namespace flintdale::recovery {

// All items under the prefix, page by page. Nothing if too many requests failed. The pages are not of one revision.
awaitable<std::optional<std::vector<state::KeyValue>>> read_all(state::Store& store, std::string prefix);

// Removes all keys under the prefix, in several transactions, each on the conditions. Stops at the first that fails.
awaitable<void> remove_all(RecoveryContext& context, std::string prefix, std::vector<state::Condition> conditions);

}  // namespace flintdale::recovery
