// The parts of scale runs that can be told without processes and sockets. The run itself: the test scale_run.
#include <gtest/gtest.h>
#include <sys/resource.h>

#include <fstream>

#include "load_test/fit.hpp"
#include "load_test/messages.hpp"
#include "load_test/ordered_checker.hpp"
#include "load_test/plan.hpp"
#include "load_test/query.hpp"
#include "load_test/rate_limit.hpp"
#include "model/command.hpp"
#include "model/job.hpp"
#include "model/machine.hpp"
#include "simulator/fleet.hpp"
#include "support/scheduler_harness.hpp"

namespace flintdale::test {

using namespace std::chrono_literals;

namespace {

const std::string scenario_file = LOAD_TEST_SCENARIO;

std::string refused(const load_test::Overrides& o) {
    try {
        load_test::make_plan(scenario_file, o);
    } catch (const config::ConfigError& e) {
        return e.what();
    }
    return "";
}

// The limit on open files, whatever the machine's is.
class OpenFiles {
  public:
    explicit OpenFiles(rlim_t most) {
        getrlimit(RLIMIT_NOFILE, &before_);
        rlimit now = before_;
        now.rlim_cur = std::min(most, before_.rlim_max);
        setrlimit(RLIMIT_NOFILE, &now);
    }
    ~OpenFiles() { setrlimit(RLIMIT_NOFILE, &before_); }
    OpenFiles(const OpenFiles&) = delete;
    OpenFiles& operator=(const OpenFiles&) = delete;

