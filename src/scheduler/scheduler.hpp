// The scheduling decisions of one leader for one term: which tasks to place, preempt and move, which machines to launch
// and release, and which records to write. Scheduler owns and connects the parts, which share a SchedulerState. No I/O,
// no clock: the loops in app/ pass in what was received and send the results. Not thread-safe.
#pragma once
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "scheduler/defragmentation.hpp"
#include "scheduler/heartbeat_reconciler.hpp"
#include "scheduler/placement_pass.hpp"
#include "scheduler/record_loader.hpp"
#include "scheduler/record_writer.hpp"
#include "scheduler/scale_in.hpp"
#include "scheduler/scale_out.hpp"
#include "scheduler/summary.hpp"

namespace flintdale::scheduler {

class Scheduler {
  public:
    // Keeps references to the settings and the record format. `term_revision`: the modification revision of the term's
    // key.
    Scheduler(const config::Settings& settings, const config::OperatorSettings& operator_settings,
              const state::RecordFormat& record_format, std::uint64_t term, std::uint64_t term_revision, TimePoint now);
    Scheduler(const Scheduler&) = delete;  // its parts hold references to one another
    Scheduler& operator=(const Scheduler&) = delete;

    // --- records and jobs ---

    // Loads all records of open jobs, read after the term was won. May be called again: jobs that are already known
    // stay unchanged. `time_of_day_ms` gives the time that jobs have waited under earlier leaders.
    void load(const std::vector<state::KeyValue>& work, TimePoint now, std::int64_t time_of_day_ms = 0) {
        loader_.load(work, now, time_of_day_ms);
    }
    // Applies one key of a job that was accepted or has an outcome. Returns whether anything changed. `time_of_day_ms`
    // gives the age of an outcome that is read late.
    bool job_changed(const state::KeyValue& item, TimePoint now, std::int64_t time_of_day_ms = 0) {
        return loader_.job_changed(item, now, time_of_day_ms);
    }
    // A peer has acknowledged the job's cancellation to a user; the outcome is recorded once the store answers. Returns
    // whether anything changed.
    bool cancelled_by_peer(const std::string& uid, TimePoint now);
    // Whether a record of an open job shows tasks that this leader does not know: a higher attempt, or placed tasks of
    // an unknown job. Only the leader writes task records, and this leader has loaded all of them, so the record was
    // restored after a loss. `over`: whether the job with that id has an outcome.
    bool is_behind(const state::KeyValue& item, const std::function<bool(const std::string&)>& over) const {
        return loader_.is_behind(item, over);
    }
    // The job was loaded as open, but has had an outcome for the time `ago`. It is cancelled whether the outcome is
    // done or cancelled: any tasks that are left must be stopped.
    void job_over(const std::string& uid, TimePoint now, Seconds ago = Seconds(0));
    // The keys that must be read and passed to job_changed: outcomes of jobs that others depend on, and fragments of
    // submissions.
    std::vector<std::string> keys_to_read() const { return loader_.keys_to_read(); }

    // --- heartbeats ---

    // The commands for the answer to the heartbeat; nothing if the heartbeat is not newer than the last one, or its
    // machine was released.
    std::optional<std::vector<model::Command>> handle_heartbeat(const model::Heartbeat& heartbeat, TimePoint now) {
        return reconciler_.handle(heartbeat, now);
    }
    // The commands that a worker whose heartbeat is not answered yet may soon get. record_write: tasks are placed there
    // whose records are not written yet. placement: the machine has room, jobs wait, and no placement pass has run
    // since the count `passes`.
    enum class ExpectedWork : std::uint8_t { none, placement, record_write };
    ExpectedWork expected_work(const model::Heartbeat& heartbeat, std::uint64_t passes) const;
    // The number of placement passes so far.
    std::uint64_t passes() const { return placement_.passes(); }
    // The run commands for tasks placed since that heartbeat, for its delayed answer; none if a newer heartbeat has
    // arrived.
    std::vector<model::Command> pending_runs(const model::Heartbeat& heartbeat) { return runs_.pending(heartbeat); }
    HeartbeatCoverage heartbeat_coverage(TimePoint now) const { return fleet_.heartbeat_coverage(now); }
    // This process was paused for `gap`. Heartbeats that it missed meanwhile do not count as silence of the machines.
    void process_paused(model::Clock::duration gap);

    // --- the cloud's answers ---

