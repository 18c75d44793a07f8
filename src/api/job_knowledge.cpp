#include "api/job_knowledge.hpp"

namespace flintdale::api {

using model::JobState;

KnownJobPtr JobKnowledge::learn(const std::string& uid, const state::KeyValue& record) {
    if (!record.mod_revision) return nullptr;
    auto job = job_from_record(record);
    return job ? cache_.learn(uid, std::move(*job)) : nullptr;
}

KnownJobPtr JobKnowledge::learn_cancelled(const std::string& uid, const model::JobSize& size) {
    return cache_.learn(uid, {JobState::cancelled, size, {}});
}

// An ended job stays ended, even if its record was lost.
KnownJobPtr JobKnowledge::find_ended_in_memory(const std::string& uid) {
    const auto remembered = memory_.remembered(uid);
    if (!remembered || remembered->state == JobState::open) return nullptr;
    return cache_.learn(uid, {remembered->state, remembered->size, {}});
}

KnownJobPtr JobKnowledge::find(const std::string& uid) {
    auto cached = cache_.find(uid);
    if (cached && cached->ended()) return cached;
    if (auto ended = find_ended_in_memory(uid)) return ended;
    if (cached) return cached;
    const auto record = memory_.open_record(uid);
    return record ? learn(uid, *record) : nullptr;
}

KnownJobPtr JobKnowledge::newest(const std::string& uid, KnownJobPtr checked) {
    if (checked && checked->ended()) return checked;
    if (auto cached = cache_.find(uid); cached && cached->ended()) return cached;
    if (auto ended = find_ended_in_memory(uid)) return ended;
    return checked;
}

// After a loss of records, outcomes are restored last. So a remembered job must neither be reported as nonexistent nor
// be accepted again as a new job. If it was remembered when the request was sent, GuardedStore has withheld the
// response. If it is remembered only since then, another controller has just accepted it, and the client retries.
JobCheck JobKnowledge::result_if_absent(const std::string& uid) {
    if (auto ended = find_ended_in_memory(uid)) return {true, std::move(ended)};
    const bool never_accepted = !memory_.remembered(uid) && memory_.knows_all_jobs();
    return {never_accepted, nullptr};
}

}  // namespace flintdale::api
