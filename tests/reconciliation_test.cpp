// What the leader makes of rebuilt records: nothing is placed before the machines that may hold tasks were heard.
#include <gtest/gtest.h>

#include "model/job.hpp"
#include "model/machine.hpp"
#include "model/task.hpp"
#include "support/scheduler_harness.hpp"

namespace flintdale::test {

TEST(ReconciliationTest, NothingIsPlacedBeforeEveryMachineOnAFreshListReported) {
    SchedulerHarness w;
    w.elect();
    w.leader->expect_unrecorded_tasks();
    w.accept(job("run-1", model::JobKind::array, 2));
    Worker heard, silent;
    silent.name = "n-000002";
    std::vector<model::ListedMachine> list;
    for (const auto* m : {&heard, &silent})
        list.push_back({m->name, "", m->type, m->zone, false, model::MachineStatus::running, Seconds(60)});
    w.heartbeat(heard);
    w.heartbeat(heard);
    w.advance(Seconds(20));
    EXPECT_FALSE(w.place()) << "no list has come yet";
    w.leader->machines_listed(list, w.now);
    EXPECT_FALSE(w.place()) << "the other machine may hold anything";
    EXPECT_TRUE(w.leader->scale_out(w.now).empty());
    w.heartbeat(silent);
    EXPECT_FALSE(w.place()) << "its report is older than the answer that showed it this term";
    w.heartbeat(silent);
    w.heartbeat(heard);
    EXPECT_TRUE(w.place());
    EXPECT_FALSE(w.leader->awaiting_reconciliation());
}

TEST(ReconciliationTest, MachineStillBootingAfterTheTermBeganHoldsNothing) {
    SchedulerHarness w;
    w.elect();
    w.leader->expect_unrecorded_tasks();
    w.accept(job("run-1", model::JobKind::array, 2));
    Worker heard;
    using model::MachineStatus;
    const auto list = [&](MachineStatus other) {
        return std::vector<model::ListedMachine>{
            {heard.name, "", heard.type, heard.zone, false, MachineStatus::running, Seconds(60)},
            {"n-000002", "", heard.type, heard.zone, false, other, Seconds(60)}};
    };
    w.heartbeat(heard);
    w.heartbeat(heard);
    w.leader->machines_listed(list(MachineStatus::booting), w.now);
    w.advance(Seconds(3));
    w.heartbeat(heard);
    EXPECT_FALSE(w.place()) << "that list may be older than this term, and the machine be up since";
    w.advance(Seconds(20));
    w.heartbeat(heard);
    w.leader->machines_listed(list(MachineStatus::running), w.now);
    EXPECT_FALSE(w.place()) << "it came up, nobody knows when";
    w.leader->machines_listed(list(MachineStatus::booting), w.now);
    EXPECT_TRUE(w.place());
    EXPECT_FALSE(w.leader->awaiting_reconciliation());
}

TEST(ReconciliationTest, JobWaitsOnlyForMachinesThatMayHoldItsTasks) {
    SchedulerHarness w;
    w.elect();
    w.leader->expect_unrecorded_tasks();
    Worker heard, silent;
    silent.name = "n-000002";
    silent.type = "large";
    auto anywhere = job("run-1", model::JobKind::array, 1);
    auto there = job("run-2", model::JobKind::array, 1);
    there.types = std::vector<std::string>{heard.type};
    w.accept(anywhere);
    w.accept(there);
    std::vector<model::ListedMachine> list;
    for (const auto* m : {&heard, &silent})
        list.push_back({m->name, "", m->type, m->zone, false, model::MachineStatus::running, Seconds(60)});
    w.heartbeat(heard);
    w.heartbeat(heard);
    w.advance(Seconds(20));
    w.heartbeat(heard);
    w.leader->machines_listed(list, w.now);
    EXPECT_TRUE(w.place());
    EXPECT_EQ(w.machine_of("run-2", 0), heard.name);
    EXPECT_EQ(w.machine_of("run-1", 0), "") << "it may be on the other";
    EXPECT_TRUE(w.leader->awaiting_reconciliation());
    EXPECT_TRUE(w.leader->scale_out(w.now).empty());
}

TEST(ReconciliationTest, LaterAttemptShownByAWorkerIsWhereTheTaskRuns) {
    SchedulerHarness w;
    w.elect();
    w.accept(job("run-1", model::JobKind::array, 3));
    // Of the placements that an earlier leader made, the records know nothing.
    Worker m;
    m.type = "large";
    w.elect();
    w.leader->expect_unrecorded_tasks();
    for (const std::uint32_t i : {0u, 2u}) {
        model::TaskReport t;
        t.id = {"run-1", i};
        t.attempt = 4;
        t.status = TaskStatus::running;
        m.tasks.push_back(t);
    }
    w.heartbeat(m, false);
    EXPECT_EQ(w.machine_of("run-1", 0), "") << "a report that may be old proves nothing";
    m.fencing_token = w.term;
    const auto commands = w.heartbeat(m);
    EXPECT_FALSE(w.has_command(commands, CommandType::kill, "run-1", 0));
    EXPECT_EQ(w.machine_of("run-1", 0), m.name);
    EXPECT_EQ(w.machine_of("run-1", 2), m.name);
    w.commit();
    w.advance(Seconds(20));
    w.leader->machines_listed({}, w.now);
    w.heartbeat(m);
    ASSERT_TRUE(w.place());
    EXPECT_NE(w.machine_of("run-1", 1), "");
    EXPECT_EQ(m.find("run-1", 0)->attempt, 4u);
    // The next leader finds them where they are.
    w.elect();
    EXPECT_EQ(w.machine_of("run-1", 2), m.name);
}

TEST(ReconciliationTest, OrphanedTasksAreStoppedAndWaitedFor) {
    SchedulerHarness w;
    w.elect();
    w.leader->expect_unrecorded_tasks();
    Worker m;
    model::TaskReport t;
    t.id = {"run-9", 0};
    t.attempt = 2;
    t.status = TaskStatus::running;
    m.tasks.push_back(t);
    w.heartbeat(m);
    w.accept(job("run-9", model::JobKind::array, 1));  // submitted again, as a new job
    w.advance(Seconds(20));
    w.leader->machines_listed({}, w.now);
    EXPECT_FALSE(w.place());
    m.fencing_token = w.term;
    w.heartbeat(m);
    w.heartbeat(m);
    EXPECT_TRUE(w.place());
    EXPECT_TRUE(w.leader->take_loss_evidence() == false);
}

TEST(ReconciliationTest, OnlyAnAttemptAboveTheRecordedOneIndicatesLoss) {
    SchedulerHarness w;
    w.elect();
    w.accept(job("run-1", model::JobKind::array, 1));
    w.settle();
    Worker m;
    w.heartbeat(m);
    w.heartbeat(m);
    ASSERT_TRUE(w.place());
    w.heartbeat(m);
    m.run_all();
    w.heartbeat(m);
    Worker old = m;
    m.lose_lease();
    w.heartbeat(m);
    EXPECT_FALSE(w.leader->take_loss_evidence());
    old.name = "n-000007";
    old.tasks[0].attempt = 9;
    w.heartbeat(old);
    EXPECT_TRUE(w.leader->take_loss_evidence());
    EXPECT_FALSE(w.leader->take_loss_evidence()) << "it is told once";
}

}  // namespace flintdale::test
