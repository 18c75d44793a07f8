// What one leader hands over to the next, and how workers are kept alive while there is none.
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

std::vector<MachineHint> many_notes(int n) {
    std::vector<MachineHint> out;
    const auto image = [](int k) { return MachineHint::Image{"image-" + std::to_string(k), 4.5 + k}; };
    for (int i = 0; i < n; ++i)
        out.push_back(
            {"n-" + std::to_string(1000000 + i * 7919), {image(i * 31 % 17), image(20 + i % 13)}, i % 50 == 0});
    return out;
}

std::vector<state::KeyValue> as_items(const std::vector<state::Change>& pages) {
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

// A gang of two, a whole machine each, placed by a first leader.
bool place_gang(SchedulerHarness& w, Worker& m1, Worker& m2) {
    w.elect();
    auto gang = job("run-1", JobKind::gang, 2);
    gang.need = {8, 2, 40};
    w.accept(gang);
    w.settle();
    for (auto* m : {&m1, &m2})
        for (int i = 0; i < 2; ++i) w.heartbeat(*m);
    return w.place();
}

// A follower that has watched for as long as it must, at `now`.
struct FollowerLeasesTest : ::testing::Test {
    config::Settings settings = test::settings();  // lease 18 s, cancellations 48 s
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
    std::optional<std::vector<Command>> asked_twice(const model::Heartbeat& r) {
        EXPECT_FALSE(follower.answer(r, now)) << "it may reach the leader, and is sent there first";
        return follower.answer(r, now);
    }
};

struct SilentZoneTest : ::testing::Test, SchedulerHarness {
    std::vector<Worker> here, there;
    SilentZoneTest() {
        for (int i = 0; i < 20; ++i) {
            here.push_back(machine("n-00010" + std::to_string(10 + i), "a"));
            there.push_back(machine("n-00020" + std::to_string(10 + i), "b"));
        }
        settings.worker_lease = Seconds(20);
    }
    int second = 0;
    // So many seconds, in which machines report every third, as they should, but for the first so many of zone b.
    void live(int seconds, std::size_t silent_there) {
        for (const int end = second + seconds; second < end; ++second) {
            advance(Seconds(1));
            for (std::size_t i = 0; i < here.size(); ++i)
                if ((static_cast<int>(i) + second) % 3 == 0) {
                    heartbeat(here[i]);
                    if (i >= silent_there) heartbeat(there[i]);
                }
        }
    }
    std::size_t returned(const std::string& prefix) const {
        std::size_t n = 0;
        for (const auto& name : machines_to_release()) n += name.starts_with(prefix);
        return n;
    }
};

}  // namespace

TEST(MachineHintsTest, PageSurvivesEncoding) {
    const auto notes = many_notes(40);
    EXPECT_EQ(wire::decode_machine_hints(wire::encode_machine_hints(notes)), notes);
    EXPECT_TRUE(wire::decode_machine_hints(wire::encode_machine_hints({})).empty());
}

TEST(MachineHintsTest, DamagedTextIsRefused) {
    auto text = wire::encode_machine_hints(many_notes(40));
    EXPECT_THROW(wire::decode_machine_hints("no page"), wire::DecodeError);
    EXPECT_THROW(wire::decode_machine_hints(text.substr(0, text.size() / 2)), wire::DecodeError);
    text[text.size() / 2] = text[text.size() / 2] == 'A' ? 'B' : 'A';
    try {
        wire::decode_machine_hints(text);  // what still unpacks is advice like any other
    } catch (const wire::DecodeError&) {
    }
}

TEST(MachineHintsTest, PagesFitIntoValuesAndOnlyChangedOnesAreRewritten) {
    auto settings = test::settings();
    settings.store_limits.value_bytes = 2048;
    const state::RecordFormat record_format(settings);
    scheduler::HandoverHints book(record_format);
    auto notes = many_notes(1500);
    const auto pages = book.pages(notes);
    ASSERT_GT(pages.size(), 2u);
    for (const auto& p : pages) {
        EXPECT_TRUE(record_format.fits(*p.value));
        book.written(p);
    }
    EXPECT_TRUE(book.pages(notes).empty());
    notes.back().quarantined = !notes.back().quarantined;
    EXPECT_EQ(book.pages(notes).size(), 1u);
    scheduler::HandoverHints next(record_format);
    EXPECT_EQ(next.read(as_items(pages)).size(), 1500u);
    notes.resize(3);
    const auto fewer = next.pages(notes);
    EXPECT_EQ(fewer.size(), pages.size()) << "one page, and the rest of the former leader's go";
    EXPECT_FALSE(fewer.back().value);
}

