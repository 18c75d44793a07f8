// What controllers tell each other of cancellations, and until when a leader may go by it.
#include "peer/cancellations.hpp"

#include "model/job.hpp"
#include "peer/peer_connections.hpp"
#include "scheduler/follower_leases.hpp"
#include "scheduler/lease_rule.hpp"
#include "support/scheduler_harness.hpp"

namespace flintdale::test {

namespace {

// Three controllers; what they say travels by hand.
struct CancellationExchangeTest : ::testing::Test {
    struct One {
        config::Settings settings;
        std::uint64_t incarnation = 1;
        std::unique_ptr<peer::Cancellations> knows;
        std::set<std::string> heard_of;
    };
    std::map<std::string, One> all;
    TimePoint now{1000s};

    void SetUp() override {
        for (const std::string name : {"a", "b", "c"}) {
            auto& one = all[name];
            one.settings = test::settings();
            one.settings.member = name;
            one.settings.controllers = 3;
            for (const std::string peer : {"a", "b", "c"})
                if (peer != name) one.settings.peers.push_back({peer, "a", {}});
            one.knows = std::make_unique<peer::Cancellations>(one.settings);
        }
    }
    peer::CancellationReport say(const std::string& who) { return all[who].knows->make_report(now); }
    void hear(const std::string& who, const std::string& from, std::uint64_t incarnation,
              const peer::CancellationReport& report) {
        auto& one = all[who];
        for (const auto& uid : report.lately)
            if (one.knows->note(uid, now)) one.heard_of.insert(uid);
        one.knows->report_received(from, incarnation, one.incarnation, report, now);
    }
    void tell(const std::string& from, const std::string& to) { hear(to, from, all[from].incarnation, say(from)); }
    // Everybody hears everybody, each second.
    void talk(int seconds) {
        for (; seconds > 0; --seconds, now += 1s)
            for (const std::string from : {"a", "b", "c"})
                for (const std::string to : {"a", "b", "c"})
                    if (from != to) tell(from, to);
    }
    void back(const std::string& who) {  // it ended, and is back at once
        auto& one = all[who];
        ++one.incarnation;
        one.knows = std::make_unique<peer::Cancellations>(one.settings);
    }
    TimePoint known(TimePoint looked) { return all["a"].knows->all_known_until(looked, now); }
};

}  // namespace

TEST_F(CancellationExchangeTest, KnowsWithoutTheStoreWhatAllPeersReportedSinceItAsked) {
    talk(3);
    const auto looked = now;
    talk(60);
    EXPECT_GE(known(looked), now - 3s);
    EXPECT_LT(known(looked), now);
}

// The one before it may have told what nobody else knows.
TEST_F(CancellationExchangeTest, RestartedPeerProvesNothingAboutItsPreviousIncarnation) {
    talk(3);
    const auto looked = now;
    talk(2);
    all["b"].knows->note("run-1", now);  // told a user, and ended before it told anybody else
    back("b");
    talk(30);
    EXPECT_EQ(known(looked), looked);
    // Once the records have been read again, nothing depends on that incarnation any more.
    const auto again = now;
    talk(20);
    EXPECT_GT(known(again), again + 15s);
}

TEST_F(CancellationExchangeTest, UnheardPeerLeavesTheLastRecordsReadAsTheBound) {
    talk(3);
    const auto looked = now;
    for (int i = 0; i < 30; ++i, now += 1s) tell("a", "b"), tell("b", "a"), tell("a", "c");
    EXPECT_LE(known(looked), looked);
}

// A message may be held for a minute and come when its sender has told more: it answers the question it names.
TEST_F(CancellationExchangeTest, DelayedMessageDatesFromTheMessageItAnswers) {
    talk(3);
    const auto looked = now;
    talk(5);
    const auto held = say("b");
    const auto then = now;
    for (int i = 0; i < 40; ++i, now += 1s) tell("a", "c"), tell("c", "a"), tell("a", "b");
    hear("a", "b", all["b"].incarnation, held);
    EXPECT_LE(known(looked), then);
}

// Answered: b has heard what a said. Nothing that b says without that tells when it was said.
TEST_F(CancellationExchangeTest, MessageThatHasNotReceivedTheQuestionProvesNothing) {
    talk(3);
    const auto looked = now;
    for (int i = 0; i < 30; ++i, now += 1s) tell("b", "a"), tell("c", "a");
    EXPECT_EQ(known(looked), looked);
}

TEST_F(CancellationExchangeTest, AnswersToAPreviousIncarnationOfTheAskerDoNotCount) {
    talk(3);
    const auto to_former = say("b");
    back("a");
    const auto looked = now;
    for (int i = 0; i < 5; ++i, now += 1s) say("a");
    hear("a", "b", all["b"].incarnation, to_former);
    hear("a", "c", all["c"].incarnation, say("c"));
    EXPECT_EQ(known(looked), looked);
}

TEST_F(CancellationExchangeTest, VersionThatDoesNotReportProvesNothing) {
    talk(3);
    const auto looked = now;
    for (int i = 0; i < 20; ++i, now += 1s) {
        tell("a", "b"), tell("b", "a"), tell("a", "c");
        hear("a", "c", 0, {});
    }
    EXPECT_LE(known(looked), looked);
}

TEST_F(CancellationExchangeTest, CancellationIsNamedUntilEverybodyKnowsAndIsForwarded) {
    talk(3);
    all["b"].knows->note("run-1", now);
    tell("b", "c");
    tell("c", "a");  // a and b do not hear each other
    EXPECT_TRUE(all["a"].heard_of.contains("run-1"));
    all["a"].heard_of.clear();
    talk(20 * 60);
    EXPECT_TRUE(all["a"].heard_of.empty());  // and not for ever: it is news once
    EXPECT_TRUE(say("a").lately.empty());
}

// What is too much to name in a message is not named, and then nothing may be concluded.
TEST_F(CancellationExchangeTest, SenderThatCannotNameAllSaysSo) {
    talk(3);
    for (int i = 0; i < 5000; ++i) all["b"].knows->note("run-" + std::to_string(i), now);
    EXPECT_FALSE(say("b").whole);
    const auto looked = now;
    talk(10);
    EXPECT_EQ(known(looked), looked);
}

// After so long a peer no longer names what it learned first.
TEST_F(CancellationExchangeTest, KnowledgeExpires) {
    talk(3);
    const auto looked = now;
    talk(static_cast<int>(Seconds(all["a"].knows->span()).count()) + 5);
    EXPECT_EQ(known(looked), looked);
}

TEST_F(CancellationExchangeTest, ReportSurvivesEncoding) {
    talk(3);
    peer::StatusMessage b;
    b.member = "b";
    all["b"].knows->note("run-1", now);
    b.cancellations = say("b");
    const auto there = peer::decode(peer::encode(b));
    EXPECT_EQ(there.cancellations.number, b.cancellations.number);
    EXPECT_TRUE(there.cancellations.whole);
    EXPECT_EQ(there.cancellations.lately, std::vector<std::string>{"run-1"});
    ASSERT_EQ(there.cancellations.heard.size(), 2u);
    EXPECT_EQ(there.cancellations.heard[0].member, "a");
    EXPECT_EQ(there.cancellations.heard[0].incarnation, 1u);
    EXPECT_EQ(there.cancellations.heard[0].number, b.cancellations.heard[0].number);
}

// The watch of a leader that is refused, or of everybody in an outage, stands open and tells of a cancellation long
// after its user was told. A machine that hangs must be given up by the time that counts from then.
TEST(LateCancellationTest, LateReadCancellationCountsFromWhenUsersWereTold) {
    SchedulerHarness w;
    w.elect();
    w.leader->set_machine_types(types());
    Worker m;
    w.accept(job("run-1", model::JobKind::service, 1));
    w.heartbeat(m);
    w.settle();
    for (int i = 0; i < 3; ++i) w.heartbeat(m);
    ASSERT_TRUE(w.place());
    w.heartbeat(m);
    m.run_all();
    w.heartbeat(m);
    ASSERT_EQ(w.machine_of("run-1", 0), m.name);
    // Told here; the machine hangs from now on.
    state::KeyValue outcome;
    outcome.key = scheduler::outcome_key("run-1");
    outcome.mod_revision = 1'000'000;
    outcome.value = boost::json::object{{"state", "aborted"}, {"at", w.wall_ms}, {"shape", "standing"}, {"shards", 1}};
    const auto told = w.now;
    w.pass(Seconds(30));
    w.wall_ms += 30'000;
    w.leader->job_changed(outcome, w.now, w.wall_ms);
    TimePoint given_up = TimePoint::max();
    // For that reason, the only one that counts in an outage.
    for (; w.now < told + model::to_clock(w.settings.cancel_deadline * 2) && given_up == TimePoint::max();
         w.pass(Seconds(1)))
        for (const auto& r : w.leader->scale_in(w.now))
            if (r.why == scheduler::cancelled_work) given_up = w.now;
    EXPECT_LT(given_up, told + model::to_clock(w.settings.cancel_deadline) - 5s);
}

// A peer's word, while the record cannot be read: no order is sent any more, and what runs is killed.
TEST(LateCancellationTest, CancellationReportedByAPeerStopsTheJob) {
    SchedulerHarness w;
    w.elect();
    w.leader->set_machine_types(types());
    Worker m;
    w.accept(job("run-1", model::JobKind::array, 1));
    w.heartbeat(m);
    w.settle();
    for (int i = 0; i < 3; ++i) w.heartbeat(m);
    ASSERT_TRUE(w.place());
    w.heartbeat(m);
    m.run_all();
    EXPECT_TRUE(w.leader->cancelled_by_peer("run-1", w.now));
    EXPECT_FALSE(w.leader->cancelled_by_peer("run-1", w.now));
    EXPECT_TRUE(w.ordered(w.heartbeat(m), CommandType::kill, "run-1", 0));
}

}  // namespace flintdale::test
