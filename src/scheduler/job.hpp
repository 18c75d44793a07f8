// An open job and its tasks, as the leader keeps them in memory, and their form in the state service.
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

// Tasks per record of the state service. Where the limit on values does not let that many be kept, a job goes over to
// smaller records, half the size each time: a record of fewer tasks overrules one of more for all of its tasks, so that
// what was written in its size need not be written again, and each write by itself leaves what the next leader can
// read.
inline constexpr std::uint32_t chunk_tasks = 256;

struct Task {
    enum class State : std::uint8_t { waiting, placed, done };
    State state = State::waiting;
    bool sent = false;             // a `run` may have left, from this leader or an earlier one
    bool seen = false;             // reported on its machine
    bool started = false;          // seen past its image
    bool parked = false;           // of a gang: gave up waiting for the others, its room and image are kept for it
    bool draining = false;         // to be stopped, for its machine's sake or another job's
    std::uint32_t generation = 0;  // of the change that the record must hold before the worker may forget the task
    std::uint64_t attempt = 0;
    std::uint64_t shown_in = 0;  // the last report of its machine that showed it, by this leader's count
    Machine* machine = nullptr;
    TimePoint running_since{}, placed_at{};
};

struct Chunk {
    std::uint64_t mod_revision = 0;          // of the key; 0: absent
    std::uint32_t changed = 0, durable = 0;  // generations
};

// A key on record that is not written again, to be removed with the job.
struct OldRecord {
    std::string key;
    std::uint64_t mod_revision = 0;
};

struct Job {
    JobSpec spec;
    mutable placement::Ask ask;                          // its wishes in numbers, made when first needed
    model::Priority priority = model::Priority::normal;  // its own, or that of a job which needs it
    bool waits = false;                                  // not all that it needs is known to be done
    bool doomed = false;                                 // something that it needs was cancelled: so must it be
    bool cancelled = false;
    bool finished = false;             // the outcome is durable
    std::uint32_t page = chunk_tasks;  // tasks per record
    std::vector<Task> tasks;
    std::vector<Chunk> chunks;
    std::vector<OldRecord> overruled;
    std::uint32_t generation = 0, done = 0, placed = 0, running = 0;

    std::deque<std::uint32_t> again;  // waiting tasks that were placed before
    std::uint32_t fresh = 0;          // tasks from here on were never placed
    std::int64_t window = 0;
    bool passed_over = false;  // when its turn came, not all of it found room
    TimePoint arrived{}, eligible_at{}, cancelled_at{}, preempt_again{}, room_made_by{};

    // Gangs only.
    std::uint64_t gang_attempt = 0;
    bool gang_started = false, gang_failing = false;
    std::uint32_t parked = 0;
    TimePoint parked_since{};  // some are, while others have no place

    std::set<std::string> failed_on;    // machines
    unsigned errors = 0, failures = 0;  // tasks that failed; times that its tries ended so, for ever longer pauses

    bool is(model::JobKind s) const { return spec.kind == s; }
    // Whether any of it ever went well: a replica that runs, a task that is done.
    bool proven() const { return done > 0 || (is(model::JobKind::service) && running > 0); }
    // It has failed on different machines and never went well: more likely submitted with a mistake than unlucky. It is
    // tried with one task (a gang: as seldom) until one goes well, and nothing is rented, held or stopped for it.
    bool doubtful() const { return !proven() && failed_on.size() >= 2; }
    std::uint32_t waiting() const { return spec.tasks - done - placed; }
    bool runnable() const { return !cancelled && !finished && !waits && !doomed; }
    std::uint32_t chunk_of(std::uint32_t task) const { return task / page; }
    // From now on its records have so many tasks, fewer than before.
    void use_pages(std::uint32_t tasks);
    bool durable(std::uint32_t task) const { return chunks[chunk_of(task)].durable >= tasks[task].generation; }
};

// An open job is in its records of work, and nowhere else, so that one write accepts it. Its outcome is a key of its
// own: absent while it is open, there for good once it is over, whether or not the records of work have been removed
// yet.
inline constexpr const char* jobs_prefix = "jobs/";
inline constexpr const char* work_prefix = "jobs/work/";
inline constexpr const char* over_prefix = "jobs/over/";
std::string outcome_key(const std::string& uid);
std::string work_key(const std::string& uid, std::uint32_t chunk, std::uint32_t page = chunk_tasks);
std::string piece_key(const std::string& uid, std::size_t piece);
// Whether this is the outcome of a job that was cancelled.
bool is_cancelled(const state::KeyValue& item);
// What a key of open work names: some of a job's tasks, or a piece of a submission that is too long for one value.
struct WorkKey {
    std::string uid;
    std::uint32_t chunk = 0, page = chunk_tasks;
    std::uint32_t piece = 0;  // 0: none
    bool first() const { return chunk == 0 && page == chunk_tasks && piece == 0; }
};
std::optional<WorkKey> parse_work_key(const std::string& key);

// `spec` as it is kept, or nothing if it is not at hand; `at`: the time of day, or 0.
boost::json::object outcome_record(const state::RecordFormat& record_format, model::JobState state, std::int64_t at,
                                   const boost::json::object* spec, const model::JobSize& size);
boost::json::object work_record(const Job& job, std::uint32_t chunk);
// The first record of a job that was just accepted.
boost::json::object first_work_record(const JobSpec& spec);
// All records of a job that was just accepted, the first of them first; none if they cannot be kept.
std::vector<state::Change> accepted_records(const JobSpec& spec, const state::RecordFormat& record_format);
// Whether controllers that read only older formats could read the job.
bool readable_by_all(const JobSpec& spec, const state::RecordFormat& record_format);

// A submission from its first record and, where it was cut, its pieces in their order; nothing while some are missing.
std::optional<JobSpec> spec_from_records(const boost::json::object& first,
                                         const std::map<std::uint32_t, std::string>& pieces);

}  // namespace flintdale::scheduler
