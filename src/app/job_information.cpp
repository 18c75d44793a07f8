#include "app/job_information.hpp"

#include "scheduler/job.hpp"

namespace flintdale::app {

namespace {
constexpr std::size_t max_peer_counts = 20'000;
}  // namespace

api::DisplayCount JobInformation::display_count(const std::string& uid) const {
    if (leadership_.current)
        if (const auto count = leadership_.current->scheduler().count(uid)) return {count->done, count->running};
    const auto it = peer_counts_.find(uid);
    return it == peer_counts_.end() ? api::DisplayCount{} : it->second;
}

void JobInformation::peer_counts_received(const std::vector<peer::JobCount>& counts) {
    if (peer_counts_.size() > max_peer_counts) peer_counts_.clear();
    for (const auto& count : counts) peer_counts_[count.uid] = {count.done, count.running};
}

std::optional<api::RememberedJob> JobInformation::remembered(const std::string& uid) const {
    auto outcome = recovery_.outcome_of(uid);
    // No user is told that a job is cancelled before that is on record: so what a peer says of it is as good.
    if ((!outcome || outcome->state == model::JobState::open) && cancellations_.knows(uid)) {
        if (!outcome) outcome.emplace();
        outcome->state = model::JobState::cancelled;
    }
    if (!outcome) return std::nullopt;
    return api::RememberedJob{outcome->state, outcome->size};
}

std::optional<state::KeyValue> JobInformation::open_record(const std::string& uid) const {
    auto key = scheduler::work_key(uid, 0);
    const auto record = recovery_.replica().record(key);
    // A record that is deferred, or damaged, is read from the state service.
    if (!record || record->mod_revision <= recovery::deferred_mod_revision) return std::nullopt;
    state::KeyValue item;
    item.key = std::move(key);
    boost::json::error_code error;
    item.value = boost::json::parse(record->text, error);
    item.mod_revision = record->mod_revision;
    if (error || !item.value.is_object()) return std::nullopt;
    return item;
}

}  // namespace flintdale::app
