// What the coordinator of a scale run and its hollow worker processes tell each other: a line of JSON a message. All
// run on one machine and share its steady clock.
#pragma once
#include <variant>

#include "load_test/latency.hpp"
#include "model/clock.hpp"
#include "model/job.hpp"
#include "simulator/checker.hpp"
#include "simulator/rentals.hpp"

namespace flintdale::load_test {

using model::Seconds;
using model::TimePoint;

// --- to the hollow workers ---

struct UploadJob {
    model::JobSpec spec;
    Seconds runs{0};
};
struct AddMachine {
    std::string name, address, type, zone;
    bool spot = false;
    Seconds boots_in{0};
};
struct RemoveMachine {
    std::string name;
};
struct RestartWorker {
    std::string name;
};
struct KillMachine {
    std::string name;
};
// Asks for a Sample.
struct TakeSample {};

using ToWorkers = std::variant<UploadJob, AddMachine, RemoveMachine, RestartWorker, KillMachine, TakeSample>;
std::string to_line(const ToWorkers& message);
ToWorkers parse_to_workers(const std::string& line);  // throws std::exception on anything else

// --- from the hollow workers ---

struct TaskEvent {
    enum class Kind : std::uint8_t { arrives, leaves, completed, ordered };
    Kind kind = Kind::arrives;
    TimePoint at{};
    simulator::TaskName task;
    simulator::Place place;  // of a task that leaves: the machine only
};
// A token that was not seen before: when an answer first bore it, and when one first ordered a task to run.
struct TokenNews {
    std::uint64_t fencing_token = 0;
    TimePoint at{};
    bool runs = false;
};
// Since the process began.
struct WorkerCounts {
    std::uint64_t reports = 0, answered = 0, redirected = 0, unavailable = 0, unanswered = 0;
    std::uint64_t bytes_sent = 0, bytes_received = 0;
    std::uint64_t started = 0, finished = 0, lease_kills = 0;
    std::uint64_t up = 0, connected = 0;  // now: workers that are up, and those with an answer of late
    WorkerCounts& operator+=(const WorkerCounts& o);
};
// Sent often. Nothing that happened before `now` is told later.
struct Progress {
    TimePoint now{};
    WorkerCounts counts;
    std::vector<TaskEvent> events;
    std::vector<TokenNews> tokens;
    std::vector<std::string> came_up;  // machines
};
struct Sample {
    WorkerCounts counts;
    Latencies answers;                         // of reports that were answered with 200
    std::vector<std::uint64_t> by_controller;  // connected workers
};

using FromWorkers = std::variant<Progress, Sample>;
std::string to_line(const FromWorkers& message);
FromWorkers parse_from_workers(const std::string& line);  // throws std::exception on anything else

}  // namespace flintdale::load_test
