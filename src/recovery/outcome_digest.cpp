#include "recovery/outcome_digest.hpp"

#include <spdlog/spdlog.h>

#include "recovery/record_keys.hpp"

namespace flintdale::recovery {

using model::Clock;
using state::RequestPriority;

namespace {

constexpr auto digest_interval = std::chrono::seconds(10);

boost::json::object digest_record(const StoredDigest& digest) {
    return {{"generation", digest.generation},
            {"revision", digest.revision},
            {"outcomes", digest.outcomes.outcomes},
            {"sum", digest.outcomes.sum},
            {"jobs", digest.jobs}};
}

}  // namespace

std::optional<StoredDigest> parse_digest(const state::KeyValue& item) {
    const auto* record = item.mod_revision ? item.value.if_object() : nullptr;
    if (!record) return std::nullopt;
    StoredDigest digest;
    digest.generation = number_field(*record, "generation");
    digest.revision = number_field(*record, "revision");
    digest.outcomes = {number_field(*record, "outcomes"), number_field(*record, "sum")};
    digest.jobs = number_field(*record, "jobs");
    return digest;
}

awaitable<state::GetResult> OutcomeDigest::read() {
    return context_.store.get(digest_key, RequestPriority::leadership);
}

awaitable<void> OutcomeDigest::write_if_due() {
    if (Clock::now() < next_write_) co_return;
    next_write_ = Clock::now() + digest_interval;
    co_await write();
}

awaitable<void> OutcomeDigest::write() {
    const auto& replica = context_.replica;
    StoredDigest digest;
    digest.revision = replica.revision();
    digest.outcomes = replica.digest(digest.revision);
    digest.jobs = replica.jobs_at(digest.revision);
    const auto count = digest.outcomes.outcomes + digest.jobs;
    if (!replica.is_complete() || count == written_count_) co_return;
    digest.generation = context_.complete_marker->generation;
    state::Txn txn;
    txn.conditions = markers_.leader_conditions(*context_.complete_marker);
    txn.changes.push_back({digest_key, digest_record(digest), 0});
    const auto result = co_await context_.store.commit(std::move(txn), RequestPriority::bookkeeping);
    if (result.outcome == state::Outcome::ok) written_count_ = count;
    spdlog::debug("event=outcome_digest_written outcomes={} revision={} result={}", digest.outcomes.outcomes,
                  digest.revision, static_cast<int>(result.outcome));
}

}  // namespace flintdale::recovery
