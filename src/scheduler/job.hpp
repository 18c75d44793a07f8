// An open job and its tasks as the leader keeps them in memory, and their records in the key-value store.
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

// Tasks per record. Where the limit on values does not allow that many, a job changes to smaller records, half the size
// each time: a record of fewer tasks supersedes one of more for all of its tasks, so that what was written in the
// larger size need not be written again, and each write by itself leaves what the next leader can read.
inline constexpr std::uint32_t chunk_tasks = 256;

// A task as the leader knows it.
struct Task {
    enum class State : std::uint8_t { waiting, placed, done };
    State state = State::waiting;
    bool run_sent = false;         // a run command may have left, from this leader or an earlier one
    bool reported = false;         // by its machine, in this attempt
    bool started = false;          // reported as running
    bool at_barrier = false;       // gang member whose worker gave up waiting for the others; its place is kept
    bool draining = false;         // to be stopped: preempted, moved, or its machine goes
    std::uint32_t generation = 0;  // of the change that the record must hold before the worker may forget the task
    std::uint64_t attempt = 0;
    std::uint64_t shown_in = 0;  // the last heartbeat that showed it, by this leader's count
    Machine* machine = nullptr;
    TimePoint running_since{}, placed_at{};
};

// One record of the tasks of a job.
struct Chunk {
    std::uint64_t mod_revision = 0;          // of the key; 0: absent
    std::uint32_t changed = 0, durable = 0;  // generations of the last change, and of the last one on record
};

// A key on record that is not written again, to be removed with the job.
struct OldRecord {
    std::string key;
    std::uint64_t mod_revision = 0;
};

// An open job.
struct Job {
    JobSpec spec;
    mutable placement::Requirements ask;                 // its requirements in numbers, made when first needed
    model::Priority priority = model::Priority::normal;  // its own, or that of a job which needs it
    bool waits_for_dependencies = false;                 // not all jobs that it needs are known to be done
    bool dependency_failed = false;                      // a job that it needs was cancelled: so must it be
    bool cancelled = false;
    bool finished = false;  // the outcome is durable
    std::uint32_t tasks_per_record = chunk_tasks;
    std::vector<Task> tasks;
    std::vector<Chunk> chunks;
    std::vector<OldRecord> superseded;  // records that are to be removed with the job
    std::uint32_t generation = 0, done = 0, placed = 0, running = 0;

    std::deque<std::uint32_t> requeued;  // waiting tasks that were placed before
    std::uint32_t first_unplaced = 0;    // tasks from here on were never placed
    std::int64_t window = 0;
    bool passed_over = false;  // when its turn came, not all of it found room
    TimePoint arrived{}, eligible_at{}, cancelled_at{}, preempt_again{}, room_made_by{};

    // Gangs only.
    std::uint64_t gang_attempt = 0;
    bool gang_started = false, gang_failing = false;
    std::uint32_t members_at_barrier = 0;
    TimePoint barrier_since{};  // since when members wait while others have no place

    std::set<std::string> failed_on;     // machines
    unsigned errors = 0, back_offs = 0;  // tasks that failed; pauses that followed

    bool is(model::JobKind s) const { return spec.kind == s; }
    // Whether any of its tasks ever succeeded: a replica that runs, a task that is done.
    bool has_succeeded() const { return done > 0 || (is(model::JobKind::service) && running > 0); }
    // It failed on different machines and never succeeded: the job, rather than the machines, is at fault. It is tried
    // with one task (a gang: as seldom) until one succeeds; no machine is requested, no room reserved and no other task
    // stopped for it.
    bool crash_looping() const { return !has_succeeded() && failed_on.size() >= 2; }
    // Tasks that are neither placed nor done.
    std::uint32_t waiting() const { return spec.tasks - done - placed; }
    bool runnable() const { return !cancelled && !finished && !waits_for_dependencies && !dependency_failed; }
    std::uint32_t chunk_of(std::uint32_t task) const { return task / tasks_per_record; }
    // From now on its records have so many tasks, not more than before; the old records are superseded.
    void split_records(std::uint32_t tasks);
    // Whether the last change of the task is on record.
    bool durable(std::uint32_t task) const { return chunks[chunk_of(task)].durable >= tasks[task].generation; }
};

// An open job is in its records of work, and nowhere else, so that one write accepts it. Its outcome is a key of its
// own: absent while the job is open, and permanent once it is over, whether or not the records of work have been
// removed.
inline constexpr const char* jobs_prefix = "jobs/";
inline constexpr const char* work_prefix = "jobs/work/";
inline constexpr const char* over_prefix = "jobs/over/";

// The key of a job's outcome, of one of its records of tasks, and of one fragment of its submission.
std::string outcome_key(const std::string& uid);
std::string work_key(const std::string& uid, std::uint32_t chunk, std::uint32_t tasks_per_record = chunk_tasks);
std::string fragment_key(const std::string& uid, std::size_t fragment);
// Whether the item is the outcome of a job that was cancelled.
bool is_cancelled(const state::KeyValue& item);
// What a key of open work names: some of a job's tasks, or a fragment of a submission that is too long for one value.
struct WorkKey {
    std::string uid;
    std::uint32_t chunk = 0, tasks_per_record = chunk_tasks;
    std::uint32_t fragment = 0;  // 0: none
    bool first() const { return chunk == 0 && tasks_per_record == chunk_tasks && fragment == 0; }
};
// Nothing if it is not a key of open work.
std::optional<WorkKey> parse_work_key(const std::string& key);

// The record of an outcome. `spec`: the submission's record, or null if it is not at hand; it is left out where the
// value would be too long. `at`: the time of day in milliseconds, or 0.
boost::json::object outcome_record(const state::RecordFormat& record_format, model::JobState state, std::int64_t at,
                                   const boost::json::object* spec, const model::JobSize& size);
// The record of that chunk of tasks.
boost::json::object work_record(const Job& job, std::uint32_t chunk);
// The first record of a job that was just accepted.
boost::json::object first_work_record(const JobSpec& spec);
// All records of a job that was just accepted, the first of them first; empty if they exceed the limits of the store.
std::vector<state::Change> accepted_records(const JobSpec& spec, const state::RecordFormat& record_format);
// Whether controllers that read only older record formats could read the job.
bool readable_by_all(const JobSpec& spec, const state::RecordFormat& record_format);

// A submission from its first record and, where it was fragmented, its fragments by number; nothing while some are
// missing. Throws if a record is malformed.
std::optional<JobSpec> spec_from_records(const boost::json::object& first,
                                         const std::map<std::uint32_t, std::string>& fragments);

}  // namespace flintdale::scheduler
