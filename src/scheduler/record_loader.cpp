#include "scheduler/record_loader.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace flintdale::scheduler {

using namespace std::chrono_literals;

namespace {
constexpr std::size_t max_fragmented = 1000;  // incomplete submissions that are kept
// Cap on ages computed from another controller's clock.
constexpr std::chrono::milliseconds max_clock_age = std::chrono::hours(24);

bool is_over(DependencyGraph::Status status) {
    return status == DependencyGraph::Status::done || status == DependencyGraph::Status::cancelled;
}
}  // namespace

void RecordLoader::load(const std::vector<state::KeyValue>& work, TimePoint now, std::int64_t time_of_day_ms) {
    std::map<std::string, Records> found;
    for (const auto& item : work)
        if (auto key = parse_work_key(item.key)) found[key->uid].emplace_back(std::move(*key), &item);
    for (auto& [uid, records] : found) {
        if (state_.jobs.contains(uid)) continue;
        try {
            load_job(uid, records, now, time_of_day_ms);
        } catch (const std::exception& e) {
            spdlog::error("event=record_unreadable job={} why=\"{}\"", uid, e.what());
            // The machines of its tasks are unknown, so none of its tasks may be started.
            if (const auto* job = state_.jobs.find(uid)) state_.quota.job_closed(job->spec);
            state_.jobs.erase(uid);
        }
    }
}

void RecordLoader::load_job(const std::string& uid, Records& records, TimePoint now, std::int64_t time_of_day_ms) {
    const auto is_first = [](const auto& record) { return record.first.first(); };
    if (std::none_of(records.begin(), records.end(), is_first)) {
        load_without_first(records, now);
        return;
    }
    for (const auto& [key, item] : records) assemble(key, *item, now, true);
    auto* job = state_.jobs.find(uid);
    if (!job) return;
    // The job's wait started at its acceptance, under an earlier leader. Aging, the deadline and the rules based on
    // half of the target duration depend on that time. The wait of a job with dependencies begins when they are done;
    // here it counts from this load.
    if (const auto accepted = job->spec.accepted_ms;
        time_of_day_ms > accepted && accepted > 0 && job->spec.dependencies.empty())
        job->arrived = now - std::min(std::chrono::milliseconds(time_of_day_ms - accepted), max_clock_age);
    restore_tasks(*job, read_tasks(*job, records), now);
    if (job->done == job->spec.tasks) state_.record_queue.add(uid);
    // A task of this job was placed, so an earlier leader had read that all its dependencies are done.
    const bool was_ready = job->first_unplaced > 0;
    lifecycle_.set_dependencies(*job, was_ready ? std::vector<std::string>{} : job->spec.dependencies, now);
}

// Without its first record a job is over, and its last leader ended before it removed all records. A fragment is an
// exception: its job may have been accepted while the records were being read.
void RecordLoader::load_without_first(const Records& records, TimePoint now) {
    for (const auto& [key, item] : records)
        if (key.fragment)
            assemble(key, *item, now, true);
        else
            state_.garbage.add(item->key, item->mod_revision);
}

std::vector<model::TaskRange> RecordLoader::read_tasks(Job& job, Records& records) {
    // If two records contain the same task, the one with fewer tasks per record was written later and takes precedence.
    std::sort(records.begin(), records.end(),
              [](const auto& a, const auto& b) { return a.first.tasks_per_record > b.first.tasks_per_record; });
    std::vector<model::TaskRange> last(job.spec.tasks);
    for (const auto& [key, item] : records) {
        if (key.fragment || key.tasks_per_record > job.tasks_per_record)
            continue;  // the first record of a split submission contains no tasks
        if (key.tasks_per_record < job.tasks_per_record) job.split_records(key.tasks_per_record);
        if (key.chunk >= job.chunks.size()) continue;
        job.chunks[key.chunk].mod_revision = item->mod_revision;
        for (const auto& range : wire::ranges_from_record(item->value.as_object().at("tasks").as_array()))
            for (auto i = range.from; i <= range.to && i < job.spec.tasks; ++i) last[i] = range;
    }
    return last;
}

void RecordLoader::restore_tasks(Job& job, const std::vector<model::TaskRange>& last, TimePoint now) {
    job.first_unplaced = 0;
    for (std::uint32_t i = 0; i < job.spec.tasks; ++i) {
        restore_task(job, i, last[i], now);
        const auto& task = job.tasks[i];
        // Attempt numbers never decrease, so a task with an attempt was placed before.
        if (task.state != Task::State::waiting || task.attempt) job.first_unplaced = i + 1;
        job.gang_attempt = std::max(job.gang_attempt, task.attempt);
    }
    for (std::uint32_t i = 0; i < job.first_unplaced; ++i)
        if (job.tasks[i].state == Task::State::waiting) job.requeued.push_back(i);
}

void RecordLoader::restore_task(Job& job, std::uint32_t task, const model::TaskRange& last, TimePoint now) {
    auto& t = job.tasks[task];
    t.attempt = last.attempt;
    if (last.done) {
        t.state = Task::State::done;
        ++job.done;
    } else if (!last.machine.empty()) {
        auto& machine = state_.inventory.add(last.machine, "", "", false, now);
        tasks_.place(job, task, machine, last.attempt, now);
        state_.inherited_tasks = true;
        t.run_sent = true;  // the leader that wrote the record may have sent the run command
    }
}

