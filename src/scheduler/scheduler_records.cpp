// What the scheduler puts on record.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "election/elector.hpp"
#include "model/job.hpp"
#include "model/task.hpp"
#include "scheduler/scheduler.hpp"

namespace flintdale::scheduler {

using namespace std::chrono_literals;

namespace {
constexpr std::size_t max_txn_bytes = 44 * 1024;
constexpr std::size_t max_cut = 1000;                                       // submissions of which pieces are awaited
constexpr std::chrono::milliseconds longest_wait = std::chrono::hours(24);  // that a clock is believed
constexpr std::chrono::seconds try_again{10};  // after which a rejected record is tried again
}  // namespace

struct Scheduler::Found {
    std::vector<std::pair<WorkKey, const state::KeyValue*>> records;
};

// --- what is on record ---

void Scheduler::load(const std::vector<state::KeyValue>& work, TimePoint now, std::int64_t at) {
    std::map<std::string, Found> found;
    for (const auto& item : work)
        if (auto key = parse_work_key(item.key)) found[key->uid].records.emplace_back(std::move(*key), &item);
    for (auto& [uid, records] : found) {
        if (jobs_.contains(uid)) continue;
        try {
            recover(uid, records, now, at);
        } catch (const std::exception& e) {
            spdlog::error("event=record_unreadable job={} why=\"{}\"", uid, e.what());
            // Where its tasks are cannot be told, so none of them may be started.
            if (const auto* job = find(uid)) teams_.over(job->spec);
            jobs_.erase(uid);
        }
    }
}

void Scheduler::recover(const std::string& uid, Found& found, TimePoint now, std::int64_t at) {
    auto& records = found.records;
    const auto is_first = [](const auto& r) { return r.first.first(); };
    if (std::none_of(records.begin(), records.end(), is_first)) {
        // The job is over, and its last leader ended before it had removed every record. A submission's piece without
        // its beginning may be of a job that was accepted while the records were being read.
        for (const auto& [key, item] : records)
            if (key.piece)
                assembled(key, *item, now, true);
            else
                leftovers_.emplace_back(item->key, item->mod_revision);
        return;
    }
    for (const auto& [key, item] : records) assembled(key, *item, now, true);
    auto* job = find(uid);
    if (!job) return;
    // Its wait did not begin with this leader: age, deadline and what is due after half of an aim's time go by it. One
    // that waited for others counts from when they were done, and is not older than this leader knows.
    if (const auto accepted = job->spec.accepted_ms; at > accepted && accepted > 0 && job->spec.dependencies.empty())
        job->arrived = now - std::min(std::chrono::milliseconds(at - accepted), longest_wait);
    // Of two records with the same task the one with fewer tasks holds; it was written later.
    std::sort(records.begin(), records.end(), [](const auto& a, const auto& b) { return a.first.page > b.first.page; });
    std::vector<model::TaskRange> last(job->spec.tasks);
    for (const auto& [key, item] : records) {
        if (key.piece || key.page > job->page) continue;  // the beginning of a cut submission has no tasks
        if (key.page < job->page) job->use_pages(key.page);
        if (key.chunk >= job->chunks.size()) continue;
        job->chunks[key.chunk].mod_revision = item->mod_revision;
        for (const auto& r : wire::ranges_from_record(item->value.as_object().at("tasks").as_array()))
            for (auto i = r.from; i <= r.to && i < job->spec.tasks; ++i) last[i] = r;
    }
    // Attempts never fall, so a task with an attempt was placed once.
    job->fresh = 0;
    for (std::uint32_t i = 0; i < job->spec.tasks; ++i) {
        auto& t = job->tasks[i];
        const auto& r = last[i];
        t.attempt = r.attempt;
        if (r.done) {
            t.state = Task::State::done;
            ++job->done;
        } else if (!r.machine.empty()) {
            auto& m = inventory_.add(r.machine, "", "", false, now);
            set_placed(*job, i, m, r.attempt, now);
            inherited_ = true;
            t.sent = true;  // by the leader that wrote the record, for all this one knows
        }
        if (t.state != Task::State::waiting || t.attempt) job->fresh = i + 1;
        job->gang_attempt = std::max(job->gang_attempt, t.attempt);
    }
    for (std::uint32_t i = 0; i < job->fresh; ++i)
        if (job->tasks[i].state == Task::State::waiting) job->again.push_back(i);
    if (job->done == job->spec.tasks) mark_dirty(uid);
    // Whoever placed some of it had read that all it needs is done.
    need(*job, job->fresh ? std::vector<std::string>{} : job->spec.dependencies, now);
}

bool Scheduler::is_behind(const state::KeyValue& item, const std::function<bool(const std::string&)>& over) const {
    const auto key = parse_work_key(item.key);
    const auto* tasks = key && item.value.is_object() ? item.value.get_object().if_contains("tasks") : nullptr;
    // Our own writes are seen here as well, those of jobs that are over and forgotten included.
    if (!tasks || !tasks->is_array() || tasks->get_array().empty() || over(key->uid)) return false;
    const auto* known = job(key->uid);
    if (!known) return true;
    if (known->finished || known->cancelled) return false;
    try {
        for (const auto& r : wire::ranges_from_record(tasks->get_array()))
            for (auto i = r.from; i <= r.to && i < known->spec.tasks; ++i)
                if (r.attempt > known->tasks[i].attempt) return true;
    } catch (const std::exception&) {
        return false;
    }
    return false;
}

// The new job that this record completes, if it does.
Job* Scheduler::assembled(const WorkKey& key, const state::KeyValue& item, TimePoint now, bool recovering) {
    const auto& o = item.value.as_object();
    if (find(key.uid) || (!key.first() && !key.piece)) return nullptr;
    Cut cut;
    if (key.piece || o.if_contains("cut")) {
        using Fate = DependencyGraph::Fate;
        const auto fate = dependency_graph_.fate(key.uid);
        if (fate == Fate::done || fate == Fate::cancelled) return nullptr;
        if (cut_.size() >= max_cut) cut_.clear();
        auto& known = cut_[key.uid];
        if (!key.piece)
            known.first = item;
        else if (known.pieces.emplace(key.piece, std::string(o.at("text").as_string())).second)
            known.records.push_back({item.key, item.mod_revision});
        if (!known.first.mod_revision) return nullptr;
        cut = known;
    } else {
        cut.first = item;
    }
    const auto& first = cut.first.value.as_object();
    // Our own writes are seen here as well, late ones of jobs that are over and forgotten included: only a record
    // without any task is that of a job just accepted.
    if (!recovering && !first.at("tasks").as_array().empty()) return nullptr;
    auto spec = spec_from_records(first, cut.pieces);
    if (!spec) return nullptr;
    auto& job = create(std::move(*spec), now, recovering);
    job.chunks[0].mod_revision = cut.first.mod_revision;
    job.overruled = std::move(cut.records);
    // The first record holds no submission that could be written again beside its tasks.
    if (first.if_contains("cut")) job.use_pages(job.page / 2);
    cut_.erase(key.uid);
    counts_changed_.insert(key.uid);
    return &job;
}

bool Scheduler::job_changed(const state::KeyValue& item, TimePoint now, std::int64_t wall) {
    if (!item.mod_revision || !item.value.is_object()) return false;
    try {
        if (item.key.starts_with(work_prefix)) {
            const auto key = parse_work_key(item.key);
            auto* job = key ? assembled(*key, item, now, false) : nullptr;
            if (job) need(*job, job->spec.dependencies, now);
            return job != nullptr;
        }
        const auto& o = item.value.get_object();
        const auto state = wire::job_state_from(std::string_view(o.at("state").as_string()));
        const auto uid = item.key.substr(item.key.rfind('/') + 1);
        const auto* at = o.if_contains("at");
        bool news = take_in(
            dependency_graph_.over(uid, state == model::JobState::done, at ? at->to_number<std::int64_t>() : 0), now);
        auto* job = find(uid);
        if (!job || job->finished) return news;
        if (state == model::JobState::cancelled) {
            news = news || !job->cancelled;
            // A watch that stood open through a refusal or an outage tells of it late, and cancel_s has run since.
            const auto since = at ? std::chrono::milliseconds(wall - at->to_number<std::int64_t>()) : 0ms;
            cancel(*job, now - std::clamp<std::chrono::milliseconds>(since, 0ms, longest_wait));
            return news;
        }
        if (job->cancelled) return news;
        job->finished = true;
        teams_.over(job->spec);
        mark_dirty(uid);
        return true;
    } catch (const std::exception& e) {
        spdlog::error("event=record_unreadable key={} why=\"{}\"", item.key, e.what());
    }
    return false;
}

bool Scheduler::cancelled_by_peer(const std::string& uid, TimePoint now) {
    auto* job = find(uid);
    if (!job || job->cancelled || job->finished) return false;
    cancel(*job, now);
    return true;
}

void Scheduler::job_over(const std::string& uid, TimePoint now, Seconds ago) {
    if (auto* job = find(uid); job && !job->finished) {
        dependency_graph_.over_somehow(uid);
        cancel(*job, now - model::to_clock(ago));
    }
}

// --- prerequisites ---

void Scheduler::need(Job& job, const std::vector<std::string>& dependencies, TimePoint now) {
    const auto& uid = job.spec.uid;
    const auto news = dependency_graph_.opened(uid, job.spec.priority, dependencies);
    job.priority = dependency_graph_.priority(uid);
    job.waits = dependency_graph_.waits(uid);
    if (!job.waits && !dependencies.empty()) take_in({{uid}, {}, {}}, now);
    take_in(news, now);
}

bool Scheduler::take_in(const DependencyGraph::News& news, TimePoint now) {
    for (const auto& uid : news.ready) {
        auto* job = find(uid);
        if (!job) continue;
        // All its times count from now on. The windows of those before it closed long ago: it has been known for at
        // least as long as any window gathers, and must not wait for another.
        job->waits = false;
        job->arrived = job->eligible_at = now;
        if (const auto at = dependency_graph_.ready_at(uid)) job->window = window_at(at);
        spdlog::debug("event=job_dependencies_done job={} class={}", uid, job->spec.job_class);
    }
    // Before all other records: its users may be told by then.
    for (const auto& uid : news.doomed)
        if (auto* job = find(uid); job && !job->doomed) {
            spdlog::info("event=job_dependency_failed job={}", uid);
            job->doomed = true;
            mark_urgent(uid);
        }
    for (const auto& uid : news.priority_changed)
        if (auto* job = find(uid)) job->priority = dependency_graph_.priority(uid);
    return !news.ready.empty() || !news.doomed.empty();
}

std::vector<std::string> Scheduler::keys_to_read() const {
    std::vector<std::string> out;
    for (const auto& uid : dependency_graph_.unknown()) out.push_back(outcome_key(uid));
    for (const auto& [uid, cut] : cut_)
        if (!cut.first.mod_revision) {
            out.push_back(work_key(uid, 0));
        } else {
            const auto pieces = cut.first.value.as_object().at("cut").to_number<std::uint32_t>();
            for (std::uint32_t n = 1; n <= pieces; ++n)
                if (!cut.pieces.contains(n)) out.push_back(piece_key(uid, n));
        }
    return out;
}

// --- what has to be put there ---

boost::json::object Scheduler::outcome(const Job& job, model::JobState state, std::int64_t at) const {
    const auto spec = wire::spec_to_record(job.spec);
    return outcome_record(record_format_, state, at, &spec, {job.spec.kind, job.spec.tasks});
}

std::vector<std::pair<std::uint32_t, boost::json::object>> Scheduler::changed_records(Job& job) {
    std::vector<std::pair<std::uint32_t, boost::json::object>> out;
    for (std::uint32_t c = 0; c < job.chunks.size(); ++c) {
        if (job.chunks[c].durable >= job.chunks[c].changed) continue;
        auto record = work_record(job, c);
        if (record_format_.newest() && job.page > 1 && !record_format_.fits(record)) {
            job.use_pages(job.page / 2);
            spdlog::debug("event=records_split job={} tasks={}", job.spec.uid, job.page);
            return changed_records(job);
        }
        out.emplace_back(c, std::move(record));
    }
    return out;
}

Batch Scheduler::next_batch(std::size_t most, std::int64_t at) {
    Batch batch;
    most = std::clamp<std::size_t>(most, 2, record_format_.limits().txn_ops);
    if (singles_ > 0) {
        --singles_;
        most = 1;
    }
    batch.txn.conditions.push_back({election::term_key, term_revision_});
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
        } else if (job->doomed && !job->cancelled) {
            batch.txn.conditions.push_back({outcome_key(uid), 0});
            batch.txn.changes.push_back({outcome_key(uid), outcome(*job, model::JobState::cancelled, at), 0});
            batch.parts.push_back({uid, 0, job->generation, Batch::Part::Kind::abort, at});
            batch.keys.push_back(outcome_key(uid));
            bytes += 1024;
        } else if (complete) {
            // Whoever comes first decides between done and cancelled: both are conditioned on there being no outcome.
            batch.txn.conditions.push_back({outcome_key(uid), 0});
            batch.txn.changes.push_back({outcome_key(uid), outcome(*job, model::JobState::done, at), 0});
            batch.parts.push_back({uid, 0, job->generation, Batch::Part::Kind::finish, at});
            batch.keys.push_back(outcome_key(uid));
            bytes += 1024;
        } else if (!job->cancelled) {
            for (auto& [c, record] : changed_records(*job)) {
                auto& chunk = job->chunks[c];
                if (batch.txn.changes.size() >= most || bytes >= max_txn_bytes) {
                    left = true;
                    break;
                }
                bytes += 600 + record["tasks"].as_array().size() * 32;
                // No placement may be added once the job was cancelled.
                if (batch.keys.empty() || batch.keys.back() != outcome_key(uid)) {
                    batch.txn.conditions.push_back({outcome_key(uid), 0});
                    batch.keys.push_back(outcome_key(uid));
                }
                const auto key = work_key(uid, c, job->page);
                batch.txn.conditions.push_back({key, chunk.mod_revision});
                batch.txn.changes.push_back({key, std::move(record), 0});
                batch.parts.push_back({uid, c, chunk.changed, Batch::Part::Kind::write, 0});
                batch.keys.insert(batch.keys.end() - 1, key);
            }
        }
        if (left) mark_dirty(uid);
    }
    return batch;
}

