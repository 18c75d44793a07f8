// Heartbeats that a follower relays to the leader: messages that are lost, late, repeated or overtaken.
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

// A relay and the messages that it sends. The test answers as the leader.
struct HeartbeatRelayTest : ::testing::Test {
    TimePoint now{std::chrono::seconds(1000)};
    const bool simulated = (model::Clock::simulated = &now) != nullptr;
    ~HeartbeatRelayTest() override { model::Clock::simulated = nullptr; }

    net::asio::io_context io;
    config::Settings cluster = settings();
    std::vector<std::pair<std::string, peer::RelayMessage>> sent;
    bool link_up = true;
    peer::HeartbeatRelay relay{io.get_executor(), cluster, relay_incarnation,
                               [this](const std::string& member, const peer::RelayMessage& m) {
                                   if (link_up) sent.emplace_back(member, peer::decode_relay(peer::encode(m)));
                                   return link_up;
                               }};
    struct Told {
        bool over = false;
        std::optional<peer::LeaderResponse> answer;
    };
    std::vector<std::shared_ptr<Told>> asked;

    static model::Heartbeat report(const std::string& machine, std::uint64_t sequence, std::uint32_t tasks) {
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
    std::shared_ptr<Told> ask(model::Heartbeat r) {
        auto told = std::make_shared<Told>();
        net::asio::co_spawn(io, relay.relay(std::move(r)), [told](std::exception_ptr, auto answer) {
            told->over = true;
            told->answer = std::move(answer);
        });
        pass(30ms);
        return told;
    }
    void pass(model::Clock::duration time) {
        for (const auto until = now + time; now < until;) {
            now += 5ms;
            io.restart();
            io.poll();
        }
    }
    static peer::Leader leads(const std::string& member, std::uint64_t of_term = term) {
        return {member, leader_incarnation, of_term};
    }
    static peer::RelayedResponse answer(std::uint64_t number, std::uint64_t fencing_token = term) {
        peer::RelayedResponse a;
        a.number = number;
        a.outcome = peer::RelayOutcome::answered;
        a.fencing_token = fencing_token;
        a.commands.push_back({model::CommandType::run, {"run-2", 0}, 1, model::Seconds(0)});
        return a;
    }
    void says(const std::string& member, peer::RelayedResponse a, std::uint64_t newest_term = term) {
        peer::RelayMessage m;
        m.member = member;
        m.incarnation = leader_incarnation;
        m.receiver_incarnation = relay_incarnation;
        m.answers.push_back(std::move(a));
        relay.answered(peer::decode_relay(peer::encode(m)), newest_term);
        pass(5ms);
    }
    // The number of the newest report that was sent in full.
    std::uint64_t full() const { return sent.back().second.reports.back().number; }
};

}  // namespace

TEST_F(HeartbeatRelayTest, UnchangedHeartbeatIsRelayedInAFewBytes) {
    relay.set_leader(leads("one"));
    peer::RelayedHeartbeatCache kept;
    const auto first = ask(report("n-1", 10, 200));
    ASSERT_EQ(sent.size(), 1u);
    const auto whole = peer::encode(sent.back().second).size();
    kept.keep("two", relay_incarnation, sent.back().second.reports.at(0));
    says("one", answer(full()));
    ASSERT_TRUE(first->answer);
    EXPECT_EQ(first->answer->fencing_token, term);
    EXPECT_EQ(first->answer->commands.size(), 1u);

    ask(report("n-1", 11, 200));
    ASSERT_EQ(sent.size(), 2u);
    ASSERT_EQ(sent.back().second.repeated.size(), 1u);
    EXPECT_LT(peer::encode(sent.back().second).size() * 20, whole);
    const auto* heard = kept.repeated("two", relay_incarnation, sent.back().second.repeated[0]);
    ASSERT_TRUE(heard);
    EXPECT_EQ(*heard, report("n-1", 11, 200));
    EXPECT_FALSE(kept.repeated("two", relay_incarnation + 1, sent.back().second.repeated[0])) << "another process";
}

// Two reports of one worker under way, the later one a copy of what it held long ago.
TEST_F(HeartbeatRelayTest, LateCopyIsNotWhatTheNextHeartbeatRepeats) {
    relay.set_leader(leads("one"));
    peer::RelayedHeartbeatCache kept;
    ask(report("n-1", 10, 3));
    const auto newest = full();
    kept.keep("two", relay_incarnation, sent.back().second.reports.at(0));
    ask(report("n-1", 4, 0));
    kept.keep("two", relay_incarnation, sent.back().second.reports.at(0));
    says("one", answer(newest));

    ask(report("n-1", 11, 3));
    const auto& message = sent.back().second;
    for (const auto& r : message.repeated) {
        const auto* heard = kept.repeated("two", relay_incarnation, r);
        EXPECT_TRUE(!heard || heard->tasks.size() == 3) << "three tasks run there";
    }
    for (const auto& r : message.reports) EXPECT_EQ(r.report.tasks.size(), 3u);
}

