// The decisions of one leader for one term: what to place, preempt, move, launch and release, and what to put on
// record. Scheduler owns the parts, each of which has one job, and connects them; the parts share a SchedulerState. It
// does no I/O and reads no clock: the loops in app/ bring what was received and send what it decides. Not thread-safe.
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
    // Keeps references to the settings and the record format. `term_revision`: of the key of the term.
    Scheduler(const config::Settings& settings, const config::OperatorSettings& operator_settings,
              const state::RecordFormat& record_format, std::uint64_t term, std::uint64_t term_revision, TimePoint now);
    Scheduler(const Scheduler&) = delete;  // its parts refer to one another
    Scheduler& operator=(const Scheduler&) = delete;

    // --- records and jobs ---

    // Takes in all records of open work, read after the term was won. May be called again; jobs already known are left
    // alone. `at` is the time of day, for how long jobs have waited under earlier leaders.
    void load(const std::vector<state::KeyValue>& work, TimePoint now, std::int64_t at = 0) {
        loader_.load(work, now, at);
    }
    // Takes in one key of a job that was accepted or is over. False if that changes nothing. `at`, the time of day,
    // says how long ago an outcome that is read late was written.
    bool job_changed(const state::KeyValue& item, TimePoint now, std::int64_t at = 0) {
        return loader_.job_changed(item, now, at);
    }
    // A peer has acknowledged the cancellation to users; the record follows when the store answers. False if that
    // changes nothing.
    bool cancelled_by_peer(const std::string& uid, TimePoint now);
    // Whether a record of open work shows a task further than this leader knows it to be. Only leaders write where
    // tasks are, so it was put back after a loss, and this leader has read all without it. `over`: whether a job is.
    bool is_behind(const state::KeyValue& item, const std::function<bool(const std::string&)>& over) const {
        return loader_.is_behind(item, over);
    }
    // The job, read as open work, has had an outcome for so long. Done or cancelled makes no difference now: what may
    // be left of it must go.
    void job_over(const std::string& uid, TimePoint now, Seconds ago = Seconds(0));
    // Keys to be read and passed to job_changed: outcomes of jobs that others need, and fragments of submissions.
    std::vector<std::string> keys_to_read() const { return loader_.keys_to_read(); }

    // --- heartbeats ---

    // The commands that answer the heartbeat; nothing if it is older than what is known or must not be answered.
    std::optional<std::vector<model::Command>> handle_heartbeat(const model::Heartbeat& heartbeat, TimePoint now) {
        return reconciler_.handle(heartbeat, now);
    }
    // What to expect for a worker whose heartbeat is not answered yet. a_write: tasks placed there are not on record
    // yet; a_plan: it has room, and jobs wait that were not planned since that many passes.
    enum class ExpectedWork : std::uint8_t { none, placement, record_write };
    ExpectedWork expected_work(const model::Heartbeat& heartbeat, std::uint64_t passes) const;
    // The number of placement passes so far.
    std::uint64_t passes() const { return placement_.passes(); }
    // Runs of tasks placed since that heartbeat, for its answer; none if a newer heartbeat has come.
    std::vector<model::Command> pending_runs(const model::Heartbeat& heartbeat) { return runs_.pending(heartbeat); }
    HeartbeatCoverage heartbeat_coverage(TimePoint now) const { return fleet_.heartbeat_coverage(now); }
    // This process was paused for so long: heartbeats that it did not receive meanwhile say nothing about machines.
    void process_paused(model::Clock::duration gap);

    // --- the cloud's answers ---

    void set_machine_types(std::vector<model::MachineType> types) { state_.inventory.set_types(std::move(types)); }
    void machines_listed(const std::vector<model::ListedMachine>& machines, TimePoint now) {
        fleet_.machines_listed(machines, now);
    }
    void machines_launched(const fleet::Pool& pool, const std::vector<std::string>& machines, TimePoint now);
    void launch_refused(const fleet::Pool& pool, TimePoint now) { state_.inventory.refused(pool, now); }
    void machines_released(const std::vector<std::string>& machines, TimePoint now);

    // --- decisions ---

    // Places what waits; true if any task was placed.
    bool place(TimePoint now) { return placement_.run(now); }
    // Moves tasks to where they start sooner, and services off machines that are not worth their price.
    void relocate(TimePoint now);
    std::vector<fleet::InstanceRequest> scale_out(TimePoint now) { return scale_out_.run(now); }
    std::vector<Release> scale_in(TimePoint now) const { return scale_in_.run(now); }
    // The release is about to be sent: whatever becomes of it, these machines are not used again.
    void release_requested(const std::vector<Release>& machines);

    // --- reconciliation after records were lost ---

    // The records are rebuilt and may lack the last placements. A job is placed once every machine that its tasks may
    // run on has reported under this term, or was released, or cannot have been up; and tasks that workers show beyond
    // the records are adopted.
    void expect_unrecorded_tasks() { state_.awaiting_reconciliation = true; }
    bool awaiting_reconciliation() const { return state_.awaiting_reconciliation; }
    // Whether a worker has shown, since the last call, what cannot be unless records were lost.
    bool take_loss_evidence() { return reconciler_.take_loss_evidence(); }

    // --- record writes ---

    // At most so many changes; no more than a transaction may hold. `at` is the time of day in milliseconds.
    Batch next_batch(std::size_t most, std::int64_t at = 0) { return writer_.next_batch(most, at); }
    // True if jobs may start now that waited for others.
    bool batch_committed(const Batch& batch, std::uint64_t revision, TimePoint now) {
        return writer_.committed(batch, revision, now);
    }
    // The store will never take the batch as it is.
    void batch_rejected(const Batch& batch, TimePoint now) { writer_.rejected(batch, now); }
    // A key of a batch that failed, or whose result is unknown, was read again. Comes before batch_failed.
    void record_reread(const state::KeyValue& item, TimePoint now);
    void batch_failed(const Batch& batch) { writer_.failed(batch); }
    bool dirty() const { return !state_.record_queue.empty(); }
    // Removes up to so many records of jobs that are over, for when there is nothing better to write.
    state::Txn take_garbage(std::size_t most) { return writer_.take_garbage(most); }
    // The removal was not committed.
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
    // The teams' figures, where they differ from the settings.
    void set_teams(quota::Table table) { state_.quota.set(std::move(table)); }
    const quota::QuotaAccounting& teams() const { return state_.quota; }
    // Machines that may take new tasks.
    std::size_t running_machines(TimePoint now) const { return fleet_.usable_machines(now); }
    // Waiting tasks and the load of each pool, for the debug log.
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