// The job is over and none of its tasks is anywhere. Workers that still show one are told to clear it. Its records may
// stay for a while: what reads them looks for an outcome as well.
void Scheduler::forget(const std::string& uid) {
    // The first record goes last: as long as it is there, the others are known to be somebody's.
    auto& job = *find(uid);
    job.use_pages(job.page);
    std::stable_partition(job.overruled.begin(), job.overruled.end(),
                          [&](const OldRecord& r) { return r.key == work_key(uid, 0); });
    for (const auto& r : job.overruled) leftovers_.emplace_back(r.key, r.mod_revision);
    jobs_.erase(uid);
}

state::Txn Scheduler::take_garbage(std::size_t most) {
    state::Txn txn;
    most = std::min(most, record_format_.limits().txn_ops);
    for (; !leftovers_.empty() && txn.changes.size() < most; leftovers_.pop_back()) {
        const auto& [key, mod_revision] = leftovers_.back();
        txn.conditions.push_back({key, mod_revision});
        txn.changes.push_back({key, std::nullopt, 0});
    }
    if (!txn.changes.empty()) txn.conditions.push_back({election::term_key, term_revision_});
    return txn;
}

void Scheduler::garbage_kept(const state::Txn& txn) {
    for (std::size_t i = 0; i < txn.changes.size(); ++i)
        leftovers_.emplace_back(txn.conditions[i].key, txn.conditions[i].mod_revision);
}

