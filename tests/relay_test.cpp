// Heartbeats that a follower relays to the leader: messages that are lost, delayed, repeated or reordered.
#include <gtest/gtest.h>

#include "model/command.hpp"
#include "model/heartbeat.hpp"
#include "model/task.hpp"
#include "peer/heartbeat_relay.hpp"
#include "peer/relayed_heartbeat_cache.hpp"
#include "peer/status_message.hpp"
#include "support/scheduler_harness.hpp"

namespace flintdale::test {

using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t relay_incarnation = 7, leader_incarnation = 40, term = 5;

// A relay and the messages that it sends. The test responds as the leader.
struct HeartbeatRelayTest : ::testing::Test {
    TimePoint now{std::chrono::seconds(1000)};
    const bool simulated = (model::Clock::simulated = &now) != nullptr;
    ~HeartbeatRelayTest() override { model::Clock::simulated = nullptr; }

    net::asio::io_context io;
    config::Settings cluster = settings();
    std::vector<std::pair<std::string, peer::RelayMessage>> sent;
    bool connected = true;
    peer::HeartbeatRelay relay{io.get_executor(), cluster, relay_incarnation,
                               [this](const std::string& member, const peer::RelayMessage& m) {
                                   if (connected) sent.emplace_back(member, peer::decode_relay(peer::encode(m)));
                                   return connected;
                               }};
    struct RelayResult {
        bool finished = false;
        std::optional<peer::LeaderResponse> response;
    };
    std::vector<std::shared_ptr<RelayResult>> results;

    static model::Heartbeat make_heartbeat(const std::string& machine, std::uint64_t sequence, std::uint32_t tasks) {
        model::Heartbeat r;
        r.machine = machine;
        r.addr = machine + ":9000";
        r.type = "large";
        r.zone = "a";
        r.incarnation = 1;
        r.sequence = sequence;
        r.fencing_token = term;
        for (std::uint32_t i = 0; i < tasks; ++i) {
            model::TaskReport t;
            t.id = {"run-1", i};
            t.attempt = 1;
            t.status = model::TaskStatus::running;
            r.tasks.push_back(t);
        }
        return r;
    }
    std::shared_ptr<RelayResult> relay_heartbeat(model::Heartbeat r) {
        auto result = std::make_shared<RelayResult>();
        net::asio::co_spawn(io, relay.relay(std::move(r)), [result](std::exception_ptr, auto response) {
            result->finished = true;
            result->response = std::move(response);
        });
        advance(30ms);
        return result;
    }
    void advance(model::Clock::duration time) {
        for (const auto until = now + time; now < until;) {
            now += 5ms;
            io.restart();
            io.poll();
        }
    }
    static peer::Leader leader(const std::string& member, std::uint64_t of_term = term) {
        return {member, leader_incarnation, of_term};
    }
    static peer::RelayedResponse make_response(std::uint64_t number, std::uint64_t fencing_token = term) {
        peer::RelayedResponse a;
        a.number = number;
        a.outcome = peer::RelayOutcome::answered;
        a.fencing_token = fencing_token;
        a.commands.push_back({model::CommandType::run, {"run-2", 0}, 1, model::Seconds(0)});
        return a;
    }
    void respond_as(const std::string& member, peer::RelayedResponse a, std::uint64_t newest_term = term) {
        peer::RelayMessage m;
        m.member = member;
        m.incarnation = leader_incarnation;
        m.receiver_incarnation = relay_incarnation;
        m.answers.push_back(std::move(a));
        relay.answered(peer::decode_relay(peer::encode(m)), newest_term);
        advance(5ms);
    }
    // The number of the newest heartbeat that was sent in full.
    std::uint64_t last_full_number() const { return sent.back().second.reports.back().number; }
};

}  // namespace

