#include "scheduler/record_writer.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "election/elector.hpp"

namespace flintdale::scheduler {

namespace {
constexpr std::size_t max_txn_bytes = 44 * 1024;
constexpr std::size_t outcome_bytes = 1024;  // estimated sizes, compared with max_txn_bytes
constexpr std::size_t work_bytes = 600, range_bytes = 32;
constexpr std::chrono::seconds retry_rejected{10};  // delay before a rejected record is written again
}  // namespace

bool RecordWriter::Draft::full() const { return batch.txn.changes.size() >= max_changes || bytes >= max_txn_bytes; }

Batch RecordWriter::next_batch(std::size_t max_changes, std::int64_t time_of_day_ms) {
    Draft draft;
    draft.max_changes = std::clamp<std::size_t>(max_changes, 2, state_.record_format.limits().txn_ops);
    if (single_batches_ > 0) {
        --single_batches_;
        draft.max_changes = 1;
    }
    draft.batch.txn.conditions.push_back({election::term_key, state_.term_revision});
    auto left = state_.record_queue.size();
    for (; left > 0 && !draft.full(); --left) add_job(state_.record_queue.pop(), time_of_day_ms, draft);
    return std::move(draft.batch);
}

void RecordWriter::add_job(const std::string& uid, std::int64_t time_of_day_ms, Draft& draft) {
    auto* job = state_.jobs.find(uid);
    if (!job) return;
    const bool complete = job->done == job->spec.tasks && !job->cancelled && !job->finished;
    const bool over = job->finished || (job->cancelled && job->placed == 0);
    if (over)
        forget(uid);
    else if (job->dependency_failed && !job->cancelled)
        add_outcome(*job, model::JobState::cancelled, time_of_day_ms, draft);
    else if (complete)
        add_outcome(*job, model::JobState::done, time_of_day_ms, draft);
    else if (!job->cancelled && !add_changed_records(*job, draft))
        state_.record_queue.add(uid);
}

// Done and cancelled outcomes both require that the key is absent, so the first one to be committed wins.
void RecordWriter::add_outcome(const Job& job, model::JobState outcome, std::int64_t time_of_day_ms,
                               Draft& draft) const {
    const auto& uid = job.spec.uid;
    const auto key = outcome_key(uid);
    const auto spec = wire::spec_to_record(job.spec);
    auto record = outcome_record(state_.record_format, outcome, time_of_day_ms, &spec, {job.spec.kind, job.spec.tasks});
    const auto kind = outcome == model::JobState::done ? Batch::Part::Kind::finish : Batch::Part::Kind::abort;
    draft.batch.txn.conditions.push_back({key, 0});
    draft.batch.txn.changes.push_back({key, std::move(record), 0});
    draft.batch.parts.push_back({uid, 0, job.generation, kind, time_of_day_ms});
    draft.batch.keys.push_back(key);
    draft.bytes += outcome_bytes;
}

bool RecordWriter::add_changed_records(Job& job, Draft& draft) {
    const auto& uid = job.spec.uid;
    auto& batch = draft.batch;
    const auto outcome = outcome_key(uid);
    for (auto& [index, record] : changed_records(job)) {
        const auto& chunk = job.chunks[index];
        if (draft.full()) return false;
        draft.bytes += work_bytes + record["tasks"].as_array().size() * range_bytes;
        // No placement may be recorded once the job has an outcome.
        if (batch.keys.empty() || batch.keys.back() != outcome) {
            batch.txn.conditions.push_back({outcome, 0});
            batch.keys.push_back(outcome);
        }
        const auto key = work_key(uid, index, job.tasks_per_record);
        batch.txn.conditions.push_back({key, chunk.mod_revision});
        batch.txn.changes.push_back({key, std::move(record), 0});
        batch.parts.push_back({uid, index, chunk.changed, Batch::Part::Kind::write, 0});
        batch.keys.insert(batch.keys.end() - 1, key);
    }
    return true;
}

std::vector<RecordWriter::ChangedRecord> RecordWriter::changed_records(Job& job) {
    std::vector<ChangedRecord> out;
    for (std::uint32_t i = 0; i < job.chunks.size(); ++i) {
        if (job.chunks[i].durable >= job.chunks[i].changed) continue;
        auto record = work_record(job, i);
        if (state_.record_format.newest() && job.tasks_per_record > 1 && !state_.record_format.fits(record)) {
            job.split_records(job.tasks_per_record / 2);
            spdlog::debug("event=records_split job={} tasks={}", job.spec.uid, job.tasks_per_record);
            return changed_records(job);
        }
        out.push_back({i, std::move(record)});
    }
    return out;
}

// The job is over and no machine runs any of its tasks. A worker that still reports one gets a clear command. Readers
// of its remaining records check for an outcome, so the records may be removed later.
void RecordWriter::forget(const std::string& uid) {
    auto& job = *state_.jobs.find(uid);
    job.split_records(job.tasks_per_record);
    // Garbage is removed last in, first out. The first record must be removed last: as long as it exists, the other
    // records are known to belong to a job.
    std::stable_partition(job.superseded.begin(), job.superseded.end(),
                          [&](const OldRecord& record) { return record.key == work_key(uid, 0); });
    for (const auto& record : job.superseded) state_.garbage.add(record.key, record.mod_revision);
    state_.jobs.erase(uid);
}

state::Txn RecordWriter::take_garbage(std::size_t max_records) {
    auto txn = state_.garbage.take(std::min(max_records, state_.record_format.limits().txn_ops));
    if (!txn.changes.empty()) txn.conditions.push_back({election::term_key, state_.term_revision});
    return txn;
}

bool RecordWriter::committed(const Batch& batch, std::uint64_t revision, TimePoint now) {
    bool ready = false;
    for (const auto& part : batch.parts) {
        auto* job = state_.jobs.find(part.uid);
        if (!job) continue;
        switch (part.kind) {
            case Batch::Part::Kind::write:
                job->chunks[part.chunk].mod_revision = revision;
                job->chunks[part.chunk].durable = std::max(job->chunks[part.chunk].durable, part.generation);
                break;
            case Batch::Part::Kind::finish:
                spdlog::info("event=job_done job={} class={} seconds={:.1f}", part.uid, job->spec.job_class,
                             Seconds(now - job->arrived).count());
                lifecycle_.finish(*job);
                ready = lifecycle_.apply(state_.dependencies.closed(part.uid, true, part.at), now) || ready;
                break;
            case Batch::Part::Kind::abort:
                lifecycle_.cancel(*job, now);
                lifecycle_.apply(state_.dependencies.closed(part.uid, false, part.at), now);
                break;
        }
        if (job->finished || job->cancelled) state_.record_queue.add(part.uid);
    }
    return ready;
}

// A record that is always rejected must not block the writes of other jobs. Each record of the batch is retried alone;
// the rejected one is split, or deferred.
void RecordWriter::rejected(const Batch& batch, TimePoint now) {
    if (batch.parts.size() > 1) {
        single_batches_ = batch.parts.size();
        for (auto part = batch.parts.rbegin(); part != batch.parts.rend(); ++part)
            state_.record_queue.add_first(part->uid);
        return;
    }
    for (const auto& part : batch.parts) {
        auto* job = state_.jobs.find(part.uid);
        if (!job) continue;
        if (part.kind == Batch::Part::Kind::write && job->tasks_per_record > 1 && state_.record_format.newest()) {
            job->split_records(job->tasks_per_record / 2);
            state_.record_queue.add(part.uid);
            continue;
        }
        spdlog::error("event=record_rejected job={} chunk={}", part.uid, part.chunk);
        state_.record_queue.add_later(part.uid, now + retry_rejected);
    }
}

void RecordWriter::failed(const Batch& batch) {
    for (const auto& part : batch.parts) state_.record_queue.add(part.uid);
}

void RecordWriter::record_reread(const WorkKey& key, const state::KeyValue& item) {
    auto* job = state_.jobs.find(key.uid);
    if (job && !key.fragment && key.tasks_per_record == job->tasks_per_record && key.chunk < job->chunks.size())
        job->chunks[key.chunk].mod_revision = item.mod_revision;
}

}  // namespace flintdale::scheduler