bool Scheduler::batch_committed(const Batch& batch, std::uint64_t revision, TimePoint now) {
    bool ready = false;
    for (const auto& p : batch.parts) {
        auto* job = find(p.uid);
        if (!job) continue;
        switch (p.kind) {
            case Batch::Part::Kind::write:
                job->chunks[p.chunk].mod_revision = revision;
                job->chunks[p.chunk].durable = std::max(job->chunks[p.chunk].durable, p.generation);
                break;
            case Batch::Part::Kind::finish:
                spdlog::info("event=job_done job={} class={} seconds={:.1f}", p.uid, job->spec.job_class,
                             Seconds(now - job->arrived).count());
                job->finished = true;
                teams_.over(job->spec);
                ready = take_in(dependency_graph_.over(p.uid, true, p.at), now) || ready;
                break;
            case Batch::Part::Kind::abort:
                cancel(*job, now);
                take_in(dependency_graph_.over(p.uid, false, p.at), now);
                break;
        }
        if (job->finished || job->cancelled) mark_dirty(p.uid);
    }
    return ready;
}

// One record that is never taken must not stop all others: each is tried alone, and the one at fault is cut smaller, or
// left for a while.
void Scheduler::batch_rejected(const Batch& batch, TimePoint now) {
    if (batch.parts.size() > 1) {
        singles_ = batch.parts.size();
        for (auto p = batch.parts.rbegin(); p != batch.parts.rend(); ++p) mark_urgent(p->uid);
        return;
    }
    for (const auto& p : batch.parts) {
        auto* job = find(p.uid);
        if (!job) continue;
        if (p.kind == Batch::Part::Kind::write && job->page > 1 && record_format_.newest()) {
            job->use_pages(job->page / 2);
            mark_dirty(p.uid);
            continue;
        }
        spdlog::error("event=record_rejected job={} chunk={}", p.uid, p.chunk);
        if (later_set_.insert(p.uid).second) due_later_.emplace_back(now + try_again, p.uid);
    }
}

void Scheduler::record_reread(const state::KeyValue& item, TimePoint now) {
    if (const auto key = parse_work_key(item.key)) {
        auto* job = find(key->uid);
        if (job && !key->piece && key->page == job->page && key->chunk < job->chunks.size())
            job->chunks[key->chunk].mod_revision = item.mod_revision;
        return;
    }
    job_changed(item, now);
}

void Scheduler::batch_failed(const Batch& batch) {
    for (const auto& p : batch.parts) mark_dirty(p.uid);
}

}  // namespace flintdale::scheduler
