// Loads jobs from their records: all of them after an election, and single ones as their keys change.
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

    // The functions of Scheduler with the same names document these.
    void load(const std::vector<state::KeyValue>& work, TimePoint now, std::int64_t time_of_day_ms);
    bool job_changed(const state::KeyValue& item, TimePoint now, std::int64_t time_of_day_ms);
    bool is_behind(const state::KeyValue& item, const std::function<bool(const std::string&)>& over) const;
    std::vector<std::string> keys_to_read() const;

  private:
    using Records = std::vector<std::pair<WorkKey, const state::KeyValue*>>;
    // A submission that was split over several values, while some of its records are missing.
    struct FragmentedSubmission {
        state::KeyValue first;
        std::map<std::uint32_t, std::string> fragments;
        std::vector<OldRecord> records;
    };

    void load_job(const std::string& uid, Records& records, TimePoint now, std::int64_t time_of_day_ms);
    void load_without_first(const Records& records, TimePoint now);
    // Returns the recorded state of each task, and stores the records' revisions in the job.
    std::vector<model::TaskRange> read_tasks(Job& job, Records& records);
    void restore_tasks(Job& job, const std::vector<model::TaskRange>& last, TimePoint now);
    void restore_task(Job& job, std::uint32_t task, const model::TaskRange& last, TimePoint now);
    // The job that this record completes, or null if the job is known or still incomplete. `recovering`: the record may
    // contain tasks.
    Job* assemble(const WorkKey& key, const state::KeyValue& item, TimePoint now, bool recovering);
    // Adds the record to its split submission. Returns the records that are known so far, or null if the job is over.
    FragmentedSubmission* add_fragment(const WorkKey& key, const state::KeyValue& item);
    bool outcome_read(const state::KeyValue& item, TimePoint now, std::int64_t time_of_day_ms);

    SchedulerState& state_;
    TaskTransitions& tasks_;
    JobLifecycle& lifecycle_;
    std::map<std::string, FragmentedSubmission> fragmented_;
};

}  // namespace flintdale::scheduler
