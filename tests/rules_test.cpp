// A story for each rule that a day must not break: the danger, and that the guard holds.
#include <algorithm>

#include "model/job.hpp"
#include "model/machine.hpp"
#include "model/task.hpp"
#include "scheduler/lease_rule.hpp"
#include "support/scheduler_harness.hpp"

namespace flintdale::test {

using model::ExitReason;
using model::JobKind;

namespace {

Worker machine(const std::string& name, const std::string& zone, const std::string& type = "small") {
    Worker w;
    w.name = name;
    w.zone = zone;
    w.type = type;
    return w;
}

struct SchedulerTest : ::testing::Test, SchedulerHarness {
    Worker m1 = machine("n-000001", "a"), m2 = machine("n-000002", "b");

    // Two reports: the first makes a worker see the term, the second counts for what it lacks.
    void meet(Worker& w) {
        heartbeat(w);
        heartbeat(w);
    }
    void start(const model::JobSpec& spec, std::initializer_list<Worker*> workers) {
        accept(spec);
        settle();
        for (auto* w : workers) meet(*w);
        ASSERT_TRUE(place());
        for (auto* w : workers) heartbeat(*w);
        for (auto* w : workers) w->run_all();
        for (auto* w : workers) heartbeat(*w);
    }
    bool on_record(const std::string& uid, const std::string& machine) const {
        return boost::json::serialize(keys.get(scheduler::work_key(uid, 0)).value).find(machine) != std::string::npos;
    }
    static model::JobSpec replica(const std::string& uid) {
        auto s = job(uid, JobKind::service, 1);
        s.priority = model::Priority::critical;
        s.image = "big";
        s.image_gb = 12;  // two minutes
        return s;
    }
    // n-000001 has that image, and no room but for an array's task that saves.
    void fill_with_image() {
        elect();
        auto array = job("run-2", JobKind::array, 1);
        array.checkpoint_interval = Seconds(15);
        array.checkpoint_duration = Seconds(2);
        start(replica("run-1"), {&m1});
        start(array, {&m1});
    }
};

}  // namespace

TEST_F(SchedulerTest, SilentMachinesTaskStartsElsewhereOnlyAfterItsRelease) {
    elect();
    start(job("run-1", JobKind::array, 1), {&m1});
    ASSERT_EQ(machine_of("run-1", 0), "n-000001");
    for (int i = 0; i < 20; ++i) {  // a minute without a word from n-000001, far beyond its lease
        pass(3s);
        heartbeat(m2);
        place();
        ASSERT_EQ(machine_of("run-1", 0), "n-000001") << "silence is no evidence";
    }
    const auto going = returns();
    ASSERT_EQ(std::count(going.begin(), going.end(), "n-000001"), 1);
    ASSERT_EQ(machine_of("run-1", 0), "n-000001") << "a release that is not answered is no evidence either";
    leader->machines_released({"n-000001"}, now);
    ASSERT_TRUE(place());
    EXPECT_EQ(machine_of("run-1", 0), "n-000002");
    EXPECT_FALSE(leader->handle_heartbeat(m1.report(), now)) << "a late report of a released machine is not believed";
}

TEST_F(SchedulerTest, NextLeaderFindsTheIntentOfOneThatDiedBeforeItsRunCommand) {
    elect();
    accept(job("run-1", JobKind::array, 1));
    settle();
    meet(m1);
    ASSERT_TRUE(place());  // on record for n-000001, and then the leader is gone
    auto& next = elect();
    settle();
    meet(m2);
    EXPECT_FALSE(place()) << "the task may be on n-000001";
    auto commands = heartbeat(m1);
    EXPECT_FALSE(ordered(commands, CommandType::run, "run-1", 0)) << "n-000001 has not seen this term yet";
    commands = heartbeat(m1);
    EXPECT_TRUE(ordered(commands, CommandType::run, "run-1", 0));
    EXPECT_EQ(next.count("run-1")->done, 0u);
}

TEST_F(SchedulerTest, NoRunCommandLeavesBeforeItsIntentIsOnRecord) {
    elect();
    accept(job("run-1", JobKind::array, 1));
    settle();
    meet(m1);
    ASSERT_TRUE(leader->place(now));
    EXPECT_FALSE(ordered(heartbeat(m1), CommandType::run, "run-1", 0));
    commit();
    EXPECT_TRUE(ordered(heartbeat(m1), CommandType::run, "run-1", 0));
}

TEST_F(SchedulerTest, OldLeaderCannotRecordAPlacement) {
    elect();
    accept(job("run-1", JobKind::array, 1));
    settle();
    meet(m1);
    auto old = std::move(leader);
    elect();
    ASSERT_TRUE(old->place(now));
    const auto batch = old->next_batch(1000);
    EXPECT_EQ(keys.commit(batch.txn).outcome, state::Outcome::conflict);
    EXPECT_TRUE(keys.get("jobs/work/run-1").value.as_object().at("tasks").as_array().empty());
}

TEST_F(SchedulerTest, LostResponseIsRepeatedAndALateHeartbeatIgnored) {
    elect();
    accept(job("run-1", JobKind::array, 1));
    settle();
    meet(m1);
    ASSERT_TRUE(place());
    const auto old_report = m1.report();
    ASSERT_TRUE(ordered(heartbeat(m1, false), CommandType::run, "run-1", 0));
    EXPECT_TRUE(ordered(heartbeat(m1), CommandType::run, "run-1", 0)) << "the worker dropped the first answer";
    heartbeat(m1);
    EXPECT_FALSE(leader->handle_heartbeat(old_report, now)) << "a report from before must not undo what is known";
    EXPECT_EQ(machine_of("run-1", 0), "n-000001");
    EXPECT_FALSE(ordered(heartbeat(m1), CommandType::run, "run-1", 0));
}

TEST_F(SchedulerTest, NewIncarnationIsEvidenceThatTasksAreGone) {
    elect();
    start(job("run-1", JobKind::array, 1), {&m1});
    m1.lose_lease();
    heartbeat(m1);
    EXPECT_EQ(machine_of("run-1", 0), "");
    ASSERT_TRUE(place());
    EXPECT_EQ(leader->job("run-1")->tasks[0].attempt, 2u);
}

TEST_F(SchedulerTest, TasksOnSilentMachinesStillCountAgainstTheQuota) {
    elect();
    auto first = job("run-1", JobKind::array, 2);  // two tasks of 4 fill the limit of 8
    first.team = "limited";
    start(first, {&m1});
    ASSERT_EQ(leader->job("run-1")->placed, 2u);
    auto second = job("run-2", JobKind::array, 1);
    second.team = "limited";
    accept(second);
    for (int i = 0; i < 20; ++i) {
        pass(3s);
        heartbeat(m2);
        EXPECT_FALSE(place());
    }
    leader->machines_released({"n-000001"}, now);
    EXPECT_TRUE(place());
    EXPECT_LE(leader->job("run-1")->placed + leader->job("run-2")->placed, 2u);
}

// Found by the lab: a leader that gives up a placement before its `run` was carried out tells the record some seconds
// later, and puts another task in its place at once. If it ends in between, the next one reads of both.
TEST_F(SchedulerTest, AbandonedPlacementIsNotStartedByTheNextLeader) {
    elect();
    auto first = job("run-1", JobKind::array, 2);  // two tasks of 4 fill the limit of 8
    first.team = "limited";
    meet(m1);
    accept(first);
    settle();
    heartbeat(m1);
    ASSERT_TRUE(place());
    ASSERT_EQ(leader->job("run-1")->placed, 2u);
    auto second = job("run-2", JobKind::array, 2);
    second.team = "limited";
    accept(second);
    // What is on record at that moment of the first job, which is given up, and of the second, which took its place.
    state::Txn txn;
    auto record = keys.get("jobs/work/run-2").value.as_object();
    record["tasks"] = wire::ranges_to_record({{0, 1, 1, m2.name, false}});
    txn.changes.push_back({"jobs/work/run-2", record, 0});
    keys.commit(txn);
    elect();
    ASSERT_EQ(leader->job("run-1")->placed + leader->job("run-2")->placed, 4u);
    for (const std::uint32_t i : {0u, 1u}) {
        model::TaskReport t;
        t.id = {"run-2", i};
        t.attempt = 1;
        t.status = TaskStatus::running;
        m2.tasks.push_back(t);
    }
    heartbeat(m1);
    const auto commands = heartbeat(m1);
    EXPECT_FALSE(ordered(commands, CommandType::run, "run-1", 0));
    EXPECT_FALSE(ordered(commands, CommandType::run, "run-1", 1));
    heartbeat(m2);
    heartbeat(m2);
    EXPECT_EQ(leader->job("run-2")->running, 2u);
    settle();
    EXPECT_FALSE(place());
    EXPECT_EQ(leader->job("run-1")->placed + leader->job("run-2")->placed, 2u);
}

// Found by the lab, seed 6027: the process ended. One member of a gang was heard to be done, the other was lost with
// its worker's session before it could tell.
TEST_F(SchedulerTest, GangWithADoneMemberPlacesOnlyTheOthersAgain) {
    elect();
    accept(job("run-1", JobKind::gang, 2));
    state::Txn txn;
    auto record = keys.get("jobs/work/run-1").value.as_object();
    record["tasks"] = wire::ranges_to_record({{0, 0, 1, "", false}, {1, 1, 1, "", true}});
    txn.changes.push_back({"jobs/work/run-1", record, 0});
    keys.commit(txn);
    elect();
    meet(m1);
    for (int i = 0; i < 3; ++i) {
        settle();
        heartbeat(m1);
        place();
        const auto* gang = leader->job("run-1");
        if (!gang) break;  // done, and on record
        EXPECT_EQ(gang->placed + gang->done, 2u);
        EXPECT_EQ(gang->waiting(), 0u);
        EXPECT_GE(gang->done, 1u);
    }
}

TEST_F(SchedulerTest, SpreadJobCountsLingeringTasks) {
    elect();
    auto third = machine("n-000003", "a");
    auto spread = job("run-1", JobKind::service, 2);
    spread.spread = true;
    start(spread, {&m1, &m2});
    ASSERT_NE(machine_of("run-1", 0), machine_of("run-1", 1));
    const std::uint32_t in_b = machine_of("run-1", 0) == "n-000002" ? 0 : 1;
    m2.finish("run-1", in_b, ExitReason::stopped);  // zone b's replica ends, and zone b has no machine any more
    heartbeat(m2);
    leader->machines_released({"n-000002"}, now);
    meet(third);
    EXPECT_FALSE(place()) << "zone a may hold one of two";
    EXPECT_EQ(machine_of("run-1", in_b), "");
}

TEST_F(SchedulerTest, OneZoneJobStaysWhereItsLingeringTasksAre) {
    elect();
    auto together = job("run-1", JobKind::array, 3);
    together.one_zone = true;
    start(together, {&m1});
    ASSERT_EQ(leader->job("run-1")->placed, 2u);
    for (int i = 0; i < 10; ++i) {
        pass(3s);
        meet(m2);
        EXPECT_FALSE(place()) << "two tasks may still be in zone a";
    }
}

TEST_F(SchedulerTest, OnlyAllowedTypesZonesAndSpotKindsAreUsed) {
    elect();
    auto picky = job("run-1", JobKind::array, 1);
    picky.zone = "b";
    picky.types = std::vector<std::string>{"small"};
    accept(picky);
    settle();
    auto spot = machine("n-000003", "b");
    spot.spot = true;
    auto large = machine("n-000004", "b", "large");
    for (auto* w : {&m1, &spot, &large}) meet(*w);
    EXPECT_FALSE(place());
    meet(m2);
    EXPECT_TRUE(place());
    EXPECT_EQ(machine_of("run-1", 0), "n-000002");
}

TEST_F(SchedulerTest, CancelledTasksAreKilledAndIntentsNeverRun) {
    elect();
    start(job("run-1", JobKind::array, 2), {&m1});
    ASSERT_TRUE(cancel("run-1"));
    tell("run-1");
    const auto commands = heartbeat(m1);
    EXPECT_TRUE(ordered(commands, CommandType::kill, "run-1", 0));
    EXPECT_TRUE(ordered(commands, CommandType::kill, "run-1", 1));

    accept(job("run-2", JobKind::array, 1));
    settle();
    heartbeat(m1);
    ASSERT_TRUE(place());
    ASSERT_TRUE(cancel("run-2"));
    tell("run-2");
    EXPECT_FALSE(ordered(heartbeat(m1), CommandType::run, "run-2", 0));
    commit();
    EXPECT_EQ(keys.get("jobs/work/run-2").mod_revision, 0u) << "nothing of a cancelled job stays open";
}

TEST_F(SchedulerTest, NoPlacementIsRecordedForAJobCancelledElsewhere) {
    elect();
    accept(job("run-1", JobKind::array, 1));
    settle();
    meet(m1);
    ASSERT_TRUE(cancel("run-1"));  // by another controller; the leader does not know
    place();
    EXPECT_FALSE(ordered(heartbeat(m1), CommandType::run, "run-1", 0));
}

TEST_F(SchedulerTest, LeaderCutOffFromTheStoreStopsAnsweringInTime) {
    const auto known = now;
    const auto room = settings.cancel_deadline - settings.worker_lease;  // a task dies a lease after the last answer
    EXPECT_TRUE(scheduler::may_answer(settings, known + 10s, known));
    EXPECT_FALSE(scheduler::may_answer(settings, known + model::to_clock(room), known));
    EXPECT_FALSE(scheduler::may_answer(settings, known + model::to_clock(room - Seconds(3)), known));
}

// Found by the lab: a machine hung, the state service was away, and the leader that came after the outage counted the
// time from its own first second. A machine that hangs does not end its work when its lease has run out.
TEST_F(SchedulerTest, LateLeaderGivesUpAHangingMachineBeforeTheDeadline) {
    elect();
    start(job("run-1", JobKind::array, 2), {&m1});
    ASSERT_TRUE(cancel("run-1"));
    pass(settings.cancel_deadline - 9s);
    elect();
    leader->job_over("run-1", now, settings.cancel_deadline - 9s);
    heartbeat(m2);
    EXPECT_TRUE(returns().empty()) << "it may only be late";
    pass(settings.heartbeat_interval * 1.25 + 1100ms);
    heartbeat(m2);
    EXPECT_EQ(returns(), std::vector<std::string>{m1.name});
}

TEST_F(SchedulerTest, UnreachableMachineWithCancelledWorkIsReleasedInTime) {
    elect();
    start(job("run-1", JobKind::array, 1), {&m1});
    std::vector<Worker> others;
    for (int i = 10; i < 14; ++i) others.push_back(machine("n-0000" + std::to_string(i), "a"));
    for (auto& w : others) meet(w);
    ASSERT_TRUE(cancel("run-1"));
    tell("run-1");
    // All machines fall silent at once, which otherwise buys them patience.
    std::vector<std::string> going;
    const auto told = now;
    while (going.empty() && now < told + model::to_clock(settings.cancel_deadline)) {
        pass(1s);
        going = returns();
    }
    ASSERT_FALSE(going.empty());
    EXPECT_LT(now, told + model::to_clock(settings.cancel_deadline * 0.8));
    EXPECT_EQ(going.front(), "n-000001");
}

// One call of the cloud takes a hundred machines, and in an outage only those with cancelled work may be named. Found
// on the day of the first meeting: 250 machines hung, and those with cancelled work came after a hundred others.
TEST_F(SchedulerTest, HundredsOfSilentMachinesDoNotDelayOneWithCancelledWork) {
    elect();
    auto last = machine("n-900000", "a");
    start(job("run-1", JobKind::array, 1), {&last});
    std::vector<Worker> silent, others;
    for (int i = 0; i < 120; ++i) silent.push_back(machine("n-" + std::to_string(100000 + i), "a"));
    for (int i = 0; i < 300; ++i) others.push_back(machine("n-" + std::to_string(200000 + i), "a"));
    for (auto& w : silent) meet(w);
    for (auto& w : others) meet(w);
    ASSERT_TRUE(cancel("run-1"));
    tell("run-1");
    const auto told = now;
    std::optional<TimePoint> named, first;
    for (; now < told + model::to_clock(settings.cancel_deadline); pass(1s)) {
        for (auto& w : others) heartbeat(w);
        const auto going = leader->scale_in(now);
        EXPECT_LE(going.size(), 100u);
        if (!first && !going.empty()) first = now;
        for (const auto& r : going)
            if (r.machine == last.name && r.why == scheduler::cancelled_work && !named) named = now;
    }
    ASSERT_TRUE(first) << "the silent ones are to be returned as well";
    ASSERT_TRUE(named);
    EXPECT_LT(*named, told + model::to_clock(settings.cancel_deadline * 0.8));
}

// Found by scenarios/meeting.toml, seed 1738: the first report that a new leader hears of a machine is a copy from an
// earlier session.
TEST_F(SchedulerTest, CopyOfAHeartbeatFromAnEarlierIncarnationIsNoEvidence) {
    elect();
    meet(m1);
    const auto copy = m1.report();
    m1.lose_lease();
    start(job("run-1", JobKind::array, 1), {&m1});
    ASSERT_EQ(machine_of("run-1", 0), m1.name);
    elect();
    leader->handle_heartbeat(copy, now);
    heartbeat(m1);
    EXPECT_EQ(machine_of("run-1", 0), m1.name) << "it runs there, in the session that this leader hears of only now";
    heartbeat(m1);
    EXPECT_EQ(machine_of("run-1", 0), m1.name);
    // A session that ends under this term is evidence.
    m1.lose_lease();
    heartbeat(m1);
    EXPECT_EQ(machine_of("run-1", 0), "");
}

// A write that got no answer may be carried out after newer ones of the same leader, which the term alone does not
// order.
TEST_F(SchedulerTest, LateWriteOfTheSameTermDoesNotUndoANewerOne) {
    elect();
    accept(job("run-1", JobKind::array, 1));
    settle();
    meet(m1);
    ASSERT_TRUE(leader->place(now));
    const auto late = leader->next_batch(100, wall_ms);  // places it on the first machine, and gets no answer
    ASSERT_FALSE(late.empty());
    for (const auto& key : late.keys) leader->record_reread(keys.get(key), now);
    leader->batch_failed(late);
    // That machine is returned, and the task placed on another.
    leader->machines_released({m1.name}, now);
    settle();
    meet(m2);
    ASSERT_TRUE(place());
    ASSERT_EQ(machine_of("run-1", 0), m2.name);
    EXPECT_EQ(keys.commit(late.txn).outcome, state::Outcome::conflict);
    EXPECT_TRUE(on_record("run-1", m2.name));
}

// It may also come first, between the reading again and the next try: that one fails then, reads, and holds.
TEST_F(SchedulerTest, LateWriteBeforeTheNextTryIsReadAgain) {
    elect();
    accept(job("run-1", JobKind::array, 1));
    settle();
    meet(m1);
    ASSERT_TRUE(leader->place(now));
    const auto late = leader->next_batch(100, wall_ms);
    for (const auto& key : late.keys) leader->record_reread(keys.get(key), now);
    leader->batch_failed(late);
    leader->machines_released({m1.name}, now);
    settle();
    meet(m2);
    ASSERT_TRUE(leader->place(now));
    EXPECT_EQ(keys.commit(late.txn).outcome, state::Outcome::ok);
    ASSERT_TRUE(on_record("run-1", m1.name));
    // Nothing may start on the second machine before the record names it.
    EXPECT_FALSE(ordered(heartbeat(m2), CommandType::run, "run-1", 0));
    commit();
    EXPECT_TRUE(on_record("run-1", m2.name));
    EXPECT_TRUE(ordered(heartbeat(m2), CommandType::run, "run-1", 0));
}

// The call may go unanswered, and the state service be away by then: that the machine holds cancelled work is still
// why.
TEST_F(SchedulerTest, UnansweredReleaseIsRequestedAgainForTheSameReason) {
    elect();
    start(job("run-1", JobKind::array, 1), {&m1});
    ASSERT_TRUE(cancel("run-1"));
    tell("run-1");
    pass(Seconds(settings.cancel_deadline * 0.6));
    auto going = leader->scale_in(now);
    ASSERT_EQ(going.size(), 1u);
    EXPECT_EQ(going[0].why, scheduler::cancelled_work);
    leader->release_requested(going);
    pass(2s);
    going = leader->scale_in(now);
    ASSERT_EQ(going.size(), 1u);
    EXPECT_EQ(going[0].why, scheduler::cancelled_work);
}

// Nobody knows whether a machine with a notice is gone when it falls silent; it may as well hang.
TEST_F(SchedulerTest, SilentMachineWithATerminationNoticeIsReleasedForItsCancelledWork) {
    elect();
    start(job("run-1", JobKind::array, 1), {&m1});
    ASSERT_TRUE(cancel("run-1"));
    tell("run-1");
    m1.termination_notice = Seconds(5);
    leader->handle_heartbeat(m1.report(), now);
    pass(Seconds(settings.cancel_deadline * 0.6));
    const auto going = leader->scale_in(now);
    ASSERT_EQ(going.size(), 1u);
    EXPECT_EQ(going[0].why, scheduler::cancelled_work);
}

TEST_F(SchedulerTest, JobIsDoneOnlyWhenItsLastTaskIs) {
    elect();
    start(job("run-1", JobKind::array, 2), {&m1});
    m1.finish("run-1", 0, ExitReason::done);
    heartbeat(m1);
    commit();
    EXPECT_EQ(state_of("run-1"), "open");
    m1.finish("run-1", 1, ExitReason::error);
    heartbeat(m1);
    commit();
    EXPECT_EQ(state_of("run-1"), "open");
    settle();
    meet(m2);
    ASSERT_TRUE(place());
    heartbeat(m2);
    m2.finish("run-1", 1, ExitReason::done);
    heartbeat(m2);
    commit();
    EXPECT_EQ(state_of("run-1"), "done");
}

// The watch that tells of new jobs shows our own writes as well, and may show them late.
TEST_F(SchedulerTest, LateReadOfItsRecordDoesNotBringAJobBack) {
    elect();
    start(job("run-1", JobKind::array, 1), {&m1});
    const auto written = keys.get("jobs/work/run-1");
    m1.finish("run-1", 0, ExitReason::done);
    heartbeat(m1);
    commit();
    ASSERT_EQ(state_of("run-1"), "done");
    ASSERT_EQ(leader->job("run-1"), nullptr);
    EXPECT_FALSE(leader->job_changed(written, now));
    EXPECT_EQ(leader->job("run-1"), nullptr);
    // And where the record has not been removed yet, the next leader sees that the job is over.
    keys.commit({{}, {{written.key, written.value, 0}}});
    elect();
    ASSERT_NE(leader->job("run-1"), nullptr) << "its task may be on the machine that the record names";
    settle();
    meet(m1);
    EXPECT_FALSE(place());
    commit();
    EXPECT_EQ(leader->job("run-1"), nullptr);
    EXPECT_EQ(keys.get("jobs/work/run-1").mod_revision, 0u);
}

TEST_F(SchedulerTest, CancellationAndLastExitRaceAndOneWins) {
    elect();
    start(job("run-1", JobKind::array, 1), {&m1});
    m1.finish("run-1", 0, ExitReason::done);
    heartbeat(m1);
    ASSERT_TRUE(cancel("run-1")) << "the leader's record of the end is not written yet";
    commit();
    EXPECT_EQ(state_of("run-1"), "aborted");

    start(job("run-2", JobKind::array, 1), {&m1});
    m1.finish("run-2", 0, ExitReason::done);
    heartbeat(m1);
    commit();
    EXPECT_EQ(state_of("run-2"), "done");
    EXPECT_FALSE(cancel("run-2"));
    EXPECT_EQ(state_of("run-2"), "done");
}

TEST_F(SchedulerTest, WorkerForgetsAnOutcomeOnlyOnceItIsOnRecord) {
    elect();
    start(job("run-1", JobKind::array, 2), {&m1});
    m1.finish("run-1", 0, ExitReason::done);
    heartbeat(m1);
    EXPECT_FALSE(ordered(heartbeat(m1), CommandType::clear, "run-1", 0));
    elect();  // the leader dies without having written it: the worker still tells
    meet(m1);
    EXPECT_EQ(leader->count("run-1")->done, 1u);
    settle();
    place();  // puts on record what is due
    EXPECT_TRUE(ordered(heartbeat(m1), CommandType::clear, "run-1", 0));
}

// With thousands of tasks ending all the time, a write for each would leave none for users and placements.
TEST_F(SchedulerTest, FinishedTasksShareAWriteAndTheLastOneIsWrittenAtOnce) {
    elect();
    start(job("run-1", JobKind::array, 2), {&m1});
    m1.finish("run-1", 0, ExitReason::done);
    heartbeat(m1);
    EXPECT_TRUE(leader->next_batch(1000).empty());
    m1.finish("run-1", 1, ExitReason::done);
    heartbeat(m1);
    commit();
    EXPECT_EQ(state_of("run-1"), "done");
}

TEST_F(SchedulerTest, AcceptedWorkOutlivesEveryController) {
    accept(job("run-1", JobKind::array, 1));  // no leader was there to hear of it
    elect();
    settle();
    meet(m1);
    EXPECT_TRUE(place());
    EXPECT_EQ(machine_of("run-1", 0), "n-000001");
}

// In a large fleet some machine is always gone; to wait the whole round for it cost every hand-over seconds.
TEST_F(SchedulerTest, NewLeaderPlacesWhenNearlyAllMachinesWithWorkHaveReported) {
    elect();
    auto whole = job("run-1", JobKind::array, 20);
    whole.need = {8, 2, 40};
    accept(whole);
    settle();
    std::vector<Worker> workers;
    for (int i = 0; i < 20; ++i)
        workers.push_back(machine("n-00010" + std::string(1, static_cast<char>('a' + i)), "a"));
    for (auto& w : workers) meet(w);
    ASSERT_TRUE(place());
    accept(job("run-2", JobKind::array, 1));
    elect();
    meet(m1);  // it has room, and no work on record
    for (int i = 0; i < 18; ++i) heartbeat(workers[static_cast<std::size_t>(i)]);
    EXPECT_FALSE(place());
    heartbeat(workers[18]);
    EXPECT_TRUE(place());
    EXPECT_EQ(machine_of("run-2", 0), "n-000001");
}

// Commands travel in answers only. Where a report makes room, its own answer may still carry the next run.
TEST_F(SchedulerTest, DelayedResponseCarriesNewPlacementsUnlessANewerHeartbeatCame) {
    using Prospect = scheduler::Scheduler::Prospect;
    elect();
    start(job("run-1", JobKind::array, 2), {&m1});  // fills the machine
    accept(job("run-2", JobKind::array, 1));
    settle();
    heartbeat(m1);
    EXPECT_FALSE(place());
    m1.finish("run-1", 0, ExitReason::done);
    const auto report = m1.report();
    ASSERT_TRUE(leader->handle_heartbeat(report, now)->empty());
    const auto passes = leader->passes();
    EXPECT_EQ(leader->expected_work(report, passes), Prospect::a_plan);
    ASSERT_TRUE(leader->place(now));
    EXPECT_EQ(leader->expected_work(report, passes), Prospect::a_write);
    EXPECT_TRUE(leader->pending_runs(report).empty()) << "not on record yet";
    commit();
    const auto newer = m1.report();
    leader->handle_heartbeat(newer, now);
    EXPECT_TRUE(leader->pending_runs(report).empty()) << "that answer would come too late";
    EXPECT_EQ(leader->expected_work(newer, passes), Prospect::nothing) << "the newer report's answer has it";
}

TEST_F(SchedulerTest, DelayedResponseCarriesNoRunOfACancelledJob) {
    elect();
    accept(job("run-1", JobKind::array, 1));
    settle();
    meet(m1);
    const auto report = m1.report();
    leader->handle_heartbeat(report, now);
    ASSERT_TRUE(place());
    ASSERT_TRUE(cancel("run-1"));
    tell("run-1");
    EXPECT_TRUE(leader->pending_runs(report).empty());
}

// A leader that had just begun took the machines of the start for long spare, and returned 66 before the first job.
TEST_F(SchedulerTest, SpareMachinesGoOnlyAfterBeingSpareForAWhileUnderThisLeader) {
    elect();
    std::vector<Worker> workers;
    for (int i = 0; i < 20; ++i)
        workers.push_back(machine("n-00010" + std::string(1, static_cast<char>('a' + i)), "a"));
    const auto all_report = [&] {
        for (auto& w : workers)
            if (!leader->inventory().gone(w.name)) heartbeat(w);
    };
    all_report();
    leader->relocate(now);
    EXPECT_TRUE(returns().empty());
    for (int i = 0; i < 9; ++i) {  // 27 s, less than a boot
        pass(3s);
        all_report();
        leader->relocate(now);
    }
    EXPECT_TRUE(returns().empty());
    for (int i = 0; i < 3; ++i) {
        pass(3s);
        all_report();
        leader->relocate(now);
    }
    EXPECT_FALSE(returns().empty());
}

// An image may take minutes where there is room, and seconds to stop a task that saves where the image is.
TEST_F(SchedulerTest, CriticalReplicaPreemptsAnArrayTaskWhereItsImageIs) {
    fill_with_image();
    ASSERT_EQ(machine_of("run-2", 0), "n-000001");
    meet(m2);
    accept(replica("run-3"));
    place();
    EXPECT_EQ(machine_of("run-3", 0), "") << "n-000002 has room, but not the image";
    EXPECT_TRUE(ordered(heartbeat(m1), CommandType::kill, "run-2", 0));
    heartbeat(m1);
    ASSERT_TRUE(place());
    EXPECT_EQ(machine_of("run-3", 0), "n-000001");
}

TEST_F(SchedulerTest, ReplicaGoesElsewhereWhenNoRoomWasMadeInTime) {
    fill_with_image();
    meet(m2);
    accept(replica("run-3"));
    place();
    ASSERT_EQ(machine_of("run-3", 0), "");
    pass(8s);  // n-000001 hangs
    heartbeat(m2);
    ASSERT_TRUE(place());
    EXPECT_EQ(machine_of("run-3", 0), "n-000002");
}

TEST_F(SchedulerTest, GangTaskLostBeforeTheStartIsReplacedUnderTheSameAttempt) {
    elect();
    auto third = machine("n-000003", "b");
    auto gang = job("run-1", JobKind::gang, 2);
    gang.need = {8, 2, 40};  // a whole machine each
    accept(gang);
    settle();
    meet(m1);
    EXPECT_FALSE(place()) << "all or none";
    meet(m2);
    ASSERT_TRUE(place());
    heartbeat(m1);
    heartbeat(m2);
    leader->machines_released({"n-000002"}, now);
    meet(third);
    ASSERT_TRUE(place());
    const auto& tasks = leader->job("run-1")->tasks;
    EXPECT_EQ(tasks[0].attempt, 1u);
    EXPECT_EQ(tasks[1].attempt, 1u);
}

TEST_F(SchedulerTest, NewGangAttemptWaitsUntilTheOldOneIsGone) {
    elect();
    auto third = machine("n-000003", "a");
    auto gang = job("run-1", JobKind::gang, 2);
    gang.need = {8, 2, 40};
    start(gang, {&m1, &m2});
    ASSERT_TRUE(leader->job("run-1")->gang_started);
    leader->machines_released({"n-000002"}, now);
    meet(third);
    m2 = machine("n-000004", "b");
    meet(m2);
    EXPECT_FALSE(place()) << "n-000001 still holds a task of the first attempt";
    EXPECT_TRUE(ordered(heartbeat(m1), CommandType::kill, "run-1", machine_of("run-1", 0) == "n-000001" ? 0 : 1));
    heartbeat(m1);
    ASSERT_TRUE(place());
    EXPECT_EQ(leader->job("run-1")->tasks[0].attempt, 2u);
    EXPECT_EQ(leader->job("run-1")->tasks[1].attempt, 2u);
}

// On slow networks some members of a gang have their image a minute before others. Killing the whole attempt when the
// first gave up waiting cost the slow ones their fetch, time and again: 350 s until a gang started.
TEST_F(SchedulerTest, GangMemberThatGaveUpWaitingKeepsItsPlaceUntilOthersHaveTheirImage) {
    elect();
    auto gang = job("run-1", JobKind::gang, 2);
    gang.need = {8, 2, 40};
    accept(gang);
    settle();
    meet(m1);
    meet(m2);
    ASSERT_TRUE(place());
    heartbeat(m1);
    heartbeat(m2);
    const auto on_m1 = m1.tasks.at(0).id.index, on_m2 = m2.tasks.at(0).id.index;
    m1.find("run-1", on_m1)->status = TaskStatus::waiting;
    heartbeat(m1);
    heartbeat(m2);
    m1.finish("run-1", on_m1, ExitReason::gang_incomplete);
    heartbeat(m1);
    EXPECT_TRUE(heartbeat(m2).empty()) << "it still fetches";
    EXPECT_EQ(machine_of("run-1", on_m1), "n-000001");
    m2.find("run-1", on_m2)->status = TaskStatus::waiting;
    heartbeat(m2);
    commit();
    EXPECT_TRUE(ordered(heartbeat(m1), CommandType::run, "run-1", on_m1));
    const auto commands = heartbeat(m2);
    ASSERT_EQ(commands.size(), 2u);
    EXPECT_EQ(commands[0].type, CommandType::kill);
    EXPECT_EQ(commands[0].attempt, 1u);
    EXPECT_EQ(commands[1].type, CommandType::run);
    EXPECT_EQ(commands[1].attempt, 2u);
    EXPECT_EQ(leader->job("run-1")->parked, 0u);
}

// scenarios/teams.toml, seed 6: a member was lost and found no room, and the place that another one kept for it stood
// empty for over 90 s beside work that would have fitted.
TEST_F(SchedulerTest, GangPlaceIsNotKeptForMembersThatFindNone) {
    elect();
    auto gang = job("run-1", JobKind::gang, 2);
    gang.need = {8, 2, 40};
    accept(gang);
    settle();
    meet(m1);
    meet(m2);
    ASSERT_TRUE(place());
    heartbeat(m1);
    heartbeat(m2);
    const auto on_m1 = m1.tasks.at(0).id.index;
    m1.find("run-1", on_m1)->status = TaskStatus::waiting;
    heartbeat(m1);
    m1.finish("run-1", on_m1, ExitReason::gang_incomplete);
    heartbeat(m1);
    leader->machines_released({"n-000002"}, now);
    auto other = job("run-2", JobKind::array, 1);
    other.need = {8, 2, 40};
    accept(other);
    settle();
    pass(Seconds(20));
    heartbeat(m1);
    leader->relocate(now);
    EXPECT_EQ(machine_of("run-1", on_m1), "n-000001") << "the other may find a place soon";
    pass(Seconds(15));
    heartbeat(m1);
    leader->relocate(now);
    EXPECT_EQ(machine_of("run-1", on_m1), "");
    EXPECT_EQ(leader->job("run-1")->parked, 0u);
    commit();
    heartbeat(m1);
    ASSERT_TRUE(place());
    EXPECT_EQ(machine_of("run-2", 0), "n-000001");
}

TEST_F(SchedulerTest, UnexpectedMachineIsUsedOrReturned) {
    elect();
    meet(m1);  // a late rental of a leader that is gone
    settle();
    accept(job("run-1", JobKind::array, 1));
    settle();
    heartbeat(m1);
    EXPECT_TRUE(place());
    auto idle = machine("n-000009", "a");
    meet(idle);
    for (int i = 0; i < 40; ++i) {
        pass(3s);
        heartbeat(idle);
        heartbeat(m1);
    }
    EXPECT_EQ(returns(), std::vector<std::string>{"n-000009"});
}

// inc-d158: a leader stood still for 40 s, woke, found every machine silent and returned them all, while its
// successor was using them.
TEST_F(SchedulerTest, PausedLeaderDoesNotBlameTheMachines) {
    elect();
    start(job("run-1", JobKind::array, 1), {&m1});
    pass(40s);
    leader->process_paused(40s);
    EXPECT_TRUE(returns().empty());
    pass(40s);
    EXPECT_FALSE(returns().empty()) << "real silence still counts";
}

// inc-8739, inc-e02a: a leader that lost the workers alone returned the whole fleet, and rented it anew.
TEST_F(SchedulerTest, LeaderWithoutHeartbeatsKeepsTheFleetUntilAnotherMayLead) {
    elect();
    std::vector<Worker> all;
    for (int i = 1; i < 7; ++i) all.push_back(machine("n-00000" + std::to_string(i), "a"));
    for (auto& w : all) meet(w);
    EXPECT_FALSE(leader->heartbeat_coverage(now).cut_off_from_workers());
    pass(settings.heartbeat_interval * 1.25 + 2s);
    EXPECT_TRUE(leader->heartbeat_coverage(now).cut_off_from_workers())
        << "and that is told soon, for every lease is running out";
    accept(job("run-1", JobKind::array, 40));
    for (const auto later = now + model::to_clock(settings.worker_lease * 2); now < later; pass(1s)) {
        EXPECT_TRUE(returns().empty());
        EXPECT_TRUE(leader->scale_out(now).empty()) << "what is needed is a hearing, not machines";
    }
}

// An own day with a zone cut off for 30 s in Riga: half the fleet was returned 5 s before it could be heard again.
TEST_F(SchedulerTest, ManySilentButListedMachinesGetTheListLag) {
    settings.machine_list_lag = Seconds(10);
    elect();
    std::vector<Worker> all;
    for (int i = 1; i < 7; ++i) all.push_back(machine("n-00000" + std::to_string(i), i < 4 ? "a" : "b"));
    for (auto& w : all) meet(w);
    const auto cut = now;
    while (now < cut + 60s && returns().empty()) {
        pass(1s);
        for (std::size_t k = 0; k < 3; ++k) heartbeat(all[k]);
    }
    EXPECT_GT(now, cut + 40s);
    EXPECT_LT(now, cut + 50s);
}

// The same day in waka: machines that the leader before had returned stayed in the records, and for the sake of their
// number their successor waited a lease for each of them.
TEST_F(SchedulerTest, ManySilentUnlistedMachinesAreGivenUpAtOnce) {
    elect();
    std::vector<Worker> all;
    std::vector<model::ListedMachine> list;
    for (int i = 1; i < 7; ++i) {
        all.push_back(machine("n-00000" + std::to_string(i), "a"));
        if (i < 4)
            list.push_back({all.back().name, "", "small", "a", false, model::MachineStatus::running, Seconds(60)});
    }
    for (auto& w : all) meet(w);
    for (int i = 0; i < 5; ++i) {  // half of them say nothing any more
        pass(3s);
        for (int k = 0; k < 3; ++k) heartbeat(all[static_cast<std::size_t>(k)]);
    }
    EXPECT_TRUE(returns().empty()) << "so many at once are rather out of reach than dead";
    leader->machines_listed(list, now);
    EXPECT_EQ(returns(), (std::vector<std::string>{"n-000004", "n-000005", "n-000006"}));
}

TEST_F(SchedulerTest, JobsWithoutRoomWaitShortestFirstAndAheadOfNewWindows) {
    elect();
    auto filler = job("run-1", JobKind::array, 2);
    start(filler, {&m1});  // n-000001 is full
    auto long_job = job("run-2", JobKind::array, 1), short_job = job("run-3", JobKind::array, 1);
    long_job.estimated_runtime = Seconds(600);
    long_job.accepted_ms = 1'000;
    short_job.accepted_ms = 21'000;  // some windows later
    accept(long_job);
    settle();
    EXPECT_FALSE(place());
    accept(short_job);
    settle();
    EXPECT_FALSE(place());
    heartbeat(m1);
    m1.finish("run-1", 0, ExitReason::done);
    heartbeat(m1);
    ASSERT_TRUE(place());
    EXPECT_EQ(machine_of("run-3", 0), "n-000001");
    EXPECT_EQ(machine_of("run-2", 0), "");
}

// Arrays held the small ordinary machines that suit gangs, which were rented large ones meanwhile.
TEST_F(SchedulerTest, SpotArrayLeavesOnDemandMachinesToAWaitingGangForHalfItsTime) {
    elect();
    auto gang = job("run-1", JobKind::gang, 2);
    gang.need.cpus = 8;
    accept(gang);
    settle();
    meet(m1);
    EXPECT_FALSE(place()) << "it needs two machines";
    auto array = job("run-2", JobKind::array, 1);
    array.spot = true;
    array.deadline = Seconds(60);
    accept(array);
    auto other = array;
    other.uid = "run-3";
    other.priority = model::Priority::high;
    accept(other);
    settle();
    heartbeat(m1);
    place();
    EXPECT_EQ(machine_of("run-2", 0), "");
    EXPECT_EQ(machine_of("run-3", 0), "n-000001") << "a higher rank waits for nobody";
    pass(Seconds(25));
    meet(m1);
    place();
    EXPECT_EQ(machine_of("run-2", 0), "n-000001") << "half of its time is gone";
}

TEST_F(SchedulerTest, CriticalServiceDoesNotWaitForItsWindow) {
    elect();
    meet(m1);
    auto critical = job("run-1", JobKind::service, 1);
    critical.priority = model::Priority::critical;
    accept(critical);
    accept(job("run-2", JobKind::array, 1));
    EXPECT_TRUE(place());
    EXPECT_EQ(machine_of("run-1", 0), "n-000001");
    EXPECT_EQ(machine_of("run-2", 0), "");
}

TEST_F(SchedulerTest, PreemptionMakesRoomForACriticalTaskAndNeverForAnEqualOne) {
    elect();
    start(job("run-1", JobKind::array, 2), {&m1});  // n-000001 is full
    accept(job("run-2", JobKind::array, 1));
    auto critical = job("run-3", JobKind::service, 1);
    for (int i = 0; i < 4; ++i) {
        settle();
        heartbeat(m1);
        place();
        EXPECT_EQ(leader->job("run-1")->placed, 2u) << "equals wait";
    }
    critical.priority = model::Priority::critical;
    accept(critical);
    place();  // found no room
    place();
    std::vector<Command> commands = heartbeat(m1);
    const int kills =
        ordered(commands, CommandType::kill, "run-1", 0) + ordered(commands, CommandType::kill, "run-1", 1);
    EXPECT_EQ(kills, 1) << "no more than it takes";
    EXPECT_EQ(machine_of("run-3", 0), "") << "the room is not free before the task is gone";
    heartbeat(m1);
    place();
    EXPECT_EQ(machine_of("run-3", 0), "n-000001");
}

// Riga's visitors day: a guest's idle tasks held the processors of every machine for minutes, and gangs, which need
// whole machines, waited beside thousands of idle accelerators.
TEST_F(SchedulerTest, PreemptionOfIdleTasksServesAWholeGangOrNothing) {
    elect();
    m2.zone = "a";
    auto idle = job("run-1", JobKind::array, 4);
    idle.priority = model::Priority::idle;
    idle.need = {4, 0, 10};
    idle.checkpoint_interval = Seconds(15);
    idle.checkpoint_duration = Seconds(2);
    start(idle, {&m1, &m2});
    ASSERT_EQ(leader->job("run-1")->placed, 4u);
    auto gang = job("run-3", JobKind::gang, 3);  // more than there are machines
    gang.need = {8, 2, 40};
    gang.one_zone = true;
    const auto kills = [&] {
        settle();
        for (auto* w : {&m1, &m2}) heartbeat(*w);
        std::size_t n = 0;
        for (int i = 0; i < 2; ++i) place();
        for (auto* w : {&m1, &m2})
            for (const auto& o : heartbeat(*w)) n += o.type == CommandType::kill;
        return n;
    };
    accept(gang);
    EXPECT_EQ(kills(), 0u) << "what cannot make room for all of the gang is not stopped";
    ASSERT_TRUE(cancel("run-3"));
    tell("run-3");
    gang.uid = "run-2";
    gang.tasks = 2;
    accept(gang);
    EXPECT_EQ(kills(), 4u);
    for (auto* w : {&m1, &m2}) heartbeat(*w);
    place();
    EXPECT_EQ(leader->job("run-2")->placed, 2u);
    EXPECT_EQ(leader->job("run-1")->placed, 0u);
}

TEST_F(SchedulerTest, ServiceMovesToTheMachineWithItsImageOnlyOnceItIsGone) {
    elect();
    auto slow = job("run-1", JobKind::service, 1), quick = job("run-2", JobKind::service, 1);
    slow.image_gb = quick.image_gb = 10;
    accept(slow);
    settle();
    meet(m1);
    ASSERT_TRUE(place());
    heartbeat(m1);
    heartbeat(m1);
    accept(quick);
    settle();
    meet(m2);
    ASSERT_TRUE(place());
    ASSERT_EQ(machine_of("run-1", 0), "n-000001");
    heartbeat(m1);
    heartbeat(m2);
    ASSERT_EQ(machine_of("run-2", 0), "n-000002");
    heartbeat(m2);  // both fetch the image, and n-000002 has it first
    m2.run_all();
    heartbeat(m2);
    leader->relocate(now);
    place();
    EXPECT_EQ(machine_of("run-1", 0), "n-000001") << "it may still be there";
    EXPECT_TRUE(ordered(heartbeat(m1), CommandType::kill, "run-1", 0));
    heartbeat(m1);
    place();
    EXPECT_EQ(machine_of("run-1", 0), "n-000002");
}

TEST_F(SchedulerTest, MachineThatFailsSeveralJobsIsQuarantinedButABadJobSpoilsNone) {
    elect();
    std::vector<Worker> all;
    for (int i = 1; i < 6; ++i) all.push_back(machine("n-00000" + std::to_string(i), "a"));
    for (auto& w : all) meet(w);
    accept(job("run-bad", JobKind::array, 1));  // fails wherever it is put
    settle();
    for (int round = 0; round < 5; ++round) {
        pass(90s);
        for (auto& w : all) meet(w);
        place();
        for (auto& w : all) {
            heartbeat(w);
            if (w.find("run-bad", 0)) w.finish("run-bad", 0, ExitReason::error);
            heartbeat(w);
            commit();
            heartbeat(w);
        }
    }
    EXPECT_GE(leader->job("run-bad")->errors, 3u);
    EXPECT_EQ(leader->running_machines(now), all.size());
}

// The operators' evenings: what waited for machines that were late or never came up waited in vain.
TEST_F(SchedulerTest, OverdueMachineIsNotCountedOnAndItsPoolIsTheSecondChoice) {
    elect();
    auto wanted = job("run-1", JobKind::gang, 3);
    wanted.one_zone = true;
    wanted.need = {8, 2, 40};  // a whole small machine each
    accept(wanted);
    const auto commands = leader->scale_out(now);
    ASSERT_EQ(commands.size(), 1u);
    ASSERT_EQ(commands[0].count, 3);
    leader->machines_launched(commands[0].pool, {"n-000001", "n-000002", "n-000003"}, now);
    pass(Seconds(45));
    EXPECT_TRUE(leader->scale_out(now).empty()) << "they may take half as long again as usual";
    pass(Seconds(5));
    const auto again = leader->scale_out(now);
    ASSERT_FALSE(again.empty());
    EXPECT_NE(again[0].pool, commands[0].pool);
    for (const auto* name : {"n-000001", "n-000002", "n-000003"}) {  // late, but there
        auto w = machine(name, commands[0].pool.zone, commands[0].pool.type);
        meet(w);
    }
    EXPECT_TRUE(place());
}

// On the operations days jobs submitted with a mistake were tried with all their tasks again and again, machines rented
// for each, until their users cancelled them.
TEST_F(SchedulerTest, CrashLoopingJobIsTriedWithOneTaskAndCostsNothingUntilOneSucceeds) {
    elect();
    meet(m1);
    meet(m2);
    const auto fail_all = [&] {
        for (auto* w : {&m1, &m2}) {
            heartbeat(*w);
            for (auto& t : w->tasks) w->finish(t.id.uid, t.id.index, ExitReason::error);
            heartbeat(*w);
            commit();
            heartbeat(*w);
        }
    };
    for (const auto* uid : {"run-1", "run-2"}) {
        accept(job(uid, JobKind::array, 4));
        settle();
        for (auto* w : {&m1, &m2}) heartbeat(*w);
        place();
        ASSERT_GE(leader->job(uid)->placed, 3u) << "one place is for what failed before";
        fail_all();
    }
    EXPECT_TRUE(leader->job("run-1")->doubtful());
    EXPECT_EQ(leader->running_machines(now), 2u) << "two such jobs on it do not spoil a machine";
    EXPECT_FALSE(place()) << "a pause first";
    EXPECT_TRUE(leader->scale_out(now).empty());
    pass(20s);
    for (auto* w : {&m1, &m2}) heartbeat(*w);
    ASSERT_TRUE(place());
    EXPECT_EQ(leader->job("run-1")->placed, 1u);
    for (auto* w : {&m1, &m2}) {
        heartbeat(*w);
        for (auto& t : w->tasks)
            if (t.id.uid == "run-1") w->finish("run-1", t.id.index, ExitReason::done);
        heartbeat(*w);
    }
    settle();
    for (auto* w : {&m1, &m2}) heartbeat(*w);
    place();
    EXPECT_FALSE(leader->job("run-1")->doubtful());
    EXPECT_EQ(leader->job("run-1")->placed, 3u);
}

}  // namespace flintdale::test
