// Placement with rebuilt records: no task is placed before the machines that may run it have reported.
#include <gtest/gtest.h>

#include "model/job.hpp"
#include "model/machine.hpp"
#include "model/task.hpp"
#include "support/scheduler_harness.hpp"

namespace flintdale::test {

TEST(ReconciliationTest, NoTaskIsPlacedBeforeEveryMachineOnAFreshListReported) {
    SchedulerHarness harness;
    harness.elect();
    harness.leader->expect_unrecorded_tasks();
    harness.accept(job("run-1", model::JobKind::array, 2));
    Worker reporting, silent;
    silent.name = "n-000002";
    std::vector<model::ListedMachine> list;
    for (const auto* m : {&reporting, &silent})
        list.push_back({m->name, "", m->type, m->zone, false, model::MachineStatus::running, Seconds(60)});
    harness.heartbeat(reporting);
    harness.heartbeat(reporting);
    harness.advance(Seconds(20));
    EXPECT_FALSE(harness.place()) << "the cloud's list has not arrived yet";
    harness.leader->machines_listed(list, harness.now);
    EXPECT_FALSE(harness.place()) << "the other machine may run any task";
    EXPECT_TRUE(harness.leader->scale_out(harness.now).empty());
    harness.heartbeat(silent);
    EXPECT_FALSE(harness.place()) << "the heartbeat was sent before its worker had seen this term";
    harness.heartbeat(silent);
    harness.heartbeat(reporting);
    EXPECT_TRUE(harness.place());
    EXPECT_FALSE(harness.leader->awaiting_reconciliation());
}

TEST(ReconciliationTest, MachineStillBootingAfterTheTermBeganRunsNoTasks) {
    SchedulerHarness harness;
    harness.elect();
    harness.leader->expect_unrecorded_tasks();
    harness.accept(job("run-1", model::JobKind::array, 2));
    Worker reporting;
    using model::MachineStatus;
    const auto list = [&](MachineStatus other) {
        return std::vector<model::ListedMachine>{
            {reporting.name, "", reporting.type, reporting.zone, false, MachineStatus::running, Seconds(60)},
            {"n-000002", "", reporting.type, reporting.zone, false, other, Seconds(60)}};
    };
    harness.heartbeat(reporting);
    harness.heartbeat(reporting);
    harness.leader->machines_listed(list(MachineStatus::booting), harness.now);
    harness.advance(Seconds(3));
    harness.heartbeat(reporting);
    EXPECT_FALSE(harness.place()) << "the list may be older than this term, and the machine up since then";
    harness.advance(Seconds(20));
    harness.heartbeat(reporting);
    harness.leader->machines_listed(list(MachineStatus::running), harness.now);
    EXPECT_FALSE(harness.place()) << "the machine may have come up before the term began";
    harness.leader->machines_listed(list(MachineStatus::booting), harness.now);
    EXPECT_TRUE(harness.place());
    EXPECT_FALSE(harness.leader->awaiting_reconciliation());
}

TEST(ReconciliationTest, JobWaitsOnlyForMachinesThatMayHoldItsTasks) {
    SchedulerHarness harness;
    harness.elect();
    harness.leader->expect_unrecorded_tasks();
    Worker reporting, silent;
    silent.name = "n-000002";
    silent.type = "large";
    auto anywhere = job("run-1", model::JobKind::array, 1);
    auto there = job("run-2", model::JobKind::array, 1);
    there.types = std::vector<std::string>{reporting.type};
    harness.accept(anywhere);
    harness.accept(there);
    std::vector<model::ListedMachine> list;
    for (const auto* m : {&reporting, &silent})
        list.push_back({m->name, "", m->type, m->zone, false, model::MachineStatus::running, Seconds(60)});
    harness.heartbeat(reporting);
    harness.heartbeat(reporting);
    harness.advance(Seconds(20));
    harness.heartbeat(reporting);
    harness.leader->machines_listed(list, harness.now);
    EXPECT_TRUE(harness.place());
    EXPECT_EQ(harness.machine_of("run-2", 0), reporting.name);
    EXPECT_EQ(harness.machine_of("run-1", 0), "") << "the task may run on the other machine";
    EXPECT_TRUE(harness.leader->awaiting_reconciliation());
    EXPECT_TRUE(harness.leader->scale_out(harness.now).empty());
}

TEST(ReconciliationTest, TaskWithALaterAttemptIsAdoptedOnTheReportingWorker) {
    SchedulerHarness harness;
    harness.elect();
    harness.accept(job("run-1", model::JobKind::array, 3));
    // The records lack the placements of an earlier leader.
    Worker m;
    m.type = "large";
    harness.elect();
    harness.leader->expect_unrecorded_tasks();
    for (const std::uint32_t i : {0u, 2u}) {
        model::TaskReport t;
        t.id = {"run-1", i};
        t.attempt = 4;
        t.status = TaskStatus::running;
        m.tasks.push_back(t);
    }
    harness.heartbeat(m, false);
    EXPECT_EQ(harness.machine_of("run-1", 0), "") << "a heartbeat from before this term is no evidence";
    m.fencing_token = harness.term;
    const auto commands = harness.heartbeat(m);
    EXPECT_FALSE(harness.has_command(commands, CommandType::kill, "run-1", 0));
    EXPECT_EQ(harness.machine_of("run-1", 0), m.name);
    EXPECT_EQ(harness.machine_of("run-1", 2), m.name);
    harness.commit();
    harness.advance(Seconds(20));
    harness.leader->machines_listed({}, harness.now);
    harness.heartbeat(m);
    ASSERT_TRUE(harness.place());
    EXPECT_NE(harness.machine_of("run-1", 1), "");
    EXPECT_EQ(m.find("run-1", 0)->attempt, 4u);
    // The next leader loads the adopted tasks from the records.
    harness.elect();
    EXPECT_EQ(harness.machine_of("run-1", 2), m.name);
}

TEST(ReconciliationTest, OrphanedTasksAreStoppedAndWaitedFor) {
    SchedulerHarness harness;
    harness.elect();
    harness.leader->expect_unrecorded_tasks();
    Worker m;
    model::TaskReport t;
    t.id = {"run-9", 0};
    t.attempt = 2;
    t.status = TaskStatus::running;
    m.tasks.push_back(t);
    harness.heartbeat(m);
    harness.accept(job("run-9", model::JobKind::array, 1));  // submitted again as a new job
    harness.advance(Seconds(20));
    harness.leader->machines_listed({}, harness.now);
    EXPECT_FALSE(harness.place());
    m.fencing_token = harness.term;
    harness.heartbeat(m);
    harness.heartbeat(m);
    EXPECT_TRUE(harness.place());
    EXPECT_TRUE(harness.leader->take_loss_evidence() == false);
}

TEST(ReconciliationTest, OnlyAnAttemptAboveTheRecordedOneIndicatesLoss) {
    SchedulerHarness harness;
    harness.elect();
    harness.accept(job("run-1", model::JobKind::array, 1));
    harness.settle();
    Worker m;
    harness.heartbeat(m);
    harness.heartbeat(m);
    ASSERT_TRUE(harness.place());
    harness.heartbeat(m);
    m.run_all();
    harness.heartbeat(m);
    Worker old = m;
    m.lose_lease();
    harness.heartbeat(m);
    EXPECT_FALSE(harness.leader->take_loss_evidence());
    old.name = "n-000007";
    old.tasks[0].attempt = 9;
    harness.heartbeat(old);
    EXPECT_TRUE(harness.leader->take_loss_evidence());
    EXPECT_FALSE(harness.leader->take_loss_evidence()) << "evidence is returned only once";
}

}  // namespace flintdale::test