TEST(MachineHintsTest, UnreadablePageAffectsNoOther) {
    auto settings = test::settings();
    const state::RecordFormat record_format(settings);
    auto items = as_items(scheduler::HandoverHints(record_format).pages(many_notes(600)));
    ASSERT_GE(items.size(), 2u);
    items.front().value = 7;
    EXPECT_FALSE(scheduler::HandoverHints(record_format).read(items).empty());
}

// After each hand-over tasks were placed as if no machine held any image, and fetched for a minute or two what lay on
// the machine beside.
TEST(MachineHintsTest, NewLeaderPlacesWhereTheImageIsCached) {
    SchedulerHarness w;
    Worker m1 = machine("n-000001", "a"), m2 = machine("n-000002", "a");
    w.elect();
    auto first = job("run-1", JobKind::array, 1);
    first.image_gb = 5;
    w.accept(first);
    w.settle();
    w.heartbeat(m2);
    w.heartbeat(m2);
    ASSERT_TRUE(w.place());
    w.heartbeat(m2);
    m2.run_all();
    w.heartbeat(m2);
    m2.finish("run-1", 0, ExitReason::done);
    w.heartbeat(m2);
    w.commit();
    const auto notes = w.leader->inventory().notes();
    ASSERT_EQ(notes.size(), 1u);
    EXPECT_EQ(notes[0].name, "n-000002");
    for (const bool with_hints : {false, true}) {
        w.elect();
        for (auto* m : {&m1, &m2})
            for (int i = 0; i < 2; ++i) w.heartbeat(*m);
        if (with_hints) w.leader->inventory().recall(notes);
        auto next = first;
        next.uid = with_hints ? "run-3" : "run-2";
        w.accept(next);
        w.settle();
        w.heartbeat(m1);
        w.heartbeat(m2);
        ASSERT_TRUE(w.place());
        EXPECT_EQ(w.machine_of(next.uid, 0), with_hints ? "n-000002" : "n-000001");
        w.cancel(next.uid);
    }
}

TEST(MachineHintsTest, HintsOnUnknownMachinesAreKeptAndOwnObservationsTakePrecedence) {
    fleet::MachineInventory inventory;
    inventory.set_types(types());
    inventory.recall({{"n-000001", {{"old", 5}, {"both", 5}}, true}});
    EXPECT_EQ(inventory.find("n-000001"), nullptr) << "a note is no machine";
    auto& m = inventory.add("n-000001", "small", "a", false, TimePoint{1s});
    EXPECT_TRUE(m.quarantined);
    ASSERT_EQ(m.images.size(), 2u);
    inventory.remove("n-000001");
    inventory.recall({{"n-000001", {}, true}});
    EXPECT_EQ(inventory.find("n-000001"), nullptr);
}

// Jobs that had waited for minutes were the youngest after each hand-over.
TEST(GangFailoverTest, WaitingGangCompletesUnderANewLeader) {
    SchedulerHarness w;
    auto spec = job("run-1", JobKind::array, 1);
    spec.accepted_ms = w.wall_ms;
    w.accept(spec);
    w.elect();
    EXPECT_EQ(w.leader->job("run-1")->arrived, w.now) << "where the time of day is not given";
    for (const std::int64_t at : {w.wall_ms + 90'000, w.wall_ms - 5'000}) {
        Scheduler next(w.settings, w.operator_settings, w.record_format, 99, 1, w.now);
        next.set_machine_types(types());
        next.load(w.keys.range(scheduler::work_prefix), w.now, at);
        const auto waited = w.now - next.job("run-1")->arrived;
        EXPECT_EQ(waited, at > w.wall_ms ? model::Clock::duration(90s) : model::Clock::duration(0))
            << "a clock that runs behind makes nobody older";
    }
}

// Riga's loss: the member whose report let the gang regroup was answered with the new run alone, refused it (in_use),
// and the gang failed and fetched again on other machines.
TEST(GangFailoverTest, MemberWaitingUnderTheOldAttemptIsReplacedInTheDelayedResponse) {
    SchedulerHarness w;
    Worker m1 = machine("n-000001", "a"), m2 = machine("n-000002", "a");
    ASSERT_TRUE(place_gang(w, m1, m2));
    w.heartbeat(m1);
    w.heartbeat(m2);
    const auto late = m2.tasks.at(0).id.index;
    m1.tasks.at(0).status = TaskStatus::waiting;
    w.heartbeat(m1);
    m1.finish("run-1", m1.tasks.at(0).id.index, ExitReason::gang_incomplete);
    w.heartbeat(m1);
    m2.tasks.at(0).status = TaskStatus::waiting;
    const auto report = m2.report();
    ASSERT_TRUE(w.leader->handle_heartbeat(report, w.now)->empty()) << "the new attempt is not on record yet";
    EXPECT_TRUE(w.leader->pending_runs(report).empty());
    w.commit();
    const auto commands = w.leader->pending_runs(report);
    ASSERT_EQ(commands.size(), 2u);
    EXPECT_EQ(commands[0].type, CommandType::kill);
    EXPECT_EQ(commands[0].attempt, 1u);
    EXPECT_EQ(commands[1].type, CommandType::run);
    EXPECT_EQ(commands[1].attempt, 2u);
    EXPECT_EQ(commands[1].id.index, late);
}

