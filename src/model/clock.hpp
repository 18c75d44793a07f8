// The clock that the whole program goes by.
#pragma once
#include <chrono>

namespace flintdale::model {

// A duration in seconds, as settings and protocols give them.
using Seconds = std::chrono::duration<double>;

// The steady clock. The simulator puts a time of its own in its place, for the calling thread only.
struct Clock {
    using duration = std::chrono::steady_clock::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::steady_clock::time_point;
    static constexpr bool is_steady = true;
    static time_point now() { return simulated ? *simulated : std::chrono::steady_clock::now(); }
    static inline thread_local const time_point* simulated = nullptr;
};
using TimePoint = Clock::time_point;

// The same duration in the clock's own resolution, rounded towards zero.
inline Clock::duration to_clock(Seconds s) { return std::chrono::duration_cast<Clock::duration>(s); }

}  // namespace flintdale::model
