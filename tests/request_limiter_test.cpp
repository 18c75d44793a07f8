// The store's request limits: token buckets, and the queue of requests that wait for them.
#include "state/request_limiter.hpp"

#include <gtest/gtest.h>

#include "support/scheduler_harness.hpp"

namespace flintdale::test {

TEST(TokenBucketTest, LessUrgentRequestsLeaveRoomForLeadership) {
    using state::RequestPriority;
    const TimePoint start{100s};
    state::TokenBucket b(10, 5, start);
    int taken = 0;
    while (b.take(0, RequestPriority::bookkeeping, start).count() == 0) ++taken;
    EXPECT_EQ(taken, 7);
    while (b.take(0, RequestPriority::leadership, start).count() == 0) ++taken;
    EXPECT_EQ(taken, 10);
    EXPECT_GT(b.take(0, RequestPriority::leadership, start).count(), 0);
    EXPECT_EQ(b.take(0, RequestPriority::leadership, start + 1s).count(), 0);
}

// Guards against a fault of a randomized simulation ("Riga's swarm"): leftover records of finished jobs were removed
// before new records were written, until no other write was made.
TEST(TokenBucketTest, GarbageIsCollectedOnlyWhileTokensArePlentiful) {
    using state::RequestPriority;
    const TimePoint start{100s};
    state::TokenBucket b(100, 10, start);
    EXPECT_EQ(b.take(2, RequestPriority::garbage_collection, start).count(), 0);
    EXPECT_GT(b.take(1, RequestPriority::garbage_collection, start).count(), 0);
    EXPECT_EQ(b.take(1, RequestPriority::bookkeeping, start).count(), 0);
}

// The write rate is so low that the bucket does not refill noticeably during the test.
TEST(RequestLimiterTest, WritesQueueWithoutDelayingReadsOrLeadership) {
    using state::RequestPriority;
    net::asio::io_context io;
    state::RequestLimiter limiter(io.get_executor(), state::TokenBucket(1e6, 1e-3, model::Clock::now()));
    std::string order;
    const auto acquire = [&](double writes, RequestPriority priority, char name) {
        net::asio::co_spawn(io, limiter.acquire(writes, priority),
                            [&order, name](std::exception_ptr) { order += name; });
        io.restart();
        io.poll();
    };
    acquire(1, RequestPriority::user, 'a');  // admitted from the full bucket
    acquire(1, RequestPriority::user, 'b');
    acquire(2, RequestPriority::bookkeeping, 'c');
    EXPECT_EQ(limiter.write_wait().count(), 3000.0);
    acquire(0, RequestPriority::user, 'd');
    acquire(0, RequestPriority::leadership, 'e');
    EXPECT_EQ(order, "ade");
    EXPECT_EQ(limiter.take_demand(), 4.0);
    EXPECT_EQ(limiter.take_demand(), 3.0);  // writes that still wait count again
}

TEST(TokenBucketTest, WritesLargerThanASecondsShareNeverExceedTheRate) {
    using state::RequestPriority;
    TimePoint t{100s};
    state::TokenBucket b(1000, 10, t);
    double written = 0;
    for (int ms = 0; ms < 10'000; ms += 5, t += 5ms)
        if (b.take(3, RequestPriority::user, t).count() == 0) written += 3;
    EXPECT_LE(written, 10 * 10 + 10 + 3);
    EXPECT_GE(written, 80);
}

}  // namespace flintdale::test
