#include "scheduler/record_garbage.hpp"

namespace flintdale::scheduler {

state::Txn RecordGarbage::take(std::size_t max_records) {
    state::Txn txn;
    for (; !records_.empty() && txn.changes.size() < max_records; records_.pop_back()) {
        const auto& [key, mod_revision] = records_.back();
        txn.conditions.push_back({key, mod_revision});
        txn.changes.push_back({key, std::nullopt, 0});
    }
    return txn;
}

void RecordGarbage::restore(const state::Txn& txn) {
    for (std::size_t i = 0; i < txn.changes.size(); ++i) add(txn.conditions[i].key, txn.conditions[i].mod_revision);
}

}  // namespace flintdale::scheduler
