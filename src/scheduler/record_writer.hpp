// Puts the changes of jobs on record: transactions of limited size, conditioned on the term and on the records' last
// known revisions, and what follows from their results.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "scheduler/job_lifecycle.hpp"

namespace flintdale::scheduler {

// One transaction, and what it writes.
struct Batch {
    struct Part {
        std::string uid;
        std::uint32_t chunk = 0, generation = 0;
        enum class Kind : std::uint8_t { write, finish, abort } kind = Kind::write;
        std::int64_t at = 0;  // of an outcome, by the time of day
    };
    state::Txn txn;
    std::vector<Part> parts;
    std::vector<std::string> keys;  // all whose revisions the batch depends on, the term's aside
    bool empty() const { return txn.changes.empty(); }
};

class RecordWriter {
  public:
    RecordWriter(SchedulerState& state, JobLifecycle& lifecycle) : state_(state), lifecycle_(lifecycle) {}

    // Takes jobs from the record queue, up to so many changes and no more than a transaction may hold. `at` is the
    // time of day in milliseconds.
    Batch next_batch(std::size_t most, std::int64_t at);
    // The batch was committed at that revision. True if jobs may start now that waited for others.
    bool committed(const Batch& batch, std::uint64_t revision, TimePoint now);
    // The store will never take the batch as it is.
    void rejected(const Batch& batch, TimePoint now);
    // The batch failed, or its result is unknown and its keys were read again.
    void failed(const Batch& batch);
    // A record of tasks was read again: its revision replaces the known one.
    void record_reread(const WorkKey& key, const state::KeyValue& item);
    state::Txn take_garbage(std::size_t most);

  private:
    // A batch that is being put together.
    struct Draft {
        Batch batch;
        std::size_t most = 0;   // changes
        std::size_t bytes = 0;  // estimated
        bool full() const;
    };
    void add_job(const std::string& uid, std::int64_t at, Draft& draft);
    void add_outcome(const Job& job, model::JobState outcome, std::int64_t at, Draft& draft) const;
    // Returns whether all changed records found room.
    bool add_changed_records(Job& job, Draft& draft);
    struct ChangedRecord {
        std::uint32_t chunk;
        boost::json::object record;
    };
    // The records of the job that have to be written, each within the limit on values.
    std::vector<ChangedRecord> changed_records(Job& job);
    // Removes the job from the table and leaves its records to be removed.
    void forget(const std::string& uid);

    SchedulerState& state_;
    JobLifecycle& lifecycle_;
    std::size_t single_batches_ = 0;  // so many batches hold one change, to find the one that the store rejects
};

}  // namespace flintdale::scheduler
