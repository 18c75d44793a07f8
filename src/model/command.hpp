// Commands from the leader to workers.
#pragma once
#include <cstdint>

#include "model/clock.hpp"
#include "model/task.hpp"

namespace flintdale::model {

enum class CommandType : std::uint8_t {
    run,
    kill,
    clear,  // forget a task that has exited
};

struct Command {
    CommandType type = CommandType::run;
    TaskId id;
    std::uint64_t attempt = 0;
    Seconds grace_period{0};  // kill only: time for the task to save a checkpoint
};

}  // namespace flintdale::model
