#include "recovery/store_scan.hpp"

#include <algorithm>

namespace flintdale::recovery {

using state::Outcome;
using state::RequestPriority;

namespace {

constexpr int max_failed_reads = 40;

}  // namespace

awaitable<std::optional<std::vector<state::KeyValue>>> read_all(state::Store& store, std::string prefix) {
    std::vector<state::KeyValue> items;
    std::string after;
    for (int failures = 0; failures < max_failed_reads;) {
        auto page = co_await store.range(prefix, after, RequestPriority::leadership);
        if (page.outcome != Outcome::ok) {
            ++failures;
            co_await net::sleep_for(retry_interval);
            continue;
        }
        for (auto& item : page.items) items.push_back(std::move(item));
        if (!page.more || page.items.empty()) co_return std::optional(std::move(items));
        after = items.back().key;
    }
    co_return std::nullopt;
}

awaitable<void> remove_all(RecoveryContext& context, std::string prefix, std::vector<state::Condition> conditions) {
    const auto items = co_await read_all(context.store, std::move(prefix));
    if (!items) co_return;
    for (std::size_t at = 0; at < items->size();) {
        state::Txn txn;
        txn.conditions = conditions;
        const auto max_changes = std::min(context.store.preferred_batch_size(), context.record_format.limits().txn_ops);
        for (; at < items->size() && txn.changes.size() < max_changes; ++at)
            txn.changes.push_back({(*items)[at].key, std::nullopt, 0});
        const auto result = co_await context.store.commit(std::move(txn), RequestPriority::bookkeeping);
        if (result.outcome != Outcome::ok) co_return;  // remaining keys are overwritten by the next rebuild
    }
}

}  // namespace flintdale::recovery