  private:
    rlimit before_{};
};

}  // namespace

TEST(LoadTestPlanTest, HasTheRequestedSize) {
    load_test::Overrides o;
    o.workers = 2000;
    o.controllers = 5;
    o.zones = 4;
    o.network = 9;
    const auto plan = load_test::make_plan(scenario_file, o);
    EXPECT_EQ(plan.scenario.warm, 2000u);
    EXPECT_EQ(plan.scenario.capacity, 2000u);
    EXPECT_EQ(plan.scenario.types.front().zones.size(), 4u);
    const auto settings = config::parse_settings(plan.settings_text(3), "settings");
    EXPECT_EQ(settings.controllers, 5u);
    EXPECT_EQ(settings.peers.size(), 4u);
    EXPECT_EQ(settings.teams.size(), plan.teams);
    EXPECT_EQ(settings.listen.host, "127.9.0.4");
    EXPECT_NE(plan.addresses.worker(1).host, plan.addresses.worker(251).host);
    load_test::Overrides half = o;
    half.workers = 1000;
    EXPECT_NEAR(load_test::make_plan(scenario_file, half).scenario.jobs[1].per_minute * 2,
                plan.scenario.jobs[1].per_minute, 1e-6);
}

TEST(LoadTestPlanTest, RefusesWhatDoesNotFitWithAReason) {
    const OpenFiles limit(20'000);
    load_test::Overrides o;
    o.workers = 0;
    EXPECT_NE(refused(o).find("workers"), std::string::npos);
    o.workers = 28'000;
    o.zones = 1;
    EXPECT_NE(refused(o).find("open files"), std::string::npos) << refused(o);
    o.zones = 23;
    EXPECT_EQ(refused(o), "");
    o = {};
    o.controllers = 51;
    EXPECT_NE(refused(o).find("controllers"), std::string::npos);
    o = {};
    o.kill_leader_s = 10;
    EXPECT_NE(refused(o).find("kill_leader_s"), std::string::npos) << "the window is not over by then";
    o = {};
    o.length_s = 20;
    EXPECT_NE(refused(o).find("window_s"), std::string::npos);
}

TEST(LoadTestMessagesTest, SurviveEncoding) {
    load_test::Progress progress;
    progress.now = model::TimePoint(123'456'789ns);
    progress.counts.reports = 7;
    progress.events.push_back(
        {load_test::TaskEvent::Kind::arrives, progress.now, {"run-1", 4}, {"n-1", "large", "zone-00", true}});
    progress.tokens.push_back({5, progress.now, true});
    progress.came_up = {"n-1", "n-2"};
    const auto read = std::get<load_test::Progress>(
        load_test::parse_from_workers(load_test::to_line(load_test::FromWorkers(progress))));
    EXPECT_EQ(read.now, progress.now);
    EXPECT_EQ(read.counts.reports, 7u);
    EXPECT_EQ(read.events.at(0).task, progress.events[0].task);
    EXPECT_EQ(read.events.at(0).place.zone, "zone-00");
    EXPECT_EQ(read.tokens.at(0).fencing_token, 5u);
    EXPECT_EQ(read.came_up.size(), 2u);

    load_test::UploadJob job{test::job("run-9", model::JobKind::gang, 3), model::Seconds(12)};
    const auto uploaded =
        std::get<load_test::UploadJob>(load_test::parse_to_workers(load_test::to_line(load_test::ToWorkers(job))));
    EXPECT_EQ(uploaded.spec.tasks, 3u);
    EXPECT_EQ(uploaded.runs, model::Seconds(12));
    EXPECT_THROW(load_test::parse_to_workers("{\"message\":\"dance\"}"), std::exception);
    EXPECT_THROW(load_test::parse_from_workers("{"), std::exception);
}

TEST(LoadTestMessagesTest, LatenciesAddUpAcrossProcesses) {
    load_test::Latencies a, b;
    for (int i = 0; i < 98; ++i) a.add(1ms);
    b.add(500ms);
    b.add(1000s);
    a.add(b);
    EXPECT_EQ(a.count(), 100u);
    EXPECT_NEAR(a.quantile(0.5).count(), 0.001, 0.0001);
    EXPECT_NEAR(a.quantile(0.99).count(), 0.5, 0.05);
    EXPECT_GE(a.quantile(1).count(), 99.0);
    EXPECT_EQ(a.since(b).count(), 98u);
    EXPECT_EQ(load_test::Latencies().quantile(0.5).count(), 0);
}

// A task leaves one machine and arrives on another, in two processes, and the arrival is told first.
TEST(LoadTestCheckerTest, CountsDuplicateRunsByTimeOfOccurrenceNotOfArrival) {
    const auto cluster = settings();
    const model::TimePoint start{std::chrono::seconds(10)};
    for (const bool overlap : {false, true}) {
        load_test::OrderedChecker checker(cluster, start);
        checker.submitted(test::job("run-1", model::JobKind::array, 1));
        const simulator::TaskName task{"run-1", 0};
        const auto arrives = [&](std::chrono::milliseconds at, const char* machine) {
            checker.at(start + at, [=](simulator::Checker& c) { c.arrives(task, {machine, "large", "a", false}); });
        };
        arrives(100ms, "n-1");
        arrives(overlap ? 190ms : 210ms, "n-2");
        checker.at(start + 200ms, [=](simulator::Checker& c) { c.leaves(task, "n-1"); });
        checker.settle(start + 150ms);
        EXPECT_TRUE(checker.checker().broken().empty());
        checker.settle(start + 300ms);
        EXPECT_EQ(checker.checker().broken().contains("ran_twice"), overlap);
    }
}

TEST(LoadTestFitTest, FindsALineAndReportsWhereThereIsNone) {
    std::vector<load_test::Point> points;
    for (const double n : {250.0, 1000.0, 4000.0})
        for (const double error : {-0.1, 0.1}) points.push_back({n, 3 + 0.01 * n + error});
    const auto line = load_test::fit_line(points);
    EXPECT_NEAR(line.fixed, 3, 0.1);
    EXPECT_NEAR(line.slope, 0.01, 1e-4);
    EXPECT_NEAR(line.residual, 0.1, 0.01);
    EXPECT_TRUE(line.straight());
    EXPECT_EQ(line.runs, 6u);
    for (auto& p : points) p.value = p.workers * p.workers;
    EXPECT_FALSE(load_test::fit_line(points).straight());
    EXPECT_EQ(load_test::fit_line({}).runs, 0u);
}

TEST(LoadTestServersTest, ParseQueriesAndEnforceLimits) {
    const auto query = load_test::parse_query("/kv?starts=c/&from=c/7&page=20");
    EXPECT_EQ(query.path, "/kv");
    EXPECT_EQ(query.text("starts"), "c/");
    EXPECT_EQ(query.number("page", 5), 20u);
    EXPECT_EQ(query.number("hold_ms", 5), 5u);
    EXPECT_EQ(load_test::parse_query("/ready").values.size(), 0u);
    EXPECT_THROW(load_test::parse_query("/kv?page=x").number("page", 1), std::exception);

    model::TimePoint now{};
    load_test::RateLimit limit(10, 2, now);
    EXPECT_TRUE(limit.take(20, now)) << "two seconds' worth at once";
    EXPECT_FALSE(limit.take(1, now));
    EXPECT_TRUE(limit.take(5, now + 500ms));
    EXPECT_FALSE(limit.take(1, now + 500ms));
}

// POST /commands by the protocol.
TEST(SimulatedWorkerTest, ObeysDirectCommandsOfItsIncarnationAndOfNoLowerFencingToken) {
    simulator::Events events(1);
    const auto cluster = settings();
    simulator::Scenario scenario;
    scenario.members = {"one"};
    model::MachineType type;
    type.name = "large";
    type.capacity = {8, 0, 32};
    type.zones = {"a"};
    type.fetch_gb_per_s = 1;
    scenario.types = {type};
    simulator::Checker checker(events, cluster);
    simulator::Fleet fleet(
        events, checker, cluster, scenario,
        [](std::size_t, const simulator::Origin&, net::Request, model::Seconds, simulator::Answered) {});
    const auto spec = test::job("run-1", model::JobKind::array, 1);
    checker.submitted(spec);
    fleet.upload(spec, model::Seconds(60));
    fleet.warm_up(1);
    events.advance(10ms);
    const auto command = [&](std::uint64_t fencing_token, std::uint64_t incarnation) {
        std::vector<model::Command> commands{{model::CommandType::run, {"run-1", 0}, 1, model::Seconds(0)}};
        return fleet.command("n-000001", wire::direct_commands(fencing_token, incarnation, commands)).value();
    };
    EXPECT_EQ(command(5, 2).status, 409u) << "of another session";
    EXPECT_EQ(command(5, 1).status, 200u);
    EXPECT_EQ(wire::parse_heartbeat(command(5, 1).body).tasks.size(), 1u) << "a repetition does nothing";
    EXPECT_EQ(command(4, 1).status, 409u);
    EXPECT_EQ(fleet.command("n-000001", "{\"orders\":[]}").value().status, 400u);
    fleet.die("n-000001");
    EXPECT_FALSE(fleet.command("n-000001", "{}"));
}

}  // namespace flintdale::test