TEST_F(HeartbeatRelayTest, UnchangedHeartbeatIsRelayedInAFewBytes) {
    relay.set_leader(leader("one"));
    peer::RelayedHeartbeatCache cache;
    const auto first = relay_heartbeat(make_heartbeat("n-1", 10, 200));
    ASSERT_EQ(sent.size(), 1u);
    const auto full_size = peer::encode(sent.back().second).size();
    cache.keep("two", relay_incarnation, sent.back().second.reports.at(0));
    respond_as("one", make_response(last_full_number()));
    ASSERT_TRUE(first->response);
    EXPECT_EQ(first->response->fencing_token, term);
    EXPECT_EQ(first->response->commands.size(), 1u);

    relay_heartbeat(make_heartbeat("n-1", 11, 200));
    ASSERT_EQ(sent.size(), 2u);
    ASSERT_EQ(sent.back().second.repeated.size(), 1u);
    EXPECT_LT(peer::encode(sent.back().second).size() * 20, full_size);
    const auto* repeated = cache.repeated("two", relay_incarnation, sent.back().second.repeated[0]);
    ASSERT_TRUE(repeated);
    EXPECT_EQ(*repeated, make_heartbeat("n-1", 11, 200));
    EXPECT_FALSE(cache.repeated("two", relay_incarnation + 1, sent.back().second.repeated[0]))
        << "another incarnation of the relay";
}

// Two heartbeats of one worker are in transit, and the second one is a delayed copy of an older state.
TEST_F(HeartbeatRelayTest, NextHeartbeatDoesNotRepeatADelayedCopy) {
    relay.set_leader(leader("one"));
    peer::RelayedHeartbeatCache cache;
    relay_heartbeat(make_heartbeat("n-1", 10, 3));
    const auto newest = last_full_number();
    cache.keep("two", relay_incarnation, sent.back().second.reports.at(0));
    relay_heartbeat(make_heartbeat("n-1", 4, 0));
    cache.keep("two", relay_incarnation, sent.back().second.reports.at(0));
    respond_as("one", make_response(newest));

    relay_heartbeat(make_heartbeat("n-1", 11, 3));
    const auto& message = sent.back().second;
    for (const auto& r : message.repeated) {
        const auto* repeated = cache.repeated("two", relay_incarnation, r);
        EXPECT_TRUE(!repeated || repeated->tasks.size() == 3) << "three tasks run on this machine";
    }
    for (const auto& r : message.reports) EXPECT_EQ(r.report.tasks.size(), 3u);
}

TEST_F(HeartbeatRelayTest, HeartbeatThatArrivesAfterANewerOneIsNotCached) {
    peer::RelayedHeartbeatCache cache;
    cache.keep("two", relay_incarnation, {9, 1, make_heartbeat("n-1", 12, 3)});
    cache.keep("two", relay_incarnation, {8, 1, make_heartbeat("n-1", 11, 0)});
    const auto* repeated = cache.repeated("two", relay_incarnation, {10, 1, 13, 9});
    ASSERT_TRUE(repeated);
    EXPECT_EQ(repeated->tasks.size(), 3u);
    EXPECT_FALSE(cache.repeated("two", relay_incarnation, {11, 1, 14, 8}));
}

TEST_F(HeartbeatRelayTest, HeartbeatUnknownToTheLeaderIsSentInFull) {
    relay.set_leader(leader("one"));
    relay_heartbeat(make_heartbeat("n-1", 10, 2));
    respond_as("one", make_response(last_full_number()));
    const auto again = relay_heartbeat(make_heartbeat("n-1", 11, 2));
    peer::RelayedResponse unknown;
    unknown.number = sent.back().second.repeated.at(0).number;
    unknown.outcome = peer::RelayOutcome::unknown_handle;
    respond_as("one", unknown);
    advance(30ms);
    ASSERT_EQ(sent.back().second.reports.size(), 1u);
    EXPECT_EQ(sent.back().second.reports[0].report, make_heartbeat("n-1", 11, 2));
    EXPECT_FALSE(again->finished);
    respond_as("one", make_response(last_full_number()));
    EXPECT_TRUE(again->response);
}

TEST_F(HeartbeatRelayTest, PendingHeartbeatsGoToTheNextLeaderAndOldResponsesAreIgnored) {
    relay.set_leader(leader("one"));
    const auto waiting = relay_heartbeat(make_heartbeat("n-1", 10, 2));
    const auto number = last_full_number();
    relay.set_leader(std::nullopt);
    relay.set_leader(leader("three", term + 1));
    advance(30ms);
    ASSERT_EQ(sent.back().first, "three");
    EXPECT_EQ(sent.back().second.reports.at(0).report, make_heartbeat("n-1", 10, 2));
    respond_as("one", make_response(number));
    EXPECT_FALSE(waiting->finished);
    respond_as("three", make_response(last_full_number(), term + 1), term + 1);
    ASSERT_TRUE(waiting->response);
    EXPECT_EQ(waiting->response->fencing_token, term + 1);
}

