// What the overseer puts on record.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "agent/overseer.hpp"
#include "election/elector.hpp"

namespace flintdale::agent {

namespace {
constexpr std::size_t max_txn_bytes = 44 * 1024;
}  // namespace

Batch Overseer::next_batch(std::size_t most) {
    Batch batch;
    most = std::clamp<std::size_t>(most, 2, settings_.txn_ops);
    batch.txn.conditions.push_back({election::term_key, term_stamp_});
    std::size_t bytes = 0;
    std::size_t looked = 0;
    const auto count = dirty_.size();
    while (looked++ < count && batch.txn.changes.size() < most && bytes < max_txn_bytes) {
        const auto uid = dirty_.front();
        dirty_.pop_front();
        dirty_set_.erase(uid);
        auto* job = find(uid);
        if (!job) continue;
        const bool complete = job->done == job->spec.tasks && !job->cancelled && !job->finished;
        const bool over = job->finished || (job->cancelled && job->placed == 0);
        bool left = false;
        if (over) {
            forget(uid);
        } else if (complete) {
            // Whoever comes first decides between done and cancelled: both are conditioned on there being no outcome.
            batch.txn.conditions.push_back({outcome_key(uid), 0});
            batch.txn.changes.push_back({outcome_key(uid), outcome_record(job->spec, wire::JobState::done), 0});
            batch.parts.push_back({uid, 0, job->generation, Batch::Part::Kind::finish});
            batch.keys.push_back(outcome_key(uid));
            bytes += 1024;
        } else if (!job->cancelled) {
            for (std::uint32_t c = 0; c < job->chunks.size(); ++c) {
                auto& chunk = job->chunks[c];
                if (chunk.durable >= chunk.changed) continue;
                if (batch.txn.changes.size() >= most || bytes >= max_txn_bytes) {
                    left = true;
                    break;
                }
                auto record = work_record(*job, c);
                bytes += 600 + record["tasks"].as_array().size() * 32;
                // No placement may be added once the job was cancelled.
                if (batch.keys.empty() || batch.keys.back() != outcome_key(uid)) {
                    batch.txn.conditions.push_back({outcome_key(uid), 0});
                    batch.keys.push_back(outcome_key(uid));
                }
                batch.txn.conditions.push_back({work_key(uid, c), chunk.stamp});
                batch.txn.changes.push_back({work_key(uid, c), std::move(record), 0});
                batch.parts.push_back({uid, c, chunk.changed, Batch::Part::Kind::write});
                batch.keys.insert(batch.keys.end() - 1, work_key(uid, c));
            }
        }
        if (left) mark_dirty(uid);
    }
    return batch;
}

// The job is over and none of its tasks is anywhere. Workers that still show one are told to clear it. Its records may
// stay for a while: what reads them looks for an outcome as well.
void Overseer::forget(const std::string& uid) {
    const auto& chunks = find(uid)->chunks;
    for (std::uint32_t c = 0; c < chunks.size(); ++c)
        if (chunks[c].stamp) leftovers_.emplace_back(work_key(uid, c), chunks[c].stamp);
    jobs_.erase(uid);
}

state::Txn Overseer::leftovers(std::size_t most) {
    state::Txn txn;
    for (; !leftovers_.empty() && txn.changes.size() < most; leftovers_.pop_back()) {
        const auto& [key, stamp] = leftovers_.back();
        txn.conditions.push_back({key, stamp});
        txn.changes.push_back({key, std::nullopt, 0});
    }
    if (!txn.changes.empty()) txn.conditions.push_back({election::term_key, term_stamp_});
    return txn;
}

void Overseer::keep_leftovers(const state::Txn& txn) {
    for (std::size_t i = 0; i < txn.changes.size(); ++i)
        leftovers_.emplace_back(txn.conditions[i].key, txn.conditions[i].stamp);
}

void Overseer::committed(const Batch& batch, std::uint64_t revision, TimePoint now) {
    for (const auto& p : batch.parts) {
        auto* job = find(p.uid);
        if (!job) continue;
        switch (p.kind) {
            case Batch::Part::Kind::write:
                job->chunks[p.chunk].stamp = revision;
                job->chunks[p.chunk].durable = std::max(job->chunks[p.chunk].durable, p.generation);
                break;
            case Batch::Part::Kind::finish:
                spdlog::info("event=job_done job={} class={} seconds={:.1f}", p.uid, job->spec.job_class,
                             Seconds(now - job->arrived).count());
                job->finished = true;
                break;
        }
        if (job->finished || job->cancelled) mark_dirty(p.uid);
    }
}

void Overseer::reread(const state::Item& item, TimePoint now) {
    std::string uid;
    std::uint32_t chunk = 0;
    if (parse_work_key(item.key, uid, chunk)) {
        if (auto* job = find(uid); job && chunk < job->chunks.size()) job->chunks[chunk].stamp = item.stamp;
        return;
    }
    job_changed(item, now);
}

void Overseer::retry(const Batch& batch) {
    for (const auto& p : batch.parts) mark_dirty(p.uid);
}

}  // namespace flintdale::agent
