// Two faults that overlap: store refusals and outages, isolated leaders, machines out of reach. Each test first makes
// sure that the combination came about.
#include <gtest/gtest.h>

#include "support/fault_scenario.hpp"

namespace flintdale::test {

TEST(FaultCombinationTest, StoreRefusesTheLeaderThenEverybodyAndPeersReportCancellations) {
    run_seeds(std::string(leader_refused) + outage_after_cancellation, {1, 2, 3, 4}, [](const auto& result) {
        expect_isolated_leader_outage(result);
        EXPECT_EQ(violations(result), "");
        EXPECT_LT(result.longest_gone, cancel_s / 2) << "they are told, and need not wait for leases";
        EXPECT_EQ(result.lease_kills, 0u) << "what nobody cancelled goes on through the outage";
    });
}

TEST(FaultCombinationTest, StoreRefusesAnIsolatedLeaderWhichStopsAnsweringInTime) {
    run_seeds(std::string(leader_refused) + leader_cut_from_peers + outage_after_cancellation, {1, 2, 3, 4},
              [](const auto& result) {
                  expect_isolated_leader_outage(result);
                  EXPECT_EQ(violations(result), "");
                  EXPECT_LT(result.longest_gone, cancel_s);
              });
}

// What a machine that hangs holds does not end with its lease. The leader cannot read that it is cancelled, and nobody
// else can be elected: it goes by the others' word and returns the machine.
TEST(FaultCombinationTest, MachinesHangWhileTheLeaderCannotReadCancellations) {
    run_seeds(R"(
[[troubles]]
kind = "machines_hang"
share = 0.5
at_s = 79.5
lasts_s = 75
)" + std::string(leader_refused) +
                  outage_after_cancellation,
              {1, 2, 3, 4}, [](const auto& result) {
                  EXPECT_GT(result.met_cancelled, 0u);
                  EXPECT_EQ(violations(result), "");
                  EXPECT_LT(result.longest_gone, cancel_s);
              });
}

// Whoever is elected while the leader is refused has read nothing yet when the service goes away for all, and the old
// leader gives way to the higher term: the leases are kept by what all have said.
TEST(FaultCombinationTest, ElectedLeaderThatHasReadNothingKeepsRunningTasksThroughTheOutage) {
    // Before it has looked at the marker, and while it reads.
    for (const char* after : {"0.0", "0.02"}) {
        SCOPED_TRACE(after);
        const auto result = run(std::string(leader_refused) + R"(
[[troubles]]
kind = "outage"
after = "elected"
lasts_s = 70
at_s = )" + after,
                                1);
        EXPECT_GT(result.met_workers, 10u);
        EXPECT_EQ(violations(result), "");
        EXPECT_EQ(result.lease_kills, 0u);
    }
}

// The leader is cut from the others as well, and nobody is elected before the outage. Whoever confirmed knows, and does
// not lead; the leader cannot know; what machines that hang hold does not end with their leases: they are fenced.
TEST(FaultCombinationTest, MachinesHangAndNoInformedControllerLeads) {
    const auto result = run(R"(
[[troubles]]
kind = "machines_hang"
share = 0.5
at_s = 79.5
lasts_s = 75
)" + std::string(leader_refused) +
                                leader_cut_from_peers + outage_after_cancellation,
                            3);
    EXPECT_GT(result.met_cancelled, 0u);
    EXPECT_EQ(violations(result), "");
    EXPECT_LT(result.longest_gone, cancel_s);
}

// The confirming controller ends at once and is back: what it has told is known to nobody who asks it again.
TEST(FaultCombinationTest, ConfirmingControllerRestartsAtOnce) {
    run_seeds(std::string(leader_refused) + outage_after_cancellation + R"(
[[troubles]]
kind = "crash"
node = "followers"
after = "begun"
at_s = 0.05
lasts_s = 0.05
)",
              {1, 2, 3, 4}, [](const auto& result) {
                  expect_isolated_leader_outage(result);
                  EXPECT_EQ(violations(result), "");
                  EXPECT_LT(result.longest_gone, cancel_s);
              });
}

