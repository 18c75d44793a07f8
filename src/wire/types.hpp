// The vocabulary of the scheduler. Foreign field names live in json.cpp only.
#pragma once
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace flintdale::wire {

using Seconds = std::chrono::duration<double>;

// The steady clock that everything here goes by. The emulator puts a time of its own in its place.
struct Clock {
    using duration = std::chrono::steady_clock::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::steady_clock::time_point;
    static constexpr bool is_steady = true;
    static time_point now() { return emulated ? *emulated : std::chrono::steady_clock::now(); }
    static inline thread_local const time_point* emulated = nullptr;
};
using TimePoint = Clock::time_point;

inline Clock::duration to_clock(Seconds s) { return std::chrono::duration_cast<Clock::duration>(s); }

enum class Shape : std::uint8_t { array, gang, service };
enum class Rank : std::uint8_t { idle, normal, high, critical };

struct Resources {
    double cpus = 0, gpus = 0, memory_gb = 0;
};

struct JobSpec {
    std::string uid, job_class, team, image;
    Shape shape = Shape::array;
    Rank rank = Rank::normal;
    std::uint32_t tasks = 1;
    Resources need;
    double image_gb = 0;
    std::optional<std::vector<std::string>> types;
    std::optional<std::string> zone;
    bool one_zone = false, spread = false, spot = false;
    Seconds estimate{0}, checkpoint{0}, save{0};
    std::optional<Seconds> deadline;
    std::vector<std::string> prerequisites;  // jobs that have to be done before any task of this one starts
    std::int64_t accepted_ms = 0;            // time of day at the accepting controller
};

// What is told of a job that is over.
struct JobSize {
    Shape shape = Shape::array;
    std::uint32_t tasks = 0;
};

enum class JobState : std::uint8_t { open, done, cancelled };

enum class TaskStatus : std::uint8_t { fetching, waiting, running, saving, exited };
enum class Cause : std::uint8_t { none, done, stopped, peers, alone, error, no_room, busy, unknown };

struct TaskId {
    std::string uid;
    std::uint32_t index = 0;
    bool operator==(const TaskId&) const = default;
};

struct TaskReport {
    TaskId id;
    std::uint64_t attempt = 0;
    TaskStatus status = TaskStatus::fetching;
    Cause cause = Cause::none;
    bool saved = false;
    bool operator==(const TaskReport&) const = default;
};

struct WorkerReport {
    std::string machine, addr, type, zone;
    bool spot = false;
    std::uint64_t tenure = 0, tick = 0, token = 0;
    std::optional<Seconds> notice;
    std::vector<TaskReport> tasks;
    bool operator==(const WorkerReport&) const = default;
};

enum class Verb : std::uint8_t { run, kill, clear };

struct Order {
    Verb verb = Verb::run;
    TaskId id;
    std::uint64_t attempt = 0;
    Seconds grace{0};
};

struct MachineType {
    std::string name;
    Resources capacity;
    double cache_gb = 0, fetch_gb_per_s = 0, price = 0, spot_price = 0;
    Seconds boot{0};
    std::vector<std::string> zones;
};

enum class MachineStatus : std::uint8_t { booting, running, failed };

struct ListedMachine {
    std::string name, addr, type, zone;
    bool spot = false;
    MachineStatus status = MachineStatus::booting;
    Seconds age{0};
};

// One stretch of a job's tasks that share a fate, as kept in the state service.
struct TaskRange {
    std::uint32_t from = 0, to = 0;  // inclusive
    std::uint64_t attempt = 0;
    std::string machine;  // empty: on no machine
    bool done = false;
};

}  // namespace flintdale::wire
