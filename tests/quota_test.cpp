// Limits and guarantees of teams: their accounting, and how the leader applies them.
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
using quota::QuotaAccounting;
using quota::Table;
using quota::TeamQuota;

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

// `gpus`: the guarantee; `gpus_limit`: the limit. CPUs are neither guaranteed nor limited.
config::Team team(const std::string& name, double gpus, double gpus_limit = 0) {
    return {name, 0, 0, gpus, gpus_limit};
}

}  // namespace

TEST(QuotaTest, LimitLeavesRoomForWholeTasksAndUnknownTeamsHaveNone) {
    QuotaAccounting accounting(Table{{"red", {{10, 3}, {}}}, {"blue", {}}});
    const model::Resources need{4, 1, 10};
    EXPECT_EQ(accounting.room("red", need, 100), 2u) << "the CPU limit allows fewer tasks than the accelerator limit";
    accounting.task_placed("red", need);
    EXPECT_EQ(accounting.room("red", need, 100), 1u);
    EXPECT_EQ(accounting.room("red", {0, 1, 1}, 100), 2u);
    EXPECT_EQ(accounting.room("blue", need, 100), 100u);
    EXPECT_EQ(accounting.room("green", need, 100), 0u);
    accounting.task_gone("red", need);
    EXPECT_EQ(accounting.use("red"), Amount{});
}

// In any order of placements and confirmed ends, the usage equals the sum over the tasks that are placed.
TEST(QuotaTest, UsageEqualsARecountAfterAnyEvents) {
    boost::random::mt19937 random(7);
    QuotaAccounting accounting(Table{{"red", {{50, 20}, {}}}, {"blue", {{0, 9}, {}}}});
    std::vector<std::pair<std::string, model::Resources>> placed;
    for (int i = 0; i < 20'000; ++i) {
        const std::string name = random() % 2 ? "red" : "blue";
        const model::Resources need{0.1 * (1 + random() % 40), 1.0 * (random() % 3), 1};
        if (random() % 5 < 3 && accounting.room(name, need, 1) == 1) {
            accounting.task_placed(name, need);
            placed.emplace_back(name, need);
        } else if (!placed.empty()) {
            const auto at = random() % placed.size();
            accounting.task_gone(placed[at].first, placed[at].second);
            placed.erase(placed.begin() + static_cast<std::ptrdiff_t>(at));
        }
        for (const auto& [team_name, quota] : accounting.table()) {
            Amount sum;
            for (const auto& [t, n] : placed)
                if (t == team_name) sum = {sum.cpus + n.cpus, sum.gpus + n.gpus};
            ASSERT_NEAR(accounting.use(team_name).cpus, sum.cpus, 1e-6);
            ASSERT_EQ(accounting.use(team_name).gpus, sum.gpus);
            ASSERT_LE(sum.gpus, quota.limit.gpus);
            if (quota.limit.cpus > 0) {
                ASSERT_LE(sum.cpus, quota.limit.cpus + 1e-6);
            }
        }
    }
}

TEST(QuotaTest, JobIsGuaranteedIfItFitsWithItsTeamsEarlierJobs) {
    QuotaAccounting accounting(Table{{"red", {{}, {0, 4}}}, {"blue", {}}});
    accounting.job_opened(of_team("run-2", "red", 2, 20));
    accounting.job_opened(of_team("run-1", "red", 1, 10));
    accounting.job_opened(of_team("run-3", "red", 3, 30));
    accounting.job_opened(of_team("run-4", "red", 1, 40));
    accounting.job_opened(of_team("run-5", "blue", 1, 5));
    EXPECT_TRUE(accounting.guaranteed("red", "run-1"));
    EXPECT_TRUE(accounting.guaranteed("red", "run-2"));
    EXPECT_FALSE(accounting.guaranteed("red", "run-3"));
    EXPECT_FALSE(accounting.guaranteed("red", "run-4")) << "would fit without run-3, which was accepted earlier";
    EXPECT_FALSE(accounting.guaranteed("blue", "run-5"));
    EXPECT_TRUE(accounting.below_guarantee("red"));
    accounting.job_closed(of_team("run-2", "red", 2, 20));
    EXPECT_TRUE(accounting.guaranteed("red", "run-3"));
    EXPECT_FALSE(accounting.guaranteed("red", "run-4"));
    for (int i = 0; i < 4; ++i) accounting.task_placed("red", {4, 1, 10});
    EXPECT_FALSE(accounting.below_guarantee("red"));
}

