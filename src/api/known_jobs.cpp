#include "api/known_jobs.hpp"

#include <spdlog/spdlog.h>

#include "wire/json.hpp"

namespace flintdale::api {

using model::JobState;

std::optional<KnownJob> job_from_record(const state::KeyValue& record) {
    try {
        const auto& fields = record.value.as_object();
        KnownJob job;
        if (const auto* state = fields.if_contains("state"))
            job.state = wire::job_state_from(std::string_view(state->as_string()));
        job.size = wire::size_from_record(fields);
        if (const auto* spec = fields.if_contains("spec"); spec && !job.ended())
            job.dependencies = wire::spec_from_record(spec->as_object()).dependencies;
        return job;
    } catch (const std::exception& e) {
        spdlog::error("event=record_unreadable key={} why=\"{}\"", record.key, e.what());
        return std::nullopt;
    }
}

KnownJobPtr KnownJobs::find(const std::string& uid) {
    auto& by_uid = entries_.get<1>();
    const auto it = by_uid.find(uid);
    if (it == by_uid.end()) return nullptr;
    entries_.relocate(entries_.begin(), entries_.project<0>(it));
    return it->job;
}

KnownJobPtr KnownJobs::learn(const std::string& uid, KnownJob job) {
    if (auto known = find(uid); known && known->ended()) return known;
    auto stored = std::make_shared<const KnownJob>(std::move(job));
    const auto [it, inserted] = entries_.push_front({uid, stored});
    if (!inserted) entries_.modify(it, [&](Entry& entry) { entry.job = stored; });
    if (entries_.size() > capacity_) entries_.pop_back();
    return stored;
}

void KnownJobs::invalidate_open_jobs() {
    entries_.remove_if([](const Entry& entry) { return !entry.job->ended(); });
}

}  // namespace flintdale::api
