// Tasks, as workers report them.
#pragma once
#include <cstdint>
#include <string>

namespace flintdale::model {

struct TaskId {
    std::string uid;  // of the job
    std::uint32_t index = 0;
    bool operator==(const TaskId&) const = default;
};

enum class TaskStatus : std::uint8_t {
    fetching,  // its image
    waiting,   // a gang member at the barrier, until all the others are there
    running,
    checkpointing,  // stopped in order, saving its progress
    exited,
};

enum class ExitReason : std::uint8_t {
    none,  // has not exited
    done,
    stopped,                 // by command
    gang_member_lost,        // another member of the gang is gone
    gang_incomplete,         // the gang was not complete in time
    error,                   // the task failed by itself
    insufficient_resources,  // start refused: no room on the machine
    conflicting_attempt,     // start refused: the task is there with another attempt
    unknown_task,            // start refused: no such job or task
};

struct TaskReport {
    TaskId id;
    std::uint64_t attempt = 0;
    TaskStatus status = TaskStatus::fetching;
    ExitReason exit_reason = ExitReason::none;
    bool checkpointed = false;  // stopped, and its progress was saved
    bool operator==(const TaskReport&) const = default;
};

// Consecutive tasks of a job that share attempt, machine and state, as kept in the store.
struct TaskRange {
    std::uint32_t from = 0, to = 0;  // inclusive
    std::uint64_t attempt = 0;
    std::string machine;  // empty: on no machine
    bool done = false;
};

}  // namespace flintdale::model