TEST(QuotaTest, NoTeamIsPreemptedBelowItsOwnGuarantee) {
    QuotaAccounting accounting(Table{{"blue", {{}, {0, 2}}}, {"red", {}}});
    for (int i = 0; i < 3; ++i) accounting.task_placed("blue", {4, 1, 10});
    EXPECT_TRUE(accounting.may_preempt("blue", {}, {4, 1, 10}));
    EXPECT_FALSE(accounting.may_preempt("blue", {4, 1}, {4, 1, 10}));
    accounting.task_placed("red", {4, 1, 10});
    EXPECT_TRUE(accounting.may_preempt("red", {}, {4, 1, 10}));
}

TEST(QuotaTest, StrictestQuotaAppliesWhileTablesDiffer) {
    const Table old{{"red", {{0, 10}, {8, 4}}}, {"blue", {{20, 0}, {}}}};
    const Table fresh{{"red", {{30, 6}, {8, 6}}}, {"green", {{1, 1}, {}}}};
    const Table both{{"red", {{30, 6}, {8, 4}}}, {"blue", {{20, 0}, {}}}, {"green", {{1, 1}, {}}}};
    EXPECT_EQ(quota::strictest(old, fresh), both);
    EXPECT_EQ(quota::strictest(fresh, old), both);
}

TEST(QuotaTest, TasksAboveALoweredLimitKeepRunningAndNoneStarts) {
    SchedulerHarness harness;
    harness.settings = with_teams({team("team", 0, 6)});
    harness.elect();
    harness.accept(of_team("run-1", "team", 8, 1));
    harness.settle();
    Worker worker;
    worker.type = "large";
    harness.heartbeat(worker);
    harness.heartbeat(worker);
    ASSERT_TRUE(harness.place());
    EXPECT_EQ(harness.leader->job("run-1")->placed, 6u);
    harness.heartbeat(worker);
    worker.run_all();
    harness.leader->set_teams(quota::table_of({team("team", 0, 4)}));
    EXPECT_TRUE(harness.heartbeat(worker).empty()) << "running tasks above the lowered limit must not be stopped";
    worker.finish("run-1", 0, model::ExitReason::done);
    harness.heartbeat(worker);
    harness.advance(Seconds(5));
    EXPECT_FALSE(harness.place());
    for (const std::uint32_t i : {1u, 2u}) worker.finish("run-1", i, model::ExitReason::done);
    harness.heartbeat(worker);
    harness.advance(Seconds(5));
    EXPECT_TRUE(harness.place());
    EXPECT_EQ(harness.leader->job("run-1")->placed, 4u);
}

// Tasks on a silent machine may still run, so they count until the cloud confirms that the machine is gone.
TEST(QuotaTest, SilentMachineCountsUntilTheCloudConfirmsItGone) {
    SchedulerHarness harness;
    harness.settings = with_teams({team("team", 0, 2)});
    harness.elect();
    harness.accept(of_team("run-1", "team", 4, 1));
    harness.settle();
    Worker silent, other;
    other.name = "n-000002";
    harness.heartbeat(silent);
    harness.heartbeat(silent);
    ASSERT_TRUE(harness.place());
    harness.heartbeat(silent);
    harness.heartbeat(other);
    harness.heartbeat(other);
    harness.advance(Seconds(100));
    harness.heartbeat(other);
    EXPECT_FALSE(harness.place());
    // The same holds under the next leader, which knows the placements from the records only.
    harness.elect();
    harness.heartbeat(other);
    harness.heartbeat(other);
    harness.advance(Seconds(100));
    harness.heartbeat(other);
    EXPECT_FALSE(harness.place());
    harness.leader->machines_released({silent.name}, harness.now);
    EXPECT_TRUE(harness.place());
    EXPECT_EQ(harness.machine_of("run-1", 0), other.name);
}

TEST(QuotaTest, GuaranteedJobsPrecedeOtherTeamsOfAnyPriority) {
    SchedulerHarness harness;
    harness.settings = with_teams({team("team", 0), team("guaranteed", 2)});
    harness.elect();
    auto high = of_team("run-1", "team", 2, 1);
    high.priority = model::Priority::high;
    harness.accept(high);
    auto low = of_team("run-2", "guaranteed", 2, 2);
    low.priority = model::Priority::idle;
    harness.accept(low);
    harness.settle();
    Worker worker;
    harness.heartbeat(worker);
    harness.heartbeat(worker);
    ASSERT_TRUE(harness.place());
    EXPECT_EQ(harness.machine_of("run-2", 0), worker.name);
    EXPECT_EQ(harness.machine_of("run-2", 1), worker.name);
    EXPECT_EQ(harness.machine_of("run-1", 0), "");
}