// The old leader stands still, or its workers hear no answers, or late ones.
TEST(FaultCombinationTest, OldLeaderPausesAndResumes) {
    run_seeds(std::string(leader_refused) + outage_after_cancellation + R"(
[[troubles]]
kind = "freeze"
node = "leader"
after = "begun"
at_s = 0.5
lasts_s = 12
)",
              {1, 2, 3, 4}, [](const auto& result) {
                  expect_isolated_leader_outage(result);
                  EXPECT_EQ(violations(result), "");
                  EXPECT_LT(result.longest_gone, cancel_s);
              });
}

// Transactions without an answer are carried out after newer ones of the same controller, while leaders end and users
// cancel.
TEST(FaultCombinationTest, LateWritesArriveAfterNewerOnesWhileLeadersEndAndMachinesDie) {
    run_seeds(R"(
[[troubles]]
kind = "late_writes"
at_s = 40
share = 0.3
lasts_s = 90
[[troubles]]
kind = "machines_die"
at_s = 60
share = 0.3
[[troubles]]
kind = "crash"
after = "begun"
at_s = 3
lasts_s = 0.2
[[troubles]]
kind = "machines_cut"
after = "elected"
at_s = 0.5
share = 0.4
lasts_s = 30
[[troubles]]
kind = "crash"
node = "all"
after = "cancelled"
at_s = 1
lasts_s = 0.05
)",
              {1, 2, 3, 4}, [](const auto& result) { EXPECT_EQ(violations(result), ""); });
}

// A leader that is cut from the state service and its peers, and whom workers and users still reach: users are sent on,
// and what the new one confirmed is gone in time.
TEST(FaultCombinationTest, LeaderCutOffFromStoreAndPeersLeavesUsersToOthers) {
    run_seeds(R"(
[[troubles]]
kind = "isolate"
at_s = 80
lasts_s = 60
[[troubles]]
kind = "machines_hang"
after = "cancelled"
at_s = 0
share = 0.3
lasts_s = 60
)",
              {1, 2, 3, 4}, [](const auto& result) {
                  EXPECT_GT(result.met_cancelled, 0u);
                  EXPECT_GT(result.asked_alone, 10u);
                  EXPECT_EQ(result.ready_alone, 0u) << "users would be sent there, and refused";
                  EXPECT_EQ(violations(result), "");
                  EXPECT_LT(result.longest_gone, cancel_s);
              });
}

// Machines with long tasks are out of reach, or deaf, when the leader ends.
TEST(FaultCombinationTest, LeaderEndsWhileMachinesWithLongTasksAreUnreachableOrReceiveNothing) {
    run_seeds(R"(
[[troubles]]
kind = "machines_cut"
at_s = 70
share = 0.3
lasts_s = 60
[[troubles]]
kind = "machines_deaf"
after = "begun"
at_s = 1
share = 0.3
lasts_s = 45
[[troubles]]
kind = "crash"
after = "begun"
at_s = 2
lasts_s = 0.05
[[troubles]]
kind = "late_reports"
after = "elected"
at_s = 0
share = 0.5
lasts_s = 60
)",
              {1, 2, 3, 4}, [](const auto& result) {
                  EXPECT_EQ(violations(result), "");
                  EXPECT_LT(result.longest_gone, cancel_s);
              });
}

TEST(FaultCombinationTest, MachinesReceiveNothingResponsesAreDelayedAndOldHeartbeatsRepeat) {
    run_seeds(std::string(leader_refused) + outage_after_cancellation + R"(
[[troubles]]
kind = "machines_deaf"
after = "begun"
at_s = 0
share = 0.4
lasts_s = 60
[[troubles]]
kind = "held"
after = "begun"
at_s = 0
share = 0.4
seconds = 6
lasts_s = 60
[[troubles]]
kind = "late_reports"
after = "begun"
at_s = 0
share = 0.5
lasts_s = 80
)",
              {1, 2, 3, 4}, [](const auto& result) {
                  expect_isolated_leader_outage(result);
                  EXPECT_EQ(violations(result), "");
                  EXPECT_LT(result.longest_gone, cancel_s);
              });
}

}  // namespace flintdale::test