TEST_F(HeartbeatRelayTest, ResponseOfASupersededTermIsNotForwarded) {
    relay.set_leader(leader("one"));
    const auto overtaken = relay_heartbeat(make_heartbeat("n-1", 10, 2));
    respond_as("one", make_response(last_full_number()), term + 1);
    EXPECT_TRUE(overtaken->finished);
    EXPECT_FALSE(overtaken->response);
    // The same leader is elected for a new term between the heartbeat and the response.
    relay.set_leader(leader("one", term + 2));
    const auto older = relay_heartbeat(make_heartbeat("n-1", 11, 2));
    respond_as("one", make_response(last_full_number(), term), term + 2);
    EXPECT_FALSE(older->response);
    const auto newer = relay_heartbeat(make_heartbeat("n-1", 12, 2));
    respond_as("one", make_response(last_full_number(), term + 2), term + 2);
    EXPECT_TRUE(newer->response);
}

TEST_F(HeartbeatRelayTest, ResponseDelayedBeyondTheWorkersTimeoutIsIgnored) {
    relay.set_leader(leader("one"));
    const auto late = relay_heartbeat(make_heartbeat("n-1", 10, 2));
    const auto number = last_full_number();
    advance(4s);
    EXPECT_TRUE(late->finished) << "the worker gets status 503 and reports to another controller";
    EXPECT_FALSE(late->response);
    const auto next = relay_heartbeat(make_heartbeat("n-1", 11, 2));
    respond_as("one", make_response(number));
    EXPECT_FALSE(next->finished) << "the response belongs to the previous heartbeat";
    EXPECT_EQ(relay.waiting(), 1u);
}

TEST_F(HeartbeatRelayTest, PendingHeartbeatIsSentAgainAfterTheConnectionToTheLeaderIsRestored) {
    relay.set_leader(leader("one"));
    connected = false;
    const auto waiting = relay_heartbeat(make_heartbeat("n-1", 10, 2));
    advance(1s);
    EXPECT_TRUE(sent.empty());
    connected = true;
    relay.set_leader(leader("one"));  // the connection is restored
    advance(30ms);
    ASSERT_EQ(sent.size(), 1u);
    // The connection breaks while the heartbeat is in transit.
    relay.link_lost("one");
    relay.set_leader(leader("one"));
    advance(30ms);
    ASSERT_EQ(sent.size(), 2u);
    EXPECT_EQ(sent[1].second.reports.at(0).number, sent[0].second.reports.at(0).number);
    respond_as("one", make_response(last_full_number()));
    EXPECT_TRUE(waiting->response);
}

TEST_F(HeartbeatRelayTest, RefusesMoreHeartbeatsThanSocketsAllow) {
    cluster.max_sockets = 3;
    relay.set_leader(leader("one"));
    std::vector<std::shared_ptr<RelayResult>> all;
    for (int i = 0; i < 4; ++i) all.push_back(relay_heartbeat(make_heartbeat("n-" + std::to_string(i), 1, 1)));
    EXPECT_FALSE(all[2]->finished);
    EXPECT_TRUE(all[3]->finished);
    EXPECT_FALSE(all[3]->response);
}

TEST_F(HeartbeatRelayTest, SimultaneousHeartbeatsShareAMessage) {
    relay.set_leader(leader("one"));
    for (int i = 0; i < 50; ++i)
        net::asio::co_spawn(io, relay.relay(make_heartbeat("n-" + std::to_string(i), 1, 5)), net::asio::detached);
    advance(30ms);
    ASSERT_EQ(sent.size(), 2u) << "the first at once, the rest in one message";
    EXPECT_EQ(sent[1].second.reports.size(), 49u);
}

TEST(RelayMessageTest, InvalidMessageThrowsAndAnOldVersionDoesNotRelay) {
    EXPECT_THROW(peer::decode_relay("nonsense"), std::exception);
    peer::StatusMessage status;
    status.member = "one";
    status.relays = true;
    status.workers = 12;
    status.capacity = 30;
    status.fleet = 40;
    const auto read = peer::decode_status(peer::encode(status));
    EXPECT_TRUE(read.relays);
    EXPECT_EQ(read.workers + read.capacity + read.fleet, 82u);
    EXPECT_FALSE(peer::decode_status(peer::encode(peer::StatusMessage{})).relays);
}

}  // namespace flintdale::test
