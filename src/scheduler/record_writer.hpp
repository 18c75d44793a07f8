// Writes changed jobs to the store in transactions of limited size, and applies the results. Each transaction is
// conditioned on the term and on the last known revisions of the records.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "scheduler/job_lifecycle.hpp"

namespace flintdale::scheduler {

// One transaction, and the records and outcomes that it writes.
struct Batch {
    struct Part {
        std::string uid;
        std::uint32_t chunk = 0, generation = 0;
        enum class Kind : std::uint8_t { write, finish, abort } kind = Kind::write;
        std::int64_t at = 0;  // of an outcome: the time of day in milliseconds
    };
    state::Txn txn;
    std::vector<Part> parts;
    std::vector<std::string> keys;  // all keys that the transaction is conditioned on, except the term's
    bool empty() const { return txn.changes.empty(); }
};

class RecordWriter {
  public:
    RecordWriter(SchedulerState& state, JobLifecycle& lifecycle) : state_(state), lifecycle_(lifecycle) {}

    // Takes jobs from the record queue: at most `max_changes` changes, and no more than a transaction may hold.
    Batch next_batch(std::size_t max_changes, std::int64_t time_of_day_ms);
    // The batch was committed at that revision. Returns whether dependent jobs became ready.
    bool committed(const Batch& batch, std::uint64_t revision, TimePoint now);
    // The store rejects the batch for good, because it exceeds a limit.
    void rejected(const Batch& batch, TimePoint now);
    // The batch failed, or its result is unknown and its keys have been read again.
    void failed(const Batch& batch);
    // A work record was read again. Its revision replaces the last known one.
    void record_reread(const WorkKey& key, const state::KeyValue& item);
    state::Txn take_garbage(std::size_t max_records);

  private:
    // A batch under construction.
    struct Draft {
        Batch batch;
        std::size_t max_changes = 0;  // limit on the number of changes
        std::size_t bytes = 0;        // estimated size
        bool full() const;
    };
    void add_job(const std::string& uid, std::int64_t time_of_day_ms, Draft& draft);
    void add_outcome(const Job& job, model::JobState outcome, std::int64_t time_of_day_ms, Draft& draft) const;
    // Returns whether all changed records fit into the batch.
    bool add_changed_records(Job& job, Draft& draft);
    struct ChangedRecord {
        std::uint32_t chunk;
        boost::json::object record;
    };
    // The records of the job that must be written, each within the limit on values.
    std::vector<ChangedRecord> changed_records(Job& job);
    // Removes the job from the table, and adds its records to the garbage.
    void forget(const std::string& uid);

    SchedulerState& state_;
    JobLifecycle& lifecycle_;
    // Number of next batches with a single change, to isolate the change that the store rejects.
    std::size_t single_batches_ = 0;
};

}  // namespace flintdale::scheduler
