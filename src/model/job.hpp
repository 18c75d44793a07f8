// Jobs: their specification, kinds, priorities and states.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "model/clock.hpp"
#include "model/resources.hpp"

namespace flintdale::model {

enum class JobKind : std::uint8_t {
    array,    // independent tasks that each run to completion once
    gang,     // tasks that run all at the same time or not at all
    service,  // replicas that run until the job is cancelled
};

// In ascending order. A higher priority may preempt a lower one.
enum class Priority : std::uint8_t { idle, normal, high, critical };

// The specification of an accepted job. It never changes.
struct JobSpec {
    std::string uid, job_class, team, image;
    JobKind kind = JobKind::array;
    Priority priority = Priority::normal;
    std::uint32_t tasks = 1;
    Resources need;                                 // of each task
    double image_gb = 0;                            // size of the image, in GB
    std::optional<std::vector<std::string>> types;  // machine types that the job may use; not set: all
    std::optional<std::string> zone;                // the only zone that the job may use; not set: any
    bool one_zone = false;                          // all tasks in the same zone, which placement chooses
    bool spread = false;                    // over several zones: at most half of the tasks, rounded up, in each
    bool spot = false;                      // spot instances may be used
    Seconds estimated_runtime{0};           // of a task
    Seconds checkpoint_interval{0};         // progress between two checkpoints; 0: the task saves none
    Seconds checkpoint_duration{0};         // time to save a checkpoint on an orderly stop
    std::optional<Seconds> deadline;        // counted from acceptance
    std::vector<std::string> dependencies;  // uids of jobs that must be done before a task of this job starts
    std::int64_t accepted_ms = 0;           // time of day at the accepting controller, Unix epoch
};

// Kind and number of tasks: kept of a job that is done or cancelled.
struct JobSize {
    JobKind kind = JobKind::array;
    std::uint32_t tasks = 0;
};

enum class JobState : std::uint8_t { open, done, cancelled };

}  // namespace flintdale::model