TEST(GangFailoverTest, ImageOfAMemberThatGaveUpWaitingIsKnownToTheNewLeader) {
    SchedulerHarness w;
    Worker m1 = machine("n-000001", "a"), m2 = machine("n-000002", "a");
    ASSERT_TRUE(place_gang(w, m1, m2));
    w.heartbeat(m1);
    m1.finish("run-1", m1.tasks.at(0).id.index, ExitReason::gang_incomplete);
    w.elect();
    w.heartbeat(m1);
    EXPECT_EQ(w.leader->job("run-1")->members_at_barrier, 1u);
    ASSERT_EQ(w.leader->inventory().notes().size(), 1u);
    EXPECT_EQ(w.leader->inventory().notes()[0].name, "n-000001");
}

TEST_F(FollowerLeasesTest, WorkerThatTheLeaderDidNotAnswerKeepsItsLease) {
    const auto commands = asked_twice(with_task("run-1"));
    ASSERT_TRUE(commands);
    EXPECT_TRUE(commands->empty()) << "nothing is given to it, and nothing taken";
}

TEST_F(FollowerLeasesTest, StopsCancelledTasks) {
    follower.outcomes_read({outcome("run-1", "aborted"), outcome("run-2", "done")}, now);
    const auto commands = asked_twice(with_task("run-1"));
    ASSERT_TRUE(commands);
    ASSERT_EQ(commands->size(), 1u);
    EXPECT_EQ(commands->at(0).type, CommandType::kill);
    EXPECT_EQ(commands->at(0).attempt, 3u);
    EXPECT_TRUE(follower.answer(with_task("run-2"), now)->empty());
}

// Whoever's task is cancelled elsewhere after the last look must see it gone within cancel_s: the lease that the last
// answer renewed has to run out by then.
TEST_F(FollowerLeasesTest, StopsAnsweringWhileTheLeaseStillExpiresInTime) {
    const auto looked = now;
    TimePoint last{};
    for (; now < looked + model::to_clock(settings.cancel_deadline); now += 500ms)
        if (follower.answer(with_task("run-1"), now)) last = now;
    ASSERT_GT(last, looked);
    EXPECT_LT(last + model::to_clock(settings.worker_lease), looked + model::to_clock(settings.cancel_deadline));
}

TEST_F(FollowerLeasesTest, WaitsUntilWhatWasCancelledBeforeItWatchedIsGone) {
    follower.watch_interrupted(now);
    watch(settings.cancel_deadline - Seconds(1));
    EXPECT_FALSE(asked_twice(with_task("run-1")));
    watch(Seconds(1));
    EXPECT_TRUE(follower.answer(with_task("run-1"), now));
}

TEST_F(FollowerLeasesTest, ReturningWorkerIsRedirectedToTheLeaderAgain) {
    ASSERT_TRUE(asked_twice(with_task("run-1")));
    watch(Seconds(30));
    EXPECT_FALSE(follower.answer(with_task("run-1"), now));
}

// A cut zone's machines were returned one by one before a third of their kind was overdue, images and all.
TEST_F(SilentZoneTest, WaitsForAZoneThatFallsSilentAsAWhole) {
    elect();
    live(12, 0);
    live(25, 20);
    EXPECT_EQ(returned("n-0002"), 0u) << "its leases may have run out, but what it holds is worth a wait";
    EXPECT_EQ(returned("n-0001"), 0u);
    live(70, 20);
    EXPECT_GT(returned("n-0002"), 0u) << "not for ever";
}

TEST_F(SilentZoneTest, ManyDeadMachinesAreNoPartitionAndAreReplacedAtOnce) {
    elect();
    live(12, 0);
    live(12, 5);
    EXPECT_EQ(returned("n-0002"), 5u);
}

TEST_F(SilentZoneTest, LaunchesNoMachineWhereItCouldNotBeHeard) {
    elect();
    live(12, 0);
    live(6, 20);
    accept(job("run-1", JobKind::array, 400));
    live(6, 20);
    place();
    const auto commands = leader->scale_out(now);
    ASSERT_FALSE(commands.empty());
    for (const auto& o : commands) EXPECT_EQ(o.pool.zone, "a");
}

}  // namespace flintdale::test