TEST_F(HeartbeatRelayTest, HeartbeatThatArrivesAfterANewerOneIsNotCached) {
    peer::RelayedHeartbeatCache kept;
    kept.keep("two", relay_incarnation, {9, 1, report("n-1", 12, 3)});
    kept.keep("two", relay_incarnation, {8, 1, report("n-1", 11, 0)});
    const auto* heard = kept.repeated("two", relay_incarnation, {10, 1, 13, 9});
    ASSERT_TRUE(heard);
    EXPECT_EQ(heard->tasks.size(), 3u);
    EXPECT_FALSE(kept.repeated("two", relay_incarnation, {11, 1, 14, 8}));
}

TEST_F(HeartbeatRelayTest, HeartbeatUnknownToTheLeaderIsSentInFull) {
    relay.set_leader(leads("one"));
    ask(report("n-1", 10, 2));
    says("one", answer(full()));
    const auto again = ask(report("n-1", 11, 2));
    peer::RelayedResponse unknown;
    unknown.number = sent.back().second.repeated.at(0).number;
    unknown.outcome = peer::RelayOutcome::unknown_handle;
    says("one", unknown);
    pass(30ms);
    ASSERT_EQ(sent.back().second.reports.size(), 1u);
    EXPECT_EQ(sent.back().second.reports[0].report, report("n-1", 11, 2));
    EXPECT_FALSE(again->over);
    says("one", answer(full()));
    EXPECT_TRUE(again->answer);
}

TEST_F(HeartbeatRelayTest, PendingHeartbeatsGoToTheNextLeaderAndOldResponsesAreIgnored) {
    relay.set_leader(leads("one"));
    const auto waiting = ask(report("n-1", 10, 2));
    const auto number = full();
    relay.set_leader(std::nullopt);
    relay.set_leader(leads("three", term + 1));
    pass(30ms);
    ASSERT_EQ(sent.back().first, "three");
    EXPECT_EQ(sent.back().second.reports.at(0).report, report("n-1", 10, 2));
    says("one", answer(number));
    EXPECT_FALSE(waiting->over);
    says("three", answer(full(), term + 1), term + 1);
    ASSERT_TRUE(waiting->answer);
    EXPECT_EQ(waiting->answer->fencing_token, term + 1);
}

TEST_F(HeartbeatRelayTest, ResponseOfASupersededTermIsNotForwarded) {
    relay.set_leader(leads("one"));
    const auto overtaken = ask(report("n-1", 10, 2));
    says("one", answer(full()), term + 1);
    EXPECT_TRUE(overtaken->over);
    EXPECT_FALSE(overtaken->answer);
    // The same leader has won another term between the report and its answer.
    relay.set_leader(leads("one", term + 2));
    const auto older = ask(report("n-1", 11, 2));
    says("one", answer(full(), term), term + 2);
    EXPECT_FALSE(older->answer);
    const auto newer = ask(report("n-1", 12, 2));
    says("one", answer(full(), term + 2), term + 2);
    EXPECT_TRUE(newer->answer);
}

TEST_F(HeartbeatRelayTest, ResponseDelayedBeyondTheWorkersTimeoutReachesNobody) {
    relay.set_leader(leads("one"));
    const auto late = ask(report("n-1", 10, 2));
    const auto number = full();
    pass(4s);
    EXPECT_TRUE(late->over) << "it is told 503, and goes to another controller";
    EXPECT_FALSE(late->answer);
    const auto next = ask(report("n-1", 11, 2));
    says("one", answer(number));
    EXPECT_FALSE(next->over) << "the answer is to the report before";
    EXPECT_EQ(relay.waiting(), 1u);
}

TEST_F(HeartbeatRelayTest, KeepsTryingWhileCutOffFromTheLeaderAndForgetsNothing) {
    relay.set_leader(leads("one"));
    link_up = false;
    const auto waiting = ask(report("n-1", 10, 2));
    pass(1s);
    EXPECT_TRUE(sent.empty());
    link_up = true;
    relay.set_leader(leads("one"));  // it is heard again
    pass(30ms);
    ASSERT_EQ(sent.size(), 1u);
    // The link breaks with the report on its way.
    relay.link_lost("one");
    relay.set_leader(leads("one"));
    pass(30ms);
    ASSERT_EQ(sent.size(), 2u);
    EXPECT_EQ(sent[1].second.reports.at(0).number, sent[0].second.reports.at(0).number);
    says("one", answer(full()));
    EXPECT_TRUE(waiting->answer);
}

TEST_F(HeartbeatRelayTest, RefusesMoreHeartbeatsThanSocketsAllow) {
    cluster.max_sockets = 3;
    relay.set_leader(leads("one"));
    std::vector<std::shared_ptr<Told>> all;
    for (int i = 0; i < 4; ++i) all.push_back(ask(report("n-" + std::to_string(i), 1, 1)));
    EXPECT_FALSE(all[2]->over);
    EXPECT_TRUE(all[3]->over);
    EXPECT_FALSE(all[3]->answer);
}

TEST_F(HeartbeatRelayTest, HeartbeatsOfOneMomentShareAMessage) {
    relay.set_leader(leads("one"));
    for (int i = 0; i < 50; ++i)
        net::asio::co_spawn(io, relay.relay(report("n-" + std::to_string(i), 1, 5)), net::asio::detached);
    pass(30ms);
    ASSERT_EQ(sent.size(), 2u) << "the first at once, the others together";
    EXPECT_EQ(sent[1].second.reports.size(), 49u);
}

TEST(RelayMessageTest, InvalidMessageIsAnErrorAndAnOldVersionTakesNoPart) {
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