bool RecordLoader::is_behind(const state::KeyValue& item, const std::function<bool(const std::string&)>& over) const {
    const auto key = parse_work_key(item.key);
    const auto* tasks = key && item.value.is_object() ? item.value.get_object().if_contains("tasks") : nullptr;
    // The watch also delivers this leader's own writes, including those of jobs that are over and no longer in memory.
    if (!tasks || !tasks->is_array() || tasks->get_array().empty() || over(key->uid)) return false;
    const auto* known = state_.jobs.find(key->uid);
    if (!known) return true;
    if (known->finished || known->cancelled) return false;
    try {
        for (const auto& range : wire::ranges_from_record(tasks->get_array()))
            for (auto i = range.from; i <= range.to && i < known->spec.tasks; ++i)
                if (range.attempt > known->tasks[i].attempt) return true;
    } catch (const std::exception&) {
        return false;
    }
    return false;
}

RecordLoader::FragmentedSubmission* RecordLoader::add_fragment(const WorkKey& key, const state::KeyValue& item) {
    if (is_over(state_.dependencies.status(key.uid))) return nullptr;
    if (fragmented_.size() >= max_fragmented) fragmented_.clear();
    auto& known = fragmented_[key.uid];
    if (!key.fragment) {
        known.first = item;
        return &known;
    }
    const auto& text = item.value.as_object().at("text").as_string();
    if (known.fragments.emplace(key.fragment, std::string(text)).second)
        known.records.push_back({item.key, item.mod_revision});
    return &known;
}

Job* RecordLoader::assemble(const WorkKey& key, const state::KeyValue& item, TimePoint now, bool recovering) {
    const auto& record = item.value.as_object();
    if (state_.jobs.contains(key.uid) || (!key.first() && !key.fragment)) return nullptr;
    FragmentedSubmission submission;
    if (key.fragment || record.if_contains("cut")) {
        const auto* known = add_fragment(key, item);
        if (!known || !known->first.mod_revision) return nullptr;
        submission = *known;
    } else {
        submission.first = item;
    }
    const auto& first = submission.first.value.as_object();
    // The watch also delivers this leader's own writes, possibly late and for jobs that are over and no longer in
    // memory. Only a record without tasks belongs to a newly accepted job.
    if (!recovering && !first.at("tasks").as_array().empty()) return nullptr;
    auto spec = spec_from_records(first, submission.fragments);
    if (!spec) return nullptr;
    auto& job = lifecycle_.create(std::move(*spec), now, recovering);
    job.chunks[0].mod_revision = submission.first.mod_revision;
    job.superseded = std::move(submission.records);
    // The first record of a split submission cannot be rewritten with tasks, because it does not contain the
    // submission. The tasks go to smaller records.
    if (first.if_contains("cut")) job.split_records(job.tasks_per_record / 2);
    fragmented_.erase(key.uid);
    state_.jobs.mark_count_changed(key.uid);
    return &job;
}

bool RecordLoader::job_changed(const state::KeyValue& item, TimePoint now, std::int64_t time_of_day_ms) {
    if (!item.mod_revision || !item.value.is_object()) return false;
    try {
        if (!item.key.starts_with(work_prefix)) return outcome_read(item, now, time_of_day_ms);
        const auto key = parse_work_key(item.key);
        auto* job = key ? assemble(*key, item, now, false) : nullptr;
        if (job) lifecycle_.set_dependencies(*job, job->spec.dependencies, now);
        return job != nullptr;
    } catch (const std::exception& e) {
        spdlog::error("event=record_unreadable key={} why=\"{}\"", item.key, e.what());
    }
    return false;
}

// Returns whether the outcome changed anything.
bool RecordLoader::outcome_read(const state::KeyValue& item, TimePoint now, std::int64_t time_of_day_ms) {
    const auto& record = item.value.get_object();
    const auto outcome = wire::job_state_from(std::string_view(record.at("state").as_string()));
    const auto uid = item.key.substr(item.key.rfind('/') + 1);
    const auto* at = record.if_contains("at");
    const auto ended_at = at ? at->to_number<std::int64_t>() : 0;
    bool changed = lifecycle_.apply(state_.dependencies.closed(uid, outcome == model::JobState::done, ended_at), now);
    auto* job = state_.jobs.find(uid);
    if (!job || job->finished) return changed;
    if (outcome == model::JobState::cancelled) {
        changed = changed || !job->cancelled;
        // After a refusal or an outage of the store the watch delivers the cancellation late. The cancel deadline runs
        // from the time of the outcome.
        const auto since = at ? std::chrono::milliseconds(time_of_day_ms - ended_at) : 0ms;
        lifecycle_.cancel(*job, now - std::clamp<std::chrono::milliseconds>(since, 0ms, max_clock_age));
        return changed;
    }
    if (job->cancelled) return changed;
    lifecycle_.finish(*job);
    state_.record_queue.add(uid);
    return true;
}

std::vector<std::string> RecordLoader::keys_to_read() const {
    std::vector<std::string> out;
    for (const auto& uid : state_.dependencies.unknown()) out.push_back(outcome_key(uid));
    for (const auto& [uid, submission] : fragmented_) {
        if (!submission.first.mod_revision) {
            out.push_back(work_key(uid, 0));
            continue;
        }
        const auto count = submission.first.value.as_object().at("cut").to_number<std::uint32_t>();
        for (std::uint32_t n = 1; n <= count; ++n)
            if (!submission.fragments.contains(n)) out.push_back(fragment_key(uid, n));
    }
    return out;
}

}  // namespace flintdale::scheduler
