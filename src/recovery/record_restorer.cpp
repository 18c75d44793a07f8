#include "recovery/record_restorer.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "recovery/record_keys.hpp"
#include "recovery/record_pages.hpp"
#include "recovery/store_scan.hpp"

namespace flintdale::recovery {

using model::Clock;
using state::GenerationMarker;
using state::Outcome;
using state::RequestPriority;

namespace {

constexpr std::size_t max_batch_changes = 24;
constexpr std::size_t max_batch_bytes = 30'000;
constexpr auto delay_after_refusal = std::chrono::milliseconds(150);
constexpr auto delay_after_failure = std::chrono::milliseconds(50);

std::size_t page_number(const std::string& key) {
    const auto tail = key.substr(std::string_view(deferred_prefix).size());
    return static_cast<std::size_t>(std::strtoull(tail.c_str(), nullptr, 10));
}

// Removes the records of this page from `contents`.
void remove_paged_records(const state::KeyValue& page, ReplicaContents& contents) {
    try {
        for (const auto& record : decode_page(page)) contents.records.erase(record.key);
    } catch (const std::exception& e) {
        spdlog::error("event=record_unreadable key={} why=\"{}\"", page.key, e.what());
    }
}

// Whether the transaction failed because another controller rebuilds or this controller's term is over.
bool lost_leadership(const state::TxnResult& result) {
    return std::any_of(result.failed.begin(), result.failed.end(),
                       [](const std::string& key) { return key == state::marker_key || key == election::term_key; });
}

}  // namespace

awaitable<std::optional<StoredRecords>> RecordRestorer::read_stored() {
    auto items = co_await read_all(context_.store, scheduler::jobs_prefix);
    if (!items) co_return std::nullopt;
    StoredRecords stored;
    stored.contents.from = "state service";
    for (const auto& item : *items) {
        stored.mod_revisions[item.key] = item.mod_revision;
        stored.contents.records.emplace(item.key, Record{item.mod_revision, boost::json::serialize(item.value)});
    }
    co_return std::optional(std::move(stored));
}

awaitable<std::optional<std::size_t>> RecordRestorer::restore(GenerationMarker marker, const Merged& merged,
                                                              StoredRecords stored) {
    auto plan = plan_restore(merged, stored);
    const auto immediate = plan.immediate.size();
    spdlog::info("event=restoring_records records={} deferred={}", immediate, plan.deferred.records.size());
    const bool written = co_await write_in_batches(marker, std::move(plan.immediate), stored.mod_revisions);
    if (!written) co_return std::nullopt;
    if (plan.deferred.records.empty()) co_return std::optional(immediate);
    const auto deferred = co_await write_deferred(std::move(marker), std::move(plan.deferred));
    if (!deferred) co_return std::nullopt;
    co_return std::optional(immediate + *deferred);
}

bool RecordRestorer::batch_full(const std::vector<state::Change>& batch) const {
    const auto max_changes = std::min<std::size_t>(
        {context_.store.preferred_batch_size(), context_.record_format.limits().txn_ops, max_batch_changes});
    std::size_t bytes = 0;
    for (const auto& change : batch) bytes += state::RecordFormat::size_of(*change.value);
    return batch.size() >= max_changes || bytes >= max_batch_bytes;
}

awaitable<bool> RecordRestorer::write_in_batches(GenerationMarker marker, std::vector<state::Change> changes,
                                                 ModRevisions& mod_revisions) {
    std::vector<state::Change> batch;
    for (std::size_t i = 0; i < changes.size(); ++i) {
        batch.push_back(std::move(changes[i]));
        if (i + 1 < changes.size() && !batch_full(batch)) continue;
        auto full = std::exchange(batch, {});
        const bool written = co_await write(marker, std::move(full), mod_revisions);
        if (!written) co_return false;
    }
    co_return true;
}

awaitable<std::optional<std::size_t>> RecordRestorer::write_deferred(GenerationMarker marker,
                                                                     ReplicaContents deferred) {
    ModRevisions mod_revisions;
    const auto existing = co_await read_all(context_.store, deferred_prefix);
    if (!existing) co_return std::nullopt;
    // Pages of an interrupted rebuild, or of an earlier pass of this one, may already hold some of the outcomes.
    std::size_t next_page = 0;
    for (const auto& item : *existing) {
        mod_revisions[item.key] = item.mod_revision;
        next_page = std::max(next_page, page_number(item.key) + 1);
        remove_paged_records(item, deferred);
    }
    const auto added = deferred.records.size();
    for (const auto& text : encode_pages(deferred, context_.record_format)) {
        std::vector<state::Change> page;
        page.push_back({deferred_prefix + std::to_string(next_page++), boost::json::string(text), 0});
        const bool written = co_await write(marker, std::move(page), mod_revisions);
        if (!written) co_return std::nullopt;
    }
    co_return std::optional(added);
}

state::Txn RecordRestorer::conditional_txn(const GenerationMarker& marker, const std::vector<state::Change>& changes,
                                           const ModRevisions& mod_revisions) const {
    state::Txn txn;
    txn.conditions = markers_.leader_conditions(marker);
    for (const auto& change : changes) {
        const auto known = mod_revisions.find(change.key);
        txn.conditions.push_back({change.key, known == mod_revisions.end() ? 0 : known->second});
    }
    txn.changes = changes;
    return txn;
}

awaitable<bool> RecordRestorer::write(GenerationMarker marker, std::vector<state::Change> changes,
                                      ModRevisions& mod_revisions) {
    for (;;) {
        auto txn = conditional_txn(marker, changes, mod_revisions);
        const auto began = Clock::now();
        const auto result = co_await context_.store.commit(std::move(txn), RequestPriority::user);
        if (!context_.leadership.term) co_return false;
        if (result.outcome == Outcome::ok) {
            context_.callbacks.outcomes_read({}, began, RecoveryCallbacks::OutcomeCoverage::changes);
            co_return true;
        }
        if (lost_leadership(result)) co_return false;
        if (result.outcome == Outcome::too_large) {
            const bool written = co_await write_one_by_one(marker, std::move(changes), mod_revisions);
            co_return written;
        }
        const bool refused = result.outcome == Outcome::refused;
        co_await net::sleep_for(refused ? delay_after_refusal : delay_after_failure);
        if (refused) continue;
        // An earlier write of this rebuild may have taken effect although its answer was lost or late.
        for (const auto& change : changes) {
            const auto read = co_await context_.store.get(change.key, RequestPriority::user);
            if (read.outcome == Outcome::ok) mod_revisions[change.key] = read.item.mod_revision;
        }
    }
}

awaitable<bool> RecordRestorer::write_one_by_one(GenerationMarker marker, std::vector<state::Change> changes,
                                                 ModRevisions& mod_revisions) {
    // A record that the store always rejects must not block all other records.
    if (changes.size() == 1) {
        spdlog::error("event=record_rejected key={}", changes[0].key);
        co_return true;
    }
    for (auto& change : changes) {
        std::vector<state::Change> one;
        one.push_back(std::move(change));
        const bool written = co_await write(marker, std::move(one), mod_revisions);
        if (!written) co_return false;
    }
    co_return true;
}

}  // namespace flintdale::recovery
