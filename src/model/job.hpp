// Jobs as users submit them.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "model/clock.hpp"
#include "model/resources.hpp"

namespace flintdale::model {

enum class JobKind : std::uint8_t {
    array,    // independent tasks, each of which runs to completion once
    gang,     // tasks that run all together or not at all
    service,  // replicas that run until the job is cancelled
};

// In ascending order; a higher priority may preempt a lower one.
enum class Priority : std::uint8_t { idle, normal, high, critical };

// A job as it was accepted. It never changes afterwards.
struct JobSpec {
    std::string uid, job_class, team, image;
    JobKind kind = JobKind::array;
    Priority priority = Priority::normal;
    std::uint32_t tasks = 1;
    Resources need;                                 // of each task
    double image_gb = 0;                            // size of the image, in GB
    std::optional<std::vector<std::string>> types;  // machine types it may use; none given: all
    std::optional<std::string> zone;                // the only zone it may use
    bool one_zone = false;                          // all its tasks in one zone, whichever
    bool spread = false;                            // its tasks over as many zones as possible
    bool spot = false;                              // spot instances may be used
    Seconds estimated_runtime{0};                   // of a task
    Seconds checkpoint_interval{0};                 // of progress between two checkpoints; 0: it makes none
    Seconds checkpoint_duration{0};                 // what a checkpoint takes when the task is stopped in order
    std::optional<Seconds> deadline;                // from acceptance
    std::vector<std::string> dependencies;          // jobs that must be done before any task of this one starts
    std::int64_t accepted_ms = 0;                   // time of day at the accepting controller, Unix epoch
};

// What is kept of a job that is over.
struct JobSize {
    JobKind kind = JobKind::array;
    std::uint32_t tasks = 0;
};

enum class JobState : std::uint8_t { open, done, cancelled };

}  // namespace flintdale::model
