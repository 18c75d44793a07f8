#include "api/job_knowledge.hpp"

namespace flintdale::api {

using model::JobState;

JobEvidence JobKnowledge::learn(const std::string& uid, const state::KeyValue& record) {
    if (!record.mod_revision) return nullptr;
    auto job = job_from_record(record);
    return job ? cache_.learn(uid, std::move(*job)) : nullptr;
}

JobEvidence JobKnowledge::learn_cancelled(const std::string& uid, const model::JobSize& size) {
    return cache_.learn(uid, {JobState::cancelled, size, {}});
}

// A job that was over once stays over, whatever has become of its record.
JobEvidence JobKnowledge::remembered_as_over(const std::string& uid) {
    const auto remembered = memory_.remembered(uid);
    if (!remembered || remembered->state == JobState::open) return nullptr;
    return cache_.learn(uid, {remembered->state, remembered->size, {}});
}

JobEvidence JobKnowledge::find(const std::string& uid) {
    auto cached = cache_.find(uid);
    if (cached && cached->over()) return cached;
    if (auto over = remembered_as_over(uid)) return over;
    if (cached) return cached;
    const auto record = memory_.open_record(uid);
    return record ? learn(uid, *record) : nullptr;
}

JobEvidence JobKnowledge::newest(const std::string& uid, JobEvidence checked) {
    if (checked && checked->over()) return checked;
    if (auto cached = cache_.find(uid); cached && cached->over()) return cached;
    if (auto over = remembered_as_over(uid)) return over;
    return checked;
}

// Outcomes are restored last after a loss: that there never was such a job, or that it may be accepted as a new one,
// must not be said of a job that is remembered here. If it was remembered when the service was asked, GuardedStore has
// not let the answer through; if it is by now, another controller has just accepted it, and the client retries.
JobCheck JobKnowledge::not_on_record(const std::string& uid) {
    if (auto over = remembered_as_over(uid)) return {true, std::move(over)};
    const bool never_was = !memory_.remembered(uid) && memory_.knows_all_jobs();
    return {never_was, nullptr};
}

}  // namespace flintdale::api