    void set_machine_types(std::vector<model::MachineType> types) { state_.inventory.set_types(std::move(types)); }
    void machines_listed(const std::vector<model::ListedMachine>& machines, TimePoint now) {
        fleet_.machines_listed(machines, now);
    }
    void machines_launched(const fleet::Pool& pool, const std::vector<std::string>& machines, TimePoint now);
    void launch_refused(const fleet::Pool& pool, TimePoint now) { state_.inventory.launch_refused(pool, now); }
    void machines_released(const std::vector<std::string>& machines, TimePoint now);

    // --- decisions ---

    // Runs a placement pass over the waiting jobs; true if any task was placed.
    bool place(TimePoint now) { return placement_.run(now); }
    // Moves tasks to machines where they start sooner, and services off machines that cost too much for the slots in
    // use.
    void relocate(TimePoint now);
    std::vector<fleet::InstanceRequest> scale_out(TimePoint now) { return scale_out_.run(now); }
    std::vector<Release> scale_in(TimePoint now) const { return scale_in_.run(now); }
    // A release of these machines is about to be sent. They are not used again, even if the release fails.
    void release_requested(const std::vector<Release>& machines);

    // --- reconciliation after records were lost ---

    // The records were rebuilt and may lack the last placements. A job is placed only once every machine that its tasks
    // may run on is reconciled: it has reported under this term, was released, or was still booting after the term
    // began. Tasks that workers report and the records lack are adopted.
    void expect_unrecorded_tasks() { state_.awaiting_reconciliation = true; }
    bool awaiting_reconciliation() const { return state_.awaiting_reconciliation; }
    // Whether a worker has reported, since the last call, a task attempt that can exist only if records were lost.
    bool take_loss_evidence() { return reconciler_.take_loss_evidence(); }

    // --- record writes ---

    // The next batch of record writes: at most `max_changes` changes, and no more than a transaction may hold.
    Batch next_batch(std::size_t max_changes, std::int64_t time_of_day_ms = 0) {
        return writer_.next_batch(max_changes, time_of_day_ms);
    }
    // Returns whether dependent jobs became ready.
    bool batch_committed(const Batch& batch, std::uint64_t revision, TimePoint now) {
        return writer_.committed(batch, revision, now);
    }
    // The store rejects the batch for good, because it exceeds a limit.
    void batch_rejected(const Batch& batch, TimePoint now) { writer_.rejected(batch, now); }
    // A key of a batch that failed, or whose result is unknown, was read again. Call this before batch_failed.
    void record_reread(const state::KeyValue& item, TimePoint now);
    void batch_failed(const Batch& batch) { writer_.failed(batch); }
    bool dirty() const { return !state_.record_queue.empty(); }
    // A transaction that removes at most `max_records` records of jobs that are over. It has the lowest priority of all
    // writes.
    state::Txn take_garbage(std::size_t max_records) { return writer_.take_garbage(max_records); }
    // The transaction of take_garbage was not committed.
    void restore_garbage(const state::Txn& txn) { state_.garbage.restore(txn); }

    // --- queries ---

    std::vector<std::string> open_jobs() const { return state_.jobs.open_jobs(); }
    bool knows(const std::string& uid) const { return state_.jobs.contains(uid); }
    std::optional<JobCount> count(const std::string& uid) const { return state_.jobs.count(uid); }
    std::vector<std::pair<std::string, JobCount>> take_changed_counts() { return state_.jobs.take_changed_counts(); }
    const Job* job(const std::string& uid) const { return state_.jobs.find(uid); }
    std::uint64_t term() const { return state_.term; }
    std::uint64_t term_revision() const { return state_.term_revision; }
    fleet::MachineInventory& inventory() { return state_.inventory; }
    // Replaces the table of quotas that was taken from the settings.
    void set_teams(quota::Table table) { state_.quota.set(std::move(table)); }
    const quota::QuotaAccounting& teams() const { return state_.quota; }
    // The number of machines that may take new tasks.
    std::size_t running_machines(TimePoint now) const { return fleet_.usable_machines(now); }
    // The waiting tasks and the load of each pool, for the debug log.
    std::string summary(TimePoint now) const { return summarize(state_, fleet_, now); }

  private:
    SchedulerState state_;
    TaskTransitions tasks_;
    JobLifecycle lifecycle_;
    JobDemand demand_;
    FleetView fleet_;
    GangBarrier gangs_;
    FailureTracker failures_;
    RunCommands runs_;
    HeartbeatReconciler reconciler_;
    PlacementQueue queue_;
    Preemption preemption_;
    Relocation relocation_;
    Defragmentation defragmentation_;
    SpareCapacity spare_;
    PlacementPass placement_;
    ScaleOut scale_out_;
    ScaleIn scale_in_;
    RecordWriter writer_;
    RecordLoader loader_;
};

}  // namespace flintdale::scheduler
