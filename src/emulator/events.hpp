// Virtual time: what happens when, and the luck of a run. Everything of one world happens in one thread, in one order.
#pragma once
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <functional>
#include <queue>

#include "wire/types.hpp"

namespace flintdale::emulator {

using wire::Seconds;
using wire::TimePoint;

class Events {
  public:
    explicit Events(std::uint64_t seed) : luck_(seed) { wire::Clock::emulated = &now_; }
    ~Events() { wire::Clock::emulated = nullptr; }
    Events(const Events&) = delete;
    Events& operator=(const Events&) = delete;

    TimePoint now() const { return now_; }
    Seconds since_start() const { return now_ - start; }
    void after(Seconds delay, std::function<void()> what) {
        queue_.push({now_ + wire::to_clock(delay), number_++, std::move(what)});
    }
    // Moves on, and lets happen what is due.
    void advance(wire::Clock::duration step) {
        now_ += step;
        while (!queue_.empty() && queue_.top().at <= now_) {
            auto what = std::move(const_cast<Event&>(queue_.top()).what);
            queue_.pop();
            what();
        }
    }

    double uniform(double from, double to) {
        return from < to ? boost::random::uniform_real_distribution<double>(from, to)(luck_) : from;
    }
    bool chance(double p) { return uniform(0, 1) < p; }
    std::size_t pick(std::size_t n) { return n ? static_cast<std::size_t>(luck_() % n) : 0; }

  private:
    struct Event {
        TimePoint at;
        std::uint64_t number;  // of those due together the one that was planned first
        std::function<void()> what;
        bool operator<(const Event& o) const { return std::tie(o.at, o.number) < std::tie(at, number); }
    };
    static constexpr TimePoint start{std::chrono::seconds(1000)};
    TimePoint now_ = start;
    std::uint64_t number_ = 0;
    std::priority_queue<Event> queue_;
    boost::random::mt19937_64 luck_;
};

}  // namespace flintdale::emulator
