// Short names for the parts of Asio and Beast that the packages share, and coroutine helpers on model::Clock.
#pragma once
#include <boost/asio.hpp>
#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <string>

#include "model/clock.hpp"

namespace flintdale::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;
using asio::awaitable;
using Executor = asio::any_io_executor;

// Makes timers use model::Clock. In simulated time the reactor must not sleep, so the wait duration is always 0 and the
// reactor checks its timers whenever it is polled.
struct WaitTraits {
    // Time until the earliest timer of the reactor that was polled last in this thread, in simulated time.
    static inline thread_local model::Clock::duration earliest{};
    static model::Clock::duration to_wait_duration(const model::Clock::duration& d) {
        if (!model::Clock::simulated) return d;
        earliest = d;
        return model::Clock::duration(0);
    }
    static model::Clock::duration to_wait_duration(const model::Clock::time_point& t) {
        return to_wait_duration(t - model::Clock::now());
    }
};
// A timer on model::Clock.
using Timer = asio::basic_waitable_timer<model::Clock, WaitTraits>;

// Completion token: the coroutine gets a tuple with the error code instead of an exception.
inline constexpr auto use_nothrow_awaitable = asio::experimental::as_tuple(asio::use_awaitable);

// Waits for the duration; false if the wait was cancelled.
inline awaitable<bool> sleep_for(model::Clock::duration d) {
    auto ex = co_await asio::this_coro::executor;
    Timer timer(ex);
    timer.expires_after(d);
    auto [ec] = co_await timer.async_wait(use_nothrow_awaitable);
    co_return !ec;
}

// Resumes one waiting coroutine. A notification while no coroutine waits ends the next wait at once.
class Wakeup {
  public:
    explicit Wakeup(Executor ex) : timer_(ex) {}
    void notify() {
        pending_ = true;
        timer_.cancel();
    }
    // Returns after a notification, or after `timeout`.
    awaitable<void> wait(model::Clock::duration timeout) {
        if (!pending_) {
            timer_.expires_after(timeout);
            auto [ec] = co_await timer_.async_wait(use_nothrow_awaitable);
            (void)ec;
        }
        pending_ = false;
    }

  private:
    Timer timer_;
    bool pending_ = false;
};

}  // namespace flintdale::net
