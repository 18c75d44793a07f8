// Tasks: their identity, the states that workers report, and their ranges in records.
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
    fetching,  // waits for its image
    waiting,   // a gang member at the start barrier, until all members have arrived
    running,
    checkpointing,  // stops on command and saves a checkpoint
    exited,
};

enum class ExitReason : std::uint8_t {
    none,  // has not exited
    done,
    stopped,                 // by a kill command
    gang_member_lost,        // another member of the gang was lost
    gang_incomplete,         // not all members of the gang arrived in time
    error,                   // the task itself failed
    insufficient_resources,  // start refused: not enough free resources on the machine
    conflicting_attempt,     // start refused: another attempt of the task is on the machine
    unknown_task,            // start refused: no such job or task
};

struct TaskReport {
    TaskId id;
    std::uint64_t attempt = 0;
    TaskStatus status = TaskStatus::fetching;
    ExitReason exit_reason = ExitReason::none;
    bool checkpointed = false;  // stopped, and its checkpoint was saved
    bool operator==(const TaskReport&) const = default;
};

// Consecutive tasks of a job with the same attempt, machine and state, as recorded in the store.
struct TaskRange {
    std::uint32_t from = 0, to = 0;  // task indices, inclusive
    std::uint64_t attempt = 0;
    std::string machine;  // empty: on no machine
    bool done = false;
};

}  // namespace flintdale::model
