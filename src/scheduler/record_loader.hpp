// Reads jobs from their records: all of them after a failover, and single ones as they change.
#pragma once
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "scheduler/job_lifecycle.hpp"

namespace flintdale::scheduler {

class RecordLoader {
  public:
    RecordLoader(SchedulerState& state, TaskTransitions& tasks, JobLifecycle& lifecycle)
        : state_(state), tasks_(tasks), lifecycle_(lifecycle) {}

    // See Scheduler for these.
    void load(const std::vector<state::KeyValue>& work, TimePoint now, std::int64_t at);
    bool job_changed(const state::KeyValue& item, TimePoint now, std::int64_t at);
    bool is_behind(const state::KeyValue& item, const std::function<bool(const std::string&)>& over) const;
    std::vector<std::string> keys_to_read() const;

  private:
    using Records = std::vector<std::pair<WorkKey, const state::KeyValue*>>;
    // A submission too long for one value, until all its fragments are there.
    struct FragmentedSubmission {
        state::KeyValue first;
        std::map<std::uint32_t, std::string> fragments;
        std::vector<OldRecord> records;
    };

    void load_job(const std::string& uid, Records& records, TimePoint now, std::int64_t at);
    void load_without_first(const Records& records, TimePoint now);
    // The tasks' places by the job's records; also notes the records' revisions.
    std::vector<model::TaskRange> read_tasks(Job& job, Records& records);
    void restore_tasks(Job& job, const std::vector<model::TaskRange>& last, TimePoint now);
    void restore_task(Job& job, std::uint32_t task, const model::TaskRange& last, TimePoint now);
    // The new job that this record completes, or null. `recovering`: the record may show tasks.
    Job* assemble(const WorkKey& key, const state::KeyValue& item, TimePoint now, bool recovering);
    // Adds the record to its fragmented submission. Returns what is known of it, or null if it is not wanted.
    FragmentedSubmission* add_fragment(const WorkKey& key, const state::KeyValue& item);
    bool outcome_read(const state::KeyValue& item, TimePoint now, std::int64_t wall);

    SchedulerState& state_;
    TaskTransitions& tasks_;
    JobLifecycle& lifecycle_;
    std::map<std::string, FragmentedSubmission> fragmented_;
};

}  // namespace flintdale::scheduler
