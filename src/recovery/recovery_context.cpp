#include "recovery/recovery_context.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace flintdale::recovery {

namespace {

constexpr std::size_t max_seen_terms = 8;
constexpr std::size_t max_missing_keys = 1000;  // further keys are reported again by later answers

}  // namespace

void TermHistory::add(std::uint64_t term) {
    if (term) seen.insert(term);
    if (seen.size() > max_seen_terms) seen.erase(seen.begin());
}

RecoveryContext::RecoveryContext(net::Executor executor, state::Store& store_arg, state::GuardedStore& guarded_arg,
                                 const config::Settings& settings_arg, const state::RecordFormat& record_format_arg,
                                 RecoveryCallbacks callbacks_arg)
    : store(store_arg),
      guarded_store(guarded_arg),
      settings(settings_arg),
      record_format(record_format_arg),
      callbacks(std::move(callbacks_arg)),
      wakeup(executor) {}

void RecoveryContext::suspect_loss(std::string why, Loss loss) {
    if (records_lost) return;
    suspicion.beyond_replica = suspicion.beyond_replica || loss == Loss::beyond_replica;
    suspicion.records_only = suspicion.records_only && loss == Loss::records;
    guarded_store.close();
    if (!suspicion.why) {
        spdlog::error("event=data_loss_suspected why=\"{}\"", why);
        suspicion.why = std::move(why);
    }
    wakeup.notify();
}

void RecoveryContext::suspect_revision_rollback(std::uint64_t revision) {
    suspect_loss("store revision decreased to " + std::to_string(revision));
}

void RecoveryContext::record_missing(const std::string& key) {
    if (records_lost || missing_keys.size() >= max_missing_keys) return;
    if (missing_keys.insert(key).second) spdlog::info("event=record_missing key={}", key);
    wakeup.notify();
}

std::uint64_t RecoveryContext::newest_known_revision() const {
    auto newest = replica.revision();
    for (const auto& [member, status] : peers)
        if (status.generation == replica.generation() && status.id == replica.id())
            newest = std::max(newest, status.complete_up_to);
    return newest;
}

std::vector<History> RecoveryContext::known_histories() const {
    std::vector<History> histories;
    if (complete_marker) histories.push_back({complete_marker->generation, complete_marker->id});
    if (replica.generation()) histories.push_back({replica.generation(), replica.id()});
    for (const auto& [member, status] : peers)
        if (status.generation) histories.push_back({status.generation, status.id});
    return histories;
}

std::uint64_t RecoveryContext::newest_known_generation() const {
    std::uint64_t newest = previous_replica ? previous_replica->generation() : 0;
    for (const auto& history : known_histories()) newest = std::max(newest, history.generation);
    return newest;
}

}  // namespace flintdale::recovery
