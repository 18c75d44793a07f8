// An open job and its tasks as the leader keeps them in memory, and the formats of their records in the key-value
// store.
#pragma once
#include <deque>

#include "fleet/machine_inventory.hpp"
#include "model/clock.hpp"
#include "model/job.hpp"
#include "state/record_format.hpp"
#include "state/store.hpp"
#include "wire/json.hpp"

namespace flintdale::scheduler {

using fleet::Machine;
using fleet::TaskKey;
using model::JobSpec;
using model::Seconds;
using model::TimePoint;

// Tasks per record. If a record exceeds the limit on values, the job changes to smaller records, halving the size each
// time. A record with fewer tasks supersedes a larger one for its own tasks. So the larger records need not be
// rewritten, and the records are readable by the next leader after each single write.
inline constexpr std::uint32_t chunk_tasks = 256;

// The leader's knowledge of a task.
struct Task {
    enum class State : std::uint8_t { waiting, placed, done };
    State state = State::waiting;
    bool run_sent = false;  // a run command may have been sent, by this leader or an earlier one
    bool reported = false;  // its machine has reported this attempt
    bool started = false;   // reported as running
    // Gang member whose worker gave up waiting for the rest of the gang; its room stays reserved.
    bool at_barrier = false;
    bool draining = false;         // must be stopped: preempted, moved, or its machine is terminated
    std::uint32_t generation = 0;  // last change; the worker may forget the task once this generation is on record
    std::uint64_t attempt = 0;
    // The number of the last heartbeat that reported it, as HeartbeatReconciler counts them.
    std::uint64_t last_heartbeat_number = 0;
    // Another attempt of the task that its machine holds, or held when it last reported, and that has not exited; 0:
    // none. While there is one, the task is on its machine, whatever is known of the current attempt.
    std::uint64_t other_attempt = 0;
    std::uint64_t other_attempt_heartbeat_number = 0;  // of the last heartbeat that reported another attempt
    Machine* machine = nullptr;
    TimePoint running_since{}, placed_at{};

    // Whether its machine may hold any attempt of the task.
    bool may_be_on_machine() const { return run_sent || other_attempt != 0; }
};

// One record of some of a job's tasks.
struct Chunk {
    std::uint64_t mod_revision = 0;          // of the key; 0: the key is absent
    std::uint32_t changed = 0, durable = 0;  // generations of the last change and of the last recorded change
};

// A stored key that is no longer written, and is removed together with the job.
struct OldRecord {
    std::string key;
    std::uint64_t mod_revision = 0;
};

// An open job.
struct Job {
    JobSpec spec;
    mutable placement::Requirements ask;                 // the placement requirements, computed on first use
    model::Priority priority = model::Priority::normal;  // its own, or inherited from a dependent job
    bool waits_for_dependencies = false;                 // some of its dependencies are not known to be done
    bool dependency_failed = false;                      // a dependency was cancelled, so this job must be cancelled
    bool cancelled = false;
    bool finished = false;  // its outcome is recorded
    std::uint32_t tasks_per_record = chunk_tasks;
    std::vector<Task> tasks;
    std::vector<Chunk> chunks;
    std::vector<OldRecord> superseded;  // old records, removed together with the job
    std::uint32_t generation = 0, done = 0, placed = 0, running = 0;

    std::deque<std::uint32_t> requeued;  // waiting tasks that were placed before
    std::uint32_t first_unplaced = 0;    // this task and all after it were never placed
    std::int64_t window = 0;
    bool passed_over = false;  // some of its tasks found no room in the last placement pass
    TimePoint arrived{}, eligible_at{}, cancelled_at{}, next_preemption_at{}, room_expected_at{};

    // Gangs only.
    std::uint64_t gang_attempt = 0;
    bool gang_started = false, gang_failing = false;
    std::uint32_t members_at_barrier = 0;
    TimePoint barrier_since{};  // since when members wait at the barrier while some have no machine

