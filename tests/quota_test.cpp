// Limits and guarantees of teams: the ledger, and what the leader makes of it.
#include <boost/random/mersenne_twister.hpp>

#include "election/members.hpp"
#include "model/job.hpp"
#include "model/resources.hpp"
#include "model/task.hpp"
#include "quota/quota_accounting.hpp"
#include "support/fake_store.hpp"

namespace flintdale::test {

namespace {

using model::JobKind;
using quota::Amount;
using quota::Figures;
using quota::QuotaAccounting;
using quota::Table;

model::JobSpec of_team(const std::string& uid, const std::string& team, std::uint32_t tasks, std::int64_t accepted) {
    auto s = job(uid, JobKind::array, tasks);
    s.team = team;
    s.accepted_ms = accepted;
    return s;
}

config::Settings with_teams(std::vector<config::Team> teams) {
    auto s = settings();
    s.teams = std::move(teams);
    return s;
}

// A team by its guarantee and limit in accelerators.
config::Team team(const std::string& name, double gpus, double gpus_limit = 0) {
    return {name, 0, 0, gpus, gpus_limit};
}

}  // namespace

TEST(QuotaTest, LimitLeavesRoomForWholeTasksAndUnknownTeamsHaveNone) {
    QuotaAccounting l(Table{{"red", {{10, 3}, {}}}, {"blue", {}}});
    const model::Resources need{4, 1, 10};
    EXPECT_EQ(l.room("red", need, 100), 2u) << "CPUs bind first";
    l.placed("red", need);
    EXPECT_EQ(l.room("red", need, 100), 1u);
    EXPECT_EQ(l.room("red", {0, 1, 1}, 100), 2u);
    EXPECT_EQ(l.room("blue", need, 100), 100u);
    EXPECT_EQ(l.room("green", need, 100), 0u);
    l.gone("red", need);
    EXPECT_EQ(l.use("red"), Amount{});
}

// No order of news makes the use other than a plain count of what is placed.
TEST(QuotaTest, UsageEqualsARecountAfterAnyEvents) {
    boost::random::mt19937 luck(7);
    QuotaAccounting l(Table{{"red", {{50, 20}, {}}}, {"blue", {{0, 9}, {}}}});
    std::vector<std::pair<std::string, model::Resources>> placed;
    for (int i = 0; i < 20'000; ++i) {
        const std::string who = luck() % 2 ? "red" : "blue";
        const model::Resources need{0.1 * (1 + luck() % 40), 1.0 * (luck() % 3), 1};
        if (luck() % 5 < 3 && l.room(who, need, 1) == 1) {
            l.placed(who, need);
            placed.emplace_back(who, need);
        } else if (!placed.empty()) {
            const auto at = luck() % placed.size();
            l.gone(placed[at].first, placed[at].second);
            placed.erase(placed.begin() + static_cast<std::ptrdiff_t>(at));
        }
        for (const auto& [name, f] : l.table()) {
            Amount sum;
            for (const auto& [t, n] : placed)
                if (t == name) sum = {sum.cpus + n.cpus, sum.gpus + n.gpus};
            ASSERT_NEAR(l.use(name).cpus, sum.cpus, 1e-6);
            ASSERT_EQ(l.use(name).gpus, sum.gpus);
            ASSERT_LE(sum.gpus, f.limit.gpus);
            if (f.limit.cpus > 0) {
                ASSERT_LE(sum.cpus, f.limit.cpus + 1e-6);
            }
        }
    }
}

TEST(QuotaTest, JobIsGuaranteedIfItFitsBesideItsTeamsEarlierJobs) {
    QuotaAccounting l(Table{{"red", {{}, {0, 4}}}, {"blue", {}}});
    l.opened(of_team("run-2", "red", 2, 20));
    l.opened(of_team("run-1", "red", 1, 10));
    l.opened(of_team("run-3", "red", 3, 30));
    l.opened(of_team("run-4", "red", 1, 40));
    l.opened(of_team("run-5", "blue", 1, 5));
    EXPECT_TRUE(l.guaranteed("red", "run-1"));
    EXPECT_TRUE(l.guaranteed("red", "run-2"));
    EXPECT_FALSE(l.guaranteed("red", "run-3"));
    EXPECT_FALSE(l.guaranteed("red", "run-4")) << "it would fit, but for the one before it";
    EXPECT_FALSE(l.guaranteed("blue", "run-5"));
    EXPECT_TRUE(l.below_guarantee("red"));
    l.over(of_team("run-2", "red", 2, 20));
    EXPECT_TRUE(l.guaranteed("red", "run-3"));
    EXPECT_FALSE(l.guaranteed("red", "run-4"));
    for (int i = 0; i < 4; ++i) l.placed("red", {4, 1, 10});
    EXPECT_FALSE(l.below_guarantee("red"));
}

TEST(QuotaTest, NoTeamIsPreemptedBelowItsOwnGuarantee) {
    QuotaAccounting l(Table{{"blue", {{}, {0, 2}}}, {"red", {}}});
    for (int i = 0; i < 3; ++i) l.placed("blue", {4, 1, 10});
    EXPECT_TRUE(l.may_stop("blue", {}, {4, 1, 10}));
    EXPECT_FALSE(l.may_stop("blue", {4, 1}, {4, 1, 10}));
    l.placed("red", {4, 1, 10});
    EXPECT_TRUE(l.may_stop("red", {}, {4, 1, 10}));
}

TEST(QuotaTest, StrictestFigureHoldsWhileTablesDiffer) {
    const Table old{{"red", {{0, 10}, {8, 4}}}, {"blue", {{20, 0}, {}}}};
    const Table fresh{{"red", {{30, 6}, {8, 6}}}, {"green", {{1, 1}, {}}}};
    const Table both{{"red", {{30, 6}, {8, 4}}}, {"blue", {{20, 0}, {}}}, {"green", {{1, 1}, {}}}};
    EXPECT_EQ(quota::strictest(old, fresh), both);
    EXPECT_EQ(quota::strictest(fresh, old), both);
}

TEST(QuotaTest, AboveALoweredLimitNothingIsStoppedAndNothingStarts) {
    SchedulerHarness w;
    w.settings = with_teams({team("team", 0, 6)});
    w.elect();
    w.accept(of_team("run-1", "team", 8, 1));
    w.settle();
    Worker m;
    m.type = "large";
    w.heartbeat(m);
    w.heartbeat(m);
    ASSERT_TRUE(w.place());
    EXPECT_EQ(w.leader->job("run-1")->placed, 6u);
    w.heartbeat(m);
    m.run_all();
    w.leader->set_teams(quota::table_of({team("team", 0, 4)}));
    EXPECT_TRUE(w.heartbeat(m).empty()) << "what runs goes on";
    m.finish("run-1", 0, model::ExitReason::done);
    w.heartbeat(m);
    w.advance(Seconds(5));
    EXPECT_FALSE(w.place());
    for (const std::uint32_t i : {1u, 2u}) m.finish("run-1", i, model::ExitReason::done);
    w.heartbeat(m);
    w.advance(Seconds(5));
    EXPECT_TRUE(w.place());
    EXPECT_EQ(w.leader->job("run-1")->placed, 4u);
}

// A machine that falls silent still holds what it may hold.
TEST(QuotaTest, SilentMachineCountsUntilTheCloudConfirmsItGone) {
    SchedulerHarness w;
    w.settings = with_teams({team("team", 0, 2)});
    w.elect();
    w.accept(of_team("run-1", "team", 4, 1));
    w.settle();
    Worker silent, other;
    other.name = "n-000002";
    w.heartbeat(silent);
    w.heartbeat(silent);
    ASSERT_TRUE(w.place());
    w.heartbeat(silent);
    w.heartbeat(other);
    w.heartbeat(other);
    w.advance(Seconds(100));
    w.heartbeat(other);
    EXPECT_FALSE(w.place());
    // Under the next leader as well, which knows the placements from the records only.
    w.elect();
    w.heartbeat(other);
    w.heartbeat(other);
    w.advance(Seconds(100));
    w.heartbeat(other);
    EXPECT_FALSE(w.place());
    w.leader->machines_released({silent.name}, w.now);
    EXPECT_TRUE(w.place());
    EXPECT_EQ(w.machine_of("run-1", 0), other.name);
}

TEST(QuotaTest, GuaranteedJobsPrecedeOtherTeamsOfAnyPriority) {
    SchedulerHarness w;
    w.settings = with_teams({team("team", 0), team("sure", 2)});
    w.elect();
    auto high = of_team("run-1", "team", 2, 1);
    high.priority = model::Priority::high;
    w.accept(high);
    auto low = of_team("run-2", "sure", 2, 2);
    low.priority = model::Priority::idle;
    w.accept(low);
    w.settle();
    Worker m;
    w.heartbeat(m);
    w.heartbeat(m);
    ASSERT_TRUE(w.place());
    EXPECT_EQ(w.machine_of("run-2", 0), m.name);
    EXPECT_EQ(w.machine_of("run-2", 1), m.name);
    EXPECT_EQ(w.machine_of("run-1", 0), "");
}

TEST(QuotaTest, GuaranteePreemptsOnlyWhatExceedsOtherGuarantees) {
    SchedulerHarness w;
    w.settings = with_teams({team("team", 0), team("sure", 2)});
    w.elect();
    auto big = of_team("run-1", "team", 4, 1);
    big.priority = model::Priority::high;
    w.accept(big);
    w.settle();
    Worker m1, m2;
    m2.name = "n-000002";
    for (auto* m : {&m1, &m2, &m1, &m2}) w.heartbeat(*m);
    ASSERT_TRUE(w.place());
    for (auto* m : {&m1, &m2}) {
        w.heartbeat(*m);
        m->run_all();
        w.heartbeat(*m);
    }
    auto low = of_team("run-2", "sure", 2, 2);
    low.priority = model::Priority::idle;
    w.accept(low);
    w.settle();
    unsigned stopped = 0;
    for (int round = 0; round < 3; ++round) {
        for (auto* m : {&m1, &m2}) {
            for (const auto& o : w.heartbeat(*m)) stopped += o.type == CommandType::kill;
            w.heartbeat(*m);
        }
        w.place();
        w.advance(Seconds(1));
    }
    EXPECT_EQ(stopped, 2u);
    EXPECT_NE(w.machine_of("run-2", 0), "");
    EXPECT_NE(w.machine_of("run-2", 1), "");
    EXPECT_FALSE(w.leader->teams().below_guarantee("sure"));
    // And it is not stopped in turn, by whoever has a higher rank and no guarantee.
    for (int round = 0; round < 5; ++round) {
        w.advance(Seconds(3));
        for (auto* m : {&m1, &m2})
            for (const auto& o : w.heartbeat(*m)) EXPECT_NE(o.type, CommandType::kill) << o.id.uid;
        w.place();
    }
}

TEST(QuotaTest, TeamWithinItsGuaranteeIsNotPreempted) {
    SchedulerHarness w;
    w.settings = with_teams({team("team", 2), team("sure", 2)});
    w.elect();
    w.accept(of_team("run-1", "team", 2, 1));
    w.settle();
    Worker m;
    w.heartbeat(m);
    w.heartbeat(m);
    ASSERT_TRUE(w.place());
    w.heartbeat(m);
    m.run_all();
    w.heartbeat(m);
    auto high = of_team("run-2", "sure", 2, 2);
    high.priority = model::Priority::critical;
    w.accept(high);
    w.settle();
    for (int round = 0; round < 4; ++round) {
        for (const auto& o : w.heartbeat(m)) EXPECT_NE(o.type, CommandType::kill);
        w.place();
        w.advance(Seconds(2));
    }
    EXPECT_EQ(w.machine_of("run-1", 0), m.name);
    EXPECT_FALSE(w.leader->scale_out(w.now).empty()) << "it gets a machine of its own";
}

// A roll of all controllers with a new table: the leader goes by the strictest until the last has come back.
TEST(QuotaTest, ChangedLimitsHoldFromTheFirstNewControllerToTheLastOldOne) {
    net::asio::io_context io;
    FakeStore store;
    auto old_settings = with_teams({team("team", 0, 8)});
    old_settings.controllers = 2;
    old_settings.member = "one";
    old_settings.peers = {{"two", "b", {}}};
    auto other = old_settings;
    other.member = "two";
    other.peers[0].member = "one";
    auto fresh = other;
    fresh.teams = {team("team", 0, 3)};
    state::RecordFormat record_format(old_settings);
    std::vector<double> limits;
    const auto told = [&](const quota::Table& t) { limits.push_back(t.at("team").limit.gpus); };
    const auto settle = [&] {
        io.restart();
        while (io.poll() > 0) {
        }
    };
    election::Members leader(store, old_settings, record_format, told);
    net::asio::co_spawn(io, leader.run(), net::asio::detached);
    settle();
    {
        net::asio::io_context second;
        election::Members before(store, other, record_format);
        net::asio::co_spawn(second, before.run(), net::asio::detached);
        while (second.poll() > 0) {
        }
    }
    EXPECT_TRUE(limits.empty()) << "all go by the same table";
    {
        net::asio::io_context second;
        election::Members after(store, fresh, record_format);
        net::asio::co_spawn(second, after.run(), net::asio::detached);
        while (second.poll() > 0) {
        }
    }
    // The key of a controller that is down stays, and so does what it says. Whoever begins now reads both.
    net::asio::io_context third;
    election::Members again(store, old_settings, record_format, told);
    net::asio::co_spawn(third, again.run(), net::asio::detached);
    while (third.poll() > 0) {
    }
    EXPECT_EQ(limits, std::vector<double>{3});
}

}  // namespace flintdale::test
