// The handover between leaders, and the renewal of workers' leases while there is no leader.
#include "model/heartbeat.hpp"
#include "model/job.hpp"
#include "model/task.hpp"
#include "scheduler/follower_leases.hpp"
#include "scheduler/handover_hints.hpp"
#include "support/scheduler_harness.hpp"

namespace flintdale::test {

using model::ExitReason;
using model::JobKind;
using wire::MachineHint;

namespace {

Worker machine(const std::string& name, const std::string& zone) {
    Worker w;
    w.name = name;
    w.zone = zone;
    return w;
}

std::vector<MachineHint> many_hints(int n) {
    std::vector<MachineHint> out;
    const auto image = [](int k) { return MachineHint::Image{"image-" + std::to_string(k), 4.5 + k}; };
    for (int i = 0; i < n; ++i)
        out.push_back(
            {"n-" + std::to_string(1000000 + i * 7919), {image(i * 31 % 17), image(20 + i % 13)}, i % 50 == 0});
    return out;
}

std::vector<state::KeyValue> to_items(const std::vector<state::Change>& pages) {
    std::vector<state::KeyValue> out;
    for (const auto& p : pages)
        if (p.value) out.push_back({p.key, *p.value, 1});
    return out;
}

state::KeyValue outcome(const std::string& uid, const char* state) {
    return {scheduler::outcome_key(uid), boost::json::object{{"state", state}}, 1};
}

model::Heartbeat with_task(const std::string& uid) {
    model::Heartbeat r;
    r.machine = "n-000001";
    model::TaskReport t;
    t.id = {uid, 0};
    t.attempt = 3;
    t.status = TaskStatus::running;
    r.tasks.push_back(t);
    return r;
}

// A gang of two tasks, each on a whole machine, placed by the first leader.
bool place_gang(SchedulerHarness& harness, Worker& m1, Worker& m2) {
    harness.elect();
    auto gang = job("run-1", JobKind::gang, 2);
    gang.need = {8, 2, 40};
    harness.accept(gang);
    harness.settle();
    for (auto* m : {&m1, &m2})
        for (int i = 0; i < 2; ++i) harness.heartbeat(*m);
    return harness.place();
}

// A follower that has watched the outcomes for the cancel deadline, which ends at `now`.
struct FollowerLeasesTest : ::testing::Test {
    config::Settings settings = test::settings();  // worker lease 18 s, cancel deadline 48 s
    scheduler::FollowerLeases follower{settings};
    TimePoint now{1000s};
    void watch(Seconds s) {
        for (; s.count() > 0; s -= Seconds(1)) {
            now += 1s;
            follower.outcomes_read({}, now);
        }
    }
    void SetUp() override {
        follower.watch_interrupted(now);
        watch(settings.cancel_deadline);
    }
    std::optional<std::vector<Command>> answer_second_heartbeat(const model::Heartbeat& r) {
        EXPECT_FALSE(follower.answer(r, now)) << "the first heartbeat must be redirected to the leader";
        return follower.answer(r, now);
    }
};

struct SilentZoneTest : ::testing::Test, SchedulerHarness {
    std::vector<Worker> zone_a_workers, zone_b_workers;
    SilentZoneTest() {
        for (int i = 0; i < 20; ++i) {
            zone_a_workers.push_back(machine("n-00010" + std::to_string(10 + i), "a"));
            zone_b_workers.push_back(machine("n-00020" + std::to_string(10 + i), "b"));
        }
        settings.worker_lease = Seconds(20);
    }
    int second = 0;
    // Advances the time by `seconds`. Every machine reports each third second, except the first `silent_machines` of
    // zone b.
    void run_seconds(int seconds, std::size_t silent_machines) {
        for (const int end = second + seconds; second < end; ++second) {
            advance(Seconds(1));
            for (std::size_t i = 0; i < zone_a_workers.size(); ++i)
                if ((static_cast<int>(i) + second) % 3 == 0) {
                    heartbeat(zone_a_workers[i]);
                    if (i >= silent_machines) heartbeat(zone_b_workers[i]);
                }
        }
    }
    std::size_t count_releases(const std::string& prefix) const {
        std::size_t n = 0;
        for (const auto& name : machines_to_release()) n += name.starts_with(prefix);
        return n;
    }
};

}  // namespace

TEST(MachineHintsTest, PageSurvivesEncoding) {
    const auto hints = many_hints(40);
    EXPECT_EQ(wire::decode_machine_hints(wire::encode_machine_hints(hints)), hints);
    EXPECT_TRUE(wire::decode_machine_hints(wire::encode_machine_hints({})).empty());
}

TEST(MachineHintsTest, DamagedTextIsRefused) {
    auto text = wire::encode_machine_hints(many_hints(40));
    EXPECT_THROW(wire::decode_machine_hints("no page"), wire::DecodeError);
    EXPECT_THROW(wire::decode_machine_hints(text.substr(0, text.size() / 2)), wire::DecodeError);
    text[text.size() / 2] = text[text.size() / 2] == 'A' ? 'B' : 'A';
    try {
        wire::decode_machine_hints(text);  // text that still decodes is accepted, because hints are only advice
    } catch (const wire::DecodeError&) {
    }
}

TEST(MachineHintsTest, PagesFitIntoValuesAndOnlyChangedOnesAreRewritten) {
    auto settings = test::settings();
    settings.store_limits.value_bytes = 2048;
    const state::RecordFormat record_format(settings);
    scheduler::HandoverHints handover_hints(record_format);
    auto hints = many_hints(1500);
    const auto pages = handover_hints.pages(hints);
    ASSERT_GT(pages.size(), 2u);
    for (const auto& p : pages) {
        EXPECT_TRUE(record_format.fits(*p.value));
        handover_hints.written(p);
    }
    EXPECT_TRUE(handover_hints.pages(hints).empty());
    hints.back().quarantined = !hints.back().quarantined;
    EXPECT_EQ(handover_hints.pages(hints).size(), 1u);
    scheduler::HandoverHints next(record_format);
    EXPECT_EQ(next.read(to_items(pages)).size(), 1500u);
    hints.resize(3);
    const auto fewer = next.pages(hints);
    EXPECT_EQ(fewer.size(), pages.size())
        << "one page is rewritten, and the remaining pages of the former leader are deleted";
    EXPECT_FALSE(fewer.back().value);
}

TEST(MachineHintsTest, UnreadablePageAffectsNoOther) {
    auto settings = test::settings();
    const state::RecordFormat record_format(settings);
    auto items = to_items(scheduler::HandoverHints(record_format).pages(many_hints(600)));
    ASSERT_GE(items.size(), 2u);
    items.front().value = 7;
    EXPECT_FALSE(scheduler::HandoverHints(record_format).read(items).empty());
}

// After each handover tasks were placed as if no machine held any image, and fetched for a minute or two an image that
// the next machine held.
TEST(MachineHintsTest, NewLeaderPlacesWhereTheImageIsCached) {
    SchedulerHarness harness;
    Worker m1 = machine("n-000001", "a"), m2 = machine("n-000002", "a");
    harness.elect();
    auto first = job("run-1", JobKind::array, 1);
    first.image_gb = 5;
    harness.accept(first);
    harness.settle();
    harness.heartbeat(m2);
    harness.heartbeat(m2);
    ASSERT_TRUE(harness.place());
    harness.heartbeat(m2);
    m2.run_all();
    harness.heartbeat(m2);
    m2.finish("run-1", 0, ExitReason::done);
    harness.heartbeat(m2);
    harness.commit();
    const auto hints = harness.leader->inventory().hints();
    ASSERT_EQ(hints.size(), 1u);
    EXPECT_EQ(hints[0].name, "n-000002");
    for (const bool with_hints : {false, true}) {
        harness.elect();
        for (auto* m : {&m1, &m2})
            for (int i = 0; i < 2; ++i) harness.heartbeat(*m);
        if (with_hints) harness.leader->inventory().apply_hints(hints);
        auto next = first;
        next.uid = with_hints ? "run-3" : "run-2";
        harness.accept(next);
        harness.settle();
        harness.heartbeat(m1);
        harness.heartbeat(m2);
        ASSERT_TRUE(harness.place());
        EXPECT_EQ(harness.machine_of(next.uid, 0), with_hints ? "n-000002" : "n-000001");
        harness.cancel(next.uid);
    }
}

TEST(MachineHintsTest, HintsOnUnknownMachinesAreKeptAndOwnObservationsTakePrecedence) {
    fleet::MachineInventory inventory;
    inventory.set_types(types());
    inventory.apply_hints({{"n-000001", {{"old", 5}, {"both", 5}}, true}});
    EXPECT_EQ(inventory.find("n-000001"), nullptr) << "a hint must not add a machine";
    auto& m = inventory.add("n-000001", "small", "a", false, TimePoint{1s});
    EXPECT_TRUE(m.quarantined);
    ASSERT_EQ(m.images.size(), 2u);
    inventory.remove("n-000001");
    inventory.apply_hints({{"n-000001", {}, true}});
    EXPECT_EQ(inventory.find("n-000001"), nullptr);
}

// After each handover jobs that had waited for minutes counted as the youngest.
TEST(GangFailoverTest, WaitOfAJobCountsFromItsAcceptanceUnderANewLeader) {
    SchedulerHarness harness;
    auto spec = job("run-1", JobKind::array, 1);
    spec.accepted_ms = harness.wall_ms;
    harness.accept(spec);
    harness.elect();
    EXPECT_EQ(harness.leader->job("run-1")->arrived, harness.now) << "without the time of day the wait begins now";
    for (const std::int64_t at : {harness.wall_ms + 90'000, harness.wall_ms - 5'000}) {
        Scheduler next(harness.settings, harness.operator_settings, harness.record_format, 99, 1, harness.now);
        next.set_machine_types(types());
        next.load(harness.keys.range(scheduler::work_prefix), harness.now, at);
        const auto waited = harness.now - next.job("run-1")->arrived;
        EXPECT_EQ(waited, at > harness.wall_ms ? model::Clock::duration(90s) : model::Clock::duration(0))
            << "a clock that runs behind must not change the wait";
    }
}

// A member reported, and that let its gang restart under a new attempt. Its delayed answer carried only the new run
// command, which the worker refused (in_use). The gang failed and fetched its images again on other machines.
TEST(GangFailoverTest, MemberWaitingUnderTheOldAttemptIsReplacedInTheDelayedResponse) {
    SchedulerHarness harness;
    Worker m1 = machine("n-000001", "a"), m2 = machine("n-000002", "a");
    ASSERT_TRUE(place_gang(harness, m1, m2));
    harness.heartbeat(m1);
    harness.heartbeat(m2);
    const auto late = m2.tasks.at(0).id.index;
    m1.tasks.at(0).status = TaskStatus::waiting;
    harness.heartbeat(m1);
    m1.finish("run-1", m1.tasks.at(0).id.index, ExitReason::gang_incomplete);
    harness.heartbeat(m1);
    m2.tasks.at(0).status = TaskStatus::waiting;
    const auto report = m2.report();
    ASSERT_TRUE(harness.leader->handle_heartbeat(report, harness.now)->empty())
        << "the new attempt is not recorded yet";
    EXPECT_TRUE(harness.leader->pending_runs(report).empty());
    harness.commit();
    const auto commands = harness.leader->pending_runs(report);
    ASSERT_EQ(commands.size(), 2u);
    EXPECT_EQ(commands[0].type, CommandType::kill);
    EXPECT_EQ(commands[0].attempt, 1u);
    EXPECT_EQ(commands[1].type, CommandType::run);
    EXPECT_EQ(commands[1].attempt, 2u);
    EXPECT_EQ(commands[1].id.index, late);
}

TEST(GangFailoverTest, ImageOfAMemberThatGaveUpWaitingIsKnownToTheNewLeader) {
    SchedulerHarness harness;
    Worker m1 = machine("n-000001", "a"), m2 = machine("n-000002", "a");
    ASSERT_TRUE(place_gang(harness, m1, m2));
    harness.heartbeat(m1);
    m1.finish("run-1", m1.tasks.at(0).id.index, ExitReason::gang_incomplete);
    harness.elect();
    harness.heartbeat(m1);
    EXPECT_EQ(harness.leader->job("run-1")->members_at_barrier, 1u);
    ASSERT_EQ(harness.leader->inventory().hints().size(), 1u);
    EXPECT_EQ(harness.leader->inventory().hints()[0].name, "n-000001");
}

TEST_F(FollowerLeasesTest, WorkerThatTheLeaderDidNotAnswerKeepsItsLease) {
    const auto commands = answer_second_heartbeat(with_task("run-1"));
    ASSERT_TRUE(commands);
    EXPECT_TRUE(commands->empty()) << "the answer must renew the lease without any command";
}

TEST_F(FollowerLeasesTest, StopsCancelledTasks) {
    follower.outcomes_read({outcome("run-1", "aborted"), outcome("run-2", "done")}, now);
    const auto commands = answer_second_heartbeat(with_task("run-1"));
    ASSERT_TRUE(commands);
    ASSERT_EQ(commands->size(), 1u);
    EXPECT_EQ(commands->at(0).type, CommandType::kill);
    EXPECT_EQ(commands->at(0).attempt, 3u);
    EXPECT_TRUE(follower.answer(with_task("run-2"), now)->empty());
}

// Work that is cancelled through another controller after the last read of the outcomes must be gone within cancel_s.
// So the lease that the last answer renewed must expire before then.
TEST_F(FollowerLeasesTest, StopsAnsweringWhileTheLeaseStillExpiresInTime) {
    const auto looked = now;
    TimePoint last{};
    for (; now < looked + model::to_clock(settings.cancel_deadline); now += 500ms)
        if (follower.answer(with_task("run-1"), now)) last = now;
    ASSERT_GT(last, looked);
    EXPECT_LT(last + model::to_clock(settings.worker_lease), looked + model::to_clock(settings.cancel_deadline));
}

TEST_F(FollowerLeasesTest, RenewsNoLeaseUntilEarlierCancelledWorkIsGone) {
    follower.watch_interrupted(now);
    watch(settings.cancel_deadline - Seconds(1));
    EXPECT_FALSE(answer_second_heartbeat(with_task("run-1")));
    watch(Seconds(1));
    EXPECT_TRUE(follower.answer(with_task("run-1"), now));
}

TEST_F(FollowerLeasesTest, ReturningWorkerIsRedirectedToTheLeaderAgain) {
    ASSERT_TRUE(answer_second_heartbeat(with_task("run-1")));
    watch(Seconds(30));
    EXPECT_FALSE(follower.answer(with_task("run-1"), now));
}

// The machines of a zone that was cut off were released one by one before a third of the spot or on-demand
// machines was overdue, and their cached images were lost.
TEST_F(SilentZoneTest, KeepsTheMachinesOfAZoneThatFallsSilentAsAWhole) {
    elect();
    run_seconds(12, 0);
    run_seconds(25, 20);
    EXPECT_EQ(count_releases("n-0002"), 0u) << "a silent zone must be kept although its leases may have expired";
    EXPECT_EQ(count_releases("n-0001"), 0u);
    run_seconds(70, 20);
    EXPECT_GT(count_releases("n-0002"), 0u) << "the wait for a silent zone must end";
}

TEST_F(SilentZoneTest, ManyDeadMachinesAreNotAPartitionAndAreReleasedAtOnce) {
    elect();
    run_seconds(12, 0);
    run_seconds(12, 5);
    EXPECT_EQ(count_releases("n-0002"), 5u);
}

TEST_F(SilentZoneTest, LaunchesNoMachineInASilentZone) {
    elect();
    run_seconds(12, 0);
    run_seconds(6, 20);
    accept(job("run-1", JobKind::array, 400));
    run_seconds(6, 20);
    place();
    const auto commands = leader->scale_out(now);
    ASSERT_FALSE(commands.empty());
    for (const auto& o : commands) EXPECT_EQ(o.pool.zone, "a");
}

}  // namespace flintdale::test
