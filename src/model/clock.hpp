// The clock that all components use.
#pragma once
#include <chrono>

namespace flintdale::model {

// A duration in seconds, as in settings and protocols.
using Seconds = std::chrono::duration<double>;

// The steady clock. The simulator replaces it by a simulated time, per thread.
struct Clock {
    using duration = std::chrono::steady_clock::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::steady_clock::time_point;
    static constexpr bool is_steady = true;
    static time_point now() { return simulated ? *simulated : std::chrono::steady_clock::now(); }
    static inline thread_local const time_point* simulated = nullptr;  // null: real time
};
using TimePoint = Clock::time_point;

// Converts to the clock's resolution; rounds towards zero.
inline Clock::duration to_clock(Seconds s) { return std::chrono::duration_cast<Clock::duration>(s); }

}  // namespace flintdale::model
