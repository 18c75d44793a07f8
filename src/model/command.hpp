// What a leader tells a worker to do.
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
    Seconds grace_period{0};  // of a kill: how long the task may save its progress
};

}  // namespace flintdale::model
