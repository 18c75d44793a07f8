#include "api/known_jobs.hpp"

#include <spdlog/spdlog.h>

#include "wire/json.hpp"

namespace flintdale::api {

using model::JobState;

std::optional<KnownJob> known_from(const state::KeyValue& record) {
    try {
        const auto& o = record.value.as_object();
        KnownJob out;
        if (const auto* state = o.if_contains("state"))
            out.state = wire::job_state_from(std::string_view(state->as_string()));
        out.size = wire::size_from_record(o);
        if (const auto* spec = o.if_contains("spec"); spec && !out.over())
            out.dependencies = wire::spec_from_record(spec->as_object()).dependencies;
        return out;
    } catch (const std::exception& e) {
        spdlog::error("event=record_unreadable key={} why=\"{}\"", record.key, e.what());
        return std::nullopt;
    }
}

JobEvidence KnownJobs::find(const std::string& uid) {
    auto& by_uid = entries_.get<1>();
    const auto it = by_uid.find(uid);
    if (it == by_uid.end()) return nullptr;
    entries_.relocate(entries_.begin(), entries_.project<0>(it));
    return it->job;
}

JobEvidence KnownJobs::learn(const std::string& uid, KnownJob job) {
    if (auto known = find(uid); known && known->over()) return known;
    auto evidence = std::make_shared<const KnownJob>(std::move(job));
    const auto [it, fresh] = entries_.push_front({uid, evidence});
    if (!fresh) entries_.modify(it, [&](Entry& e) { e.job = evidence; });
    if (entries_.size() > most_) entries_.pop_back();
    return evidence;
}

void KnownJobs::forget_open() {
    entries_.remove_if([](const Entry& e) { return !e.job->over(); });
}

}  // namespace flintdale::api