    std::set<std::string> failed_on;     // names of machines
    unsigned errors = 0, back_offs = 0;  // failed tasks, and pauses after failures

    bool is(model::JobKind s) const { return spec.kind == s; }
    // Whether any of its tasks has ever succeeded: a replica runs, or a task is done.
    bool has_succeeded() const { return done > 0 || (is(model::JobKind::service) && running > 0); }
    // Whether an attempt of a gang has failed and its tasks are not all gone yet.
    bool is_failing_gang() const { return is(model::JobKind::gang) && gang_failing; }
    // The job failed on several machines and never succeeded, so the job is at fault, not the machines. Until a task
    // succeeds, one task at a time is tried (gangs pause equally long between tries). No machine is requested, no room
    // reserved and no other task preempted for such a job.
    bool crash_looping() const { return !has_succeeded() && failed_on.size() >= 2; }
    // Tasks that are neither placed nor done.
    std::uint32_t waiting() const { return spec.tasks - done - placed; }
    bool runnable() const { return !cancelled && !finished && !waits_for_dependencies && !dependency_failed; }
    std::uint32_t chunk_of(std::uint32_t task) const { return task / tasks_per_record; }
    // Changes to records of `tasks` tasks, at most as many as before. The old records are superseded.
    void split_records(std::uint32_t tasks);
    // Whether the last change of the task is recorded.
    bool durable(std::uint32_t task) const { return chunks[chunk_of(task)].durable >= tasks[task].generation; }
};

// An open job is stored only in its work records, so one write accepts it. Its outcome has a key of its own, which is
// absent while the job is open. Once written it is permanent, whether or not the work records have been removed.
inline constexpr const char* jobs_prefix = "jobs/";
inline constexpr const char* work_prefix = "jobs/work/";
inline constexpr const char* over_prefix = "jobs/over/";

// The keys of a job's outcome, of one of its work records, and of one fragment of its submission.
std::string outcome_key(const std::string& uid);
std::string work_key(const std::string& uid, std::uint32_t chunk, std::uint32_t tasks_per_record = chunk_tasks);
std::string fragment_key(const std::string& uid, std::size_t fragment);
// Whether the item is the outcome of a cancelled job.
bool is_cancelled(const state::KeyValue& item);
// The parts of a work key. It names a record of some of a job's tasks, or a fragment of a submission that is too long
// for one value.
struct WorkKey {
    std::string uid;
    std::uint32_t chunk = 0, tasks_per_record = chunk_tasks;
    std::uint32_t fragment = 0;  // 0: not a fragment
    bool first() const { return chunk == 0 && tasks_per_record == chunk_tasks && fragment == 0; }
};
// Returns nothing if the key is not a work key.
std::optional<WorkKey> parse_work_key(const std::string& key);

// The value of an outcome key. `spec`: the submission's record, or null if unknown; left out where the value would be
// too long. `at`: the time of day in milliseconds, or 0 if unknown.
boost::json::object outcome_record(const state::RecordFormat& record_format, model::JobState state, std::int64_t at,
                                   const boost::json::object* spec, const model::JobSize& size);
// The value of the work record of that chunk of tasks.
boost::json::object work_record(const Job& job, std::uint32_t chunk);
// The value of the first work record of a newly accepted job.
boost::json::object first_work_record(const JobSpec& spec);
// All work records of a newly accepted job, in order; empty if they exceed the limits of the store.
std::vector<state::Change> accepted_records(const JobSpec& spec, const state::RecordFormat& record_format);
// Whether controllers that read only older record formats can read the job.
bool readable_by_all(const JobSpec& spec, const state::RecordFormat& record_format);

// The submission from its first record and, if it was split, its fragments by number; nothing while fragments are
// missing. Throws if a record is malformed.
std::optional<JobSpec> spec_from_records(const boost::json::object& first,
                                         const std::map<std::uint32_t, std::string>& fragments);

}  // namespace flintdale::scheduler
