#include "recovery/deferred_outcomes.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "recovery/record_keys.hpp"
#include "recovery/record_pages.hpp"
#include "recovery/store_scan.hpp"

namespace flintdale::recovery {

using model::Clock;
using state::Outcome;
using state::RequestPriority;

namespace {

constexpr auto restore_interval = std::chrono::seconds(2);

}  // namespace

awaitable<bool> DeferredOutcomes::read(RecordReplica& replica) {
    pages_.clear();
    const auto items = co_await read_all(context_.store, deferred_prefix);
    if (!items) co_return false;
    for (const auto& item : *items) try {
            auto& uids = pages_[item.key];
            for (const auto& record : decode_page(item)) {
                replica.apply_own_write({record.key, boost::json::parse(record.text), 0}, deferred_mod_revision);
                uids.push_back(uid_of_outcome_key(record.key));
            }
        } catch (const std::exception& e) {
            spdlog::error("event=record_unreadable key={} why=\"{}\"", item.key, e.what());
        }
    co_return true;
}

void DeferredOutcomes::postpone() { next_restore_ = Clock::now() + restore_interval; }

awaitable<void> DeferredOutcomes::restore_if_due() {
    if (Clock::now() < next_restore_) co_return;
    postpone();
    co_await restore_page();
}

bool DeferredOutcomes::may_write() const {
    return !context_.loss_suspected() && context_.leadership.term && context_.leadership.confirmed;
}

awaitable<void> DeferredOutcomes::restore_page() {
    const auto marker = *context_.complete_marker;
    auto& uids = pages_.begin()->second;
    while (!uids.empty() && may_write()) {
        auto batch = next_batch(uids);
        if (!batch.txn.changes.empty()) {
            const bool written = co_await write(std::move(batch.txn), marker);
            if (!written) co_return;
        }
        uids.resize(uids.size() - batch.taken);
        if (Clock::now() - context_.marker_read_at > change_interval) break;
    }
    if (uids.empty() && may_write()) co_await remove_page(marker);
}

DeferredOutcomes::Batch DeferredOutcomes::next_batch(const std::vector<std::string>& uids) const {
    Batch batch;
    auto& txn = batch.txn;
    const auto max_changes = std::min(context_.store.preferred_batch_size(), context_.record_format.limits().txn_ops);
    for (; batch.taken < uids.size() && txn.changes.size() < max_changes; ++batch.taken) {
        const auto key = scheduler::outcome_key(uids[uids.size() - 1 - batch.taken]);
        const auto record = context_.replica.record(key);
        if (!record || record->mod_revision > deferred_mod_revision) continue;  // already stored under its own key
        txn.conditions.push_back({key, 0});
        txn.changes.push_back({key, boost::json::parse(record->text), 0});
    }
    return batch;
}

awaitable<bool> DeferredOutcomes::write(state::Txn txn, state::GenerationMarker marker) {
    // The guarded store adds the condition on the marker.
    for (const auto& condition : markers_.leader_conditions(marker))
        if (condition.key == election::term_key) txn.conditions.push_back(condition);
    const auto result = co_await context_.guarded_store.commit(std::move(txn), RequestPriority::bookkeeping);
    // A conflict means that outcomes were written by another controller, or that the marker or the term changed. The
    // marker is read again; the next read of the changes returns the other outcomes.
    if (result.outcome == Outcome::conflict) context_.marker_recheck = true;
    co_return result.outcome == Outcome::ok;
}

awaitable<void> DeferredOutcomes::remove_page(state::GenerationMarker marker) {
    const auto page = pages_.begin();
    state::Txn txn;
    txn.conditions = markers_.leader_conditions(marker);
    txn.changes.push_back({page->first, std::nullopt, 0});
    const auto result = co_await context_.store.commit(std::move(txn), RequestPriority::bookkeeping);
    if (result.outcome == Outcome::ok) pages_.erase(pages_.begin());
    if (pages_.empty()) spdlog::info("event=deferred_outcomes_restored generation={}", marker.generation);
}

}  // namespace flintdale::recovery
