// An open job and its tasks, as the leader keeps them in memory, and their form in the state service.
#pragma once
#include <deque>

#include "fleet/ledger.hpp"
#include "wire/json.hpp"

namespace flintdale::agent {

using fleet::Machine;
using fleet::TaskKey;
using wire::JobSpec;
using wire::Seconds;
using wire::TimePoint;

// Tasks per record of the state service, so that the worst mix of ranges stays within a value's limit.
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
    Machine* machine = nullptr;
    TimePoint running_since{}, placed_at{};
};

struct Chunk {
    std::uint64_t stamp = 0;                 // of the key; 0: absent
    std::uint32_t changed = 0, durable = 0;  // generations
};

struct Job {
    JobSpec spec;
    mutable placement::Ask ask;  // its wishes in numbers, made when first needed
    bool cancelled = false;
    bool finished = false;  // the outcome is durable
    std::vector<Task> tasks;
    std::vector<Chunk> chunks;
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

    std::set<std::string> failed_on;    // machines
    unsigned errors = 0, failures = 0;  // tasks that failed; times that its tries ended so, for ever longer pauses

    bool is(wire::Shape s) const { return spec.shape == s; }
    // Whether any of it ever went well: a replica that runs, a task that is done.
    bool proven() const { return done > 0 || (is(wire::Shape::service) && running > 0); }
    // It has failed on different machines and never went well: more likely submitted with a mistake than unlucky. It is
    // tried with one task (a gang: as seldom) until one goes well, and nothing is rented, held or stopped for it.
    bool doubtful() const { return !proven() && failed_on.size() >= 2; }
    std::uint32_t waiting() const { return spec.tasks - done - placed; }
    std::uint32_t chunk_of(std::uint32_t task) const { return task / chunk_tasks; }
    bool durable(std::uint32_t task) const { return chunks[chunk_of(task)].durable >= tasks[task].generation; }
};

// An open job is in its records of work, and nowhere else, so that one write accepts it. Its outcome is a key of its
// own: absent while it is open, there for good once it is over, whether or not the records of work have been removed
// yet.
inline constexpr const char* jobs_prefix = "jobs/";
inline constexpr const char* work_prefix = "jobs/work/";
std::string outcome_key(const std::string& uid);
std::string work_key(const std::string& uid, std::uint32_t chunk);
// The job and chunk that a key of open work names; false if it is none.
bool parse_work_key(const std::string& key, std::string& uid, std::uint32_t& chunk);

boost::json::object outcome_record(const JobSpec& spec, wire::JobState state);
boost::json::object work_record(const Job& job, std::uint32_t chunk);
// The first record of a job that was just accepted.
boost::json::object first_work_record(const JobSpec& spec);

}  // namespace flintdale::agent
