// The event queue, the clock and the random source of a run. All events of one run happen in one thread, in one order:
// by time, then by the order in which they were planned. Time is virtual, or is set from outside: by the process's
// clock, or by whoever replays what happened elsewhere.
#pragma once
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <functional>
#include <queue>

#include "model/clock.hpp"

namespace flintdale::simulator {

using model::Seconds;
using model::TimePoint;

class Events {
  public:
    // A virtual time, in place of the process's clock.
    explicit Events(std::uint64_t seed) : virtual_(true), random_(seed) { model::Clock::simulated = &now_; }
    // A time that moves by advance_to() only. The process's clock is left alone.
    Events(std::uint64_t seed, TimePoint start) : start_(start), now_(start), random_(seed) {}
    ~Events() {
        if (virtual_) model::Clock::simulated = nullptr;
    }
    Events(const Events&) = delete;
    Events& operator=(const Events&) = delete;

    TimePoint now() const { return now_; }
    Seconds since_start() const { return now_ - start_; }
    void after(Seconds delay, std::function<void()> what) {
        queue_.push({now_ + model::to_clock(delay), number_++, std::move(what)});
    }
    // Moves on, and lets happen what is due.
    void advance(model::Clock::duration step) { advance_to(now_ + step); }
    // The same, up to that time; time does not go back.
    void advance_to(TimePoint until) {
        now_ = std::max(now_, until);
        while (!queue_.empty() && queue_.top().at <= now_) {
            auto what = std::move(const_cast<Event&>(queue_.top()).what);
            queue_.pop();
            what();
        }
    }

    double uniform(double from, double to) {
        return from < to ? boost::random::uniform_real_distribution<double>(from, to)(random_) : from;
    }
    bool chance(double p) { return uniform(0, 1) < p; }
    std::size_t pick(std::size_t n) { return n ? static_cast<std::size_t>(random_() % n) : 0; }

  private:
    struct Event {
        TimePoint at;
        std::uint64_t number;  // of those due together the one that was planned first
        std::function<void()> what;
        bool operator<(const Event& o) const { return std::tie(o.at, o.number) < std::tie(at, number); }
    };
    const bool virtual_ = false;
    TimePoint start_{std::chrono::seconds(1000)};
    TimePoint now_ = start_;
    std::uint64_t number_ = 0;
    std::priority_queue<Event> queue_;
    boost::random::mt19937_64 random_;
};

}  // namespace flintdale::simulator