TEST(QuotaTest, GuaranteePreemptsOnlyWhatExceedsOtherGuarantees) {
    SchedulerHarness harness;
    harness.settings = with_teams({team("team", 0), team("guaranteed", 2)});
    harness.elect();
    auto big = of_team("run-1", "team", 4, 1);
    big.priority = model::Priority::high;
    harness.accept(big);
    harness.settle();
    Worker first_worker, second_worker;
    second_worker.name = "n-000002";
    for (auto* worker : {&first_worker, &second_worker, &first_worker, &second_worker}) harness.heartbeat(*worker);
    ASSERT_TRUE(harness.place());
    for (auto* worker : {&first_worker, &second_worker}) {
        harness.heartbeat(*worker);
        worker->run_all();
        harness.heartbeat(*worker);
    }
    auto low = of_team("run-2", "guaranteed", 2, 2);
    low.priority = model::Priority::idle;
    harness.accept(low);
    harness.settle();
    unsigned stopped = 0;
    for (int round = 0; round < 3; ++round) {
        for (auto* worker : {&first_worker, &second_worker}) {
            for (const auto& command : harness.heartbeat(*worker)) stopped += command.type == CommandType::kill;
            harness.heartbeat(*worker);
        }
        harness.place();
        harness.advance(Seconds(1));
    }
    EXPECT_EQ(stopped, 2u);
    EXPECT_NE(harness.machine_of("run-2", 0), "");
    EXPECT_NE(harness.machine_of("run-2", 1), "");
    EXPECT_FALSE(harness.leader->teams().below_guarantee("guaranteed"));
    // The guaranteed job is not preempted in turn by jobs of a higher priority without a guarantee.
    for (int round = 0; round < 5; ++round) {
        harness.advance(Seconds(3));
        for (auto* worker : {&first_worker, &second_worker})
            for (const auto& command : harness.heartbeat(*worker))
                EXPECT_NE(command.type, CommandType::kill) << command.id.uid;
        harness.place();
    }
}

TEST(QuotaTest, TeamWithinItsGuaranteeIsNotPreempted) {
    SchedulerHarness harness;
    harness.settings = with_teams({team("team", 2), team("guaranteed", 2)});
    harness.elect();
    harness.accept(of_team("run-1", "team", 2, 1));
    harness.settle();
    Worker worker;
    harness.heartbeat(worker);
    harness.heartbeat(worker);
    ASSERT_TRUE(harness.place());
    harness.heartbeat(worker);
    worker.run_all();
    harness.heartbeat(worker);
    auto high = of_team("run-2", "guaranteed", 2, 2);
    high.priority = model::Priority::critical;
    harness.accept(high);
    harness.settle();
    for (int round = 0; round < 4; ++round) {
        for (const auto& command : harness.heartbeat(worker)) EXPECT_NE(command.type, CommandType::kill);
        harness.place();
        harness.advance(Seconds(2));
    }
    EXPECT_EQ(harness.machine_of("run-1", 0), worker.name);
    EXPECT_FALSE(harness.leader->scale_out(harness.now).empty()) << "run-2 must get a new machine instead";
}

// A rolling restart of all controllers with a new table: the leader applies the strictest limits until the last
// controller has restarted.
TEST(QuotaTest, StrictestLimitsApplyDuringARollingRestart) {
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
    const auto table_changed = [&](const quota::Table& t) { limits.push_back(t.at("team").limit.gpus); };
    const auto settle = [&] {
        io.restart();
        while (io.poll() > 0) {
        }
    };
    election::Members leader(store, old_settings, record_format, table_changed);
    net::asio::co_spawn(io, leader.run(), net::asio::detached);
    settle();
    {
        net::asio::io_context second;
        election::Members before(store, other, record_format);
        net::asio::co_spawn(second, before.run(), net::asio::detached);
        while (second.poll() > 0) {
        }
    }
    EXPECT_TRUE(limits.empty()) << "both controllers have the same table";
    {
        net::asio::io_context second;
        election::Members after(store, fresh, record_format);
        net::asio::co_spawn(second, after.run(), net::asio::detached);
        while (second.poll() > 0) {
        }
    }
    // The key of a stopped controller stays in the store, with its table. A controller that starts now reads both
    // tables.
    net::asio::io_context third;
    election::Members again(store, old_settings, record_format, table_changed);
    net::asio::co_spawn(third, again.run(), net::asio::detached);
    while (third.poll() > 0) {
    }
    EXPECT_EQ(limits, std::vector<double>{3});
}

}  // namespace flintdale::test
