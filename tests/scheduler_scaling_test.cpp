// The machines that are requested and released.
#include "model/machine.hpp"
#include "support/scheduler_fixture.hpp"

namespace flintdale::test {

using model::JobKind;

// The release call may go unanswered, and the store may be unreachable by then. The reason must still be the cancelled
// work.
TEST_F(SchedulerTest, UnansweredReleaseIsRequestedAgainForTheSameReason) {
    elect();
    start(job("run-1", JobKind::array, 1), {&m1});
    ASSERT_TRUE(cancel("run-1"));
    sync_job("run-1");
    advance(Seconds(settings.cancel_deadline * 0.6));
    auto releases = leader->scale_in(now);
    ASSERT_EQ(releases.size(), 1u);
    EXPECT_EQ(releases[0].why, scheduler::cancelled_work);
    leader->release_requested(releases);
    advance(2s);
    releases = leader->scale_in(now);
    ASSERT_EQ(releases.size(), 1u);
    EXPECT_EQ(releases[0].why, scheduler::cancelled_work);
}

// A new leader treated the initial machines as spare for a long time, and released 66 before the first job.
TEST_F(SchedulerTest, SpareMachinesAreReleasedOnlyAfterTheSpareTimeoutOfThisTerm) {
    elect();
    std::vector<Worker> workers;
    for (int i = 0; i < 20; ++i)
        workers.push_back(machine("n-00010" + std::string(1, static_cast<char>('a' + i)), "a"));
    const auto all_report = [&] {
        for (auto& w : workers)
            if (!leader->inventory().confirmed_gone(w.name)) heartbeat(w);
    };
    all_report();
    leader->relocate(now);
    EXPECT_TRUE(machines_to_release().empty());
    for (int i = 0; i < 9; ++i) {  // 27 s, less than the boot time
        advance(3s);
        all_report();
        leader->relocate(now);
    }
    EXPECT_TRUE(machines_to_release().empty());
    for (int i = 0; i < 3; ++i) {
        advance(3s);
        all_report();
        leader->relocate(now);
    }
    EXPECT_FALSE(machines_to_release().empty());
}

TEST_F(SchedulerTest, UnexpectedMachineIsUsedOrReleased) {
    elect();
    report_twice(m1);  // launched late, for an earlier leader
    settle();
    accept(job("run-1", JobKind::array, 1));
    settle();
    heartbeat(m1);
    EXPECT_TRUE(place());
    auto idle = machine("n-000009", "a");
    report_twice(idle);
    for (int i = 0; i < 40; ++i) {
        advance(3s);
        heartbeat(idle);
        heartbeat(m1);
    }
    EXPECT_EQ(machines_to_release(), std::vector<std::string>{"n-000009"});
}

// inc-8739, inc-e02a: a leader that received no heartbeats released the whole fleet, and launched it again.
TEST_F(SchedulerTest, LeaderWithoutHeartbeatsKeepsTheFleetUntilAnotherMayLead) {
    elect();
    std::vector<Worker> all;
    for (int i = 1; i < 7; ++i) all.push_back(machine("n-00000" + std::to_string(i), "a"));
    for (auto& w : all) report_twice(w);
    EXPECT_FALSE(leader->heartbeat_coverage(now).cut_off_from_workers());
    advance(settings.heartbeat_interval * 1.25 + 2s);
    EXPECT_TRUE(leader->heartbeat_coverage(now).cut_off_from_workers())
        << "detected early, because all leases are running out";
    accept(job("run-1", JobKind::array, 40));
    for (const auto later = now + model::to_clock(settings.worker_lease * 2); now < later; advance(1s)) {
        EXPECT_TRUE(machines_to_release().empty());
        EXPECT_TRUE(leader->scale_out(now).empty()) << "a leader that is cut off must not launch machines";
    }
}

// A zone was cut off for 30 s, and half the fleet was released 5 s before it could report again.
TEST_F(SchedulerTest, ManySilentButListedMachinesGetTheListLag) {
    settings.machine_list_lag = Seconds(10);
    elect();
    std::vector<Worker> all;
    for (int i = 1; i < 7; ++i) all.push_back(machine("n-00000" + std::to_string(i), i < 4 ? "a" : "b"));
    for (auto& w : all) report_twice(w);
    const auto cut = now;
    while (now < cut + 60s && machines_to_release().empty()) {
        advance(1s);
        for (std::size_t k = 0; k < 3; ++k) heartbeat(all[k]);
    }
    EXPECT_GT(now, cut + 40s);
    EXPECT_LT(now, cut + 50s);
}

// Machines that the previous leader had released remained in the records. Because they were many, the next leader
// waited one lease for each of them.
TEST_F(SchedulerTest, ManySilentUnlistedMachinesAreReleasedAtOnce) {
    elect();
    std::vector<Worker> all;
    std::vector<model::ListedMachine> list;
    for (int i = 1; i < 7; ++i) {
        all.push_back(machine("n-00000" + std::to_string(i), "a"));
        if (i < 4)
            list.push_back({all.back().name, "", "small", "a", false, model::MachineStatus::running, Seconds(60)});
    }
    for (auto& w : all) report_twice(w);
    for (int i = 0; i < 5; ++i) {  // half of the machines are silent
        advance(3s);
        for (int k = 0; k < 3; ++k) heartbeat(all[static_cast<std::size_t>(k)]);
    }
    EXPECT_TRUE(machines_to_release().empty()) << "so many silent machines are more likely unreachable than dead";
    leader->machines_listed(list, now);
    EXPECT_EQ(machines_to_release(), (std::vector<std::string>{"n-000004", "n-000005", "n-000006"}));
}

// Tasks kept waiting for machines that were late or never came up.
TEST_F(SchedulerTest, OverdueMachinesAreReplacedFromAnotherPoolAndStillUsed) {
    elect();
    auto wanted = job("run-1", JobKind::gang, 3);
    wanted.one_zone = true;
    wanted.need = {8, 2, 40};  // each task needs a whole small machine
    accept(wanted);
    const auto commands = leader->scale_out(now);
    ASSERT_EQ(commands.size(), 1u);
    ASSERT_EQ(commands[0].count, 3);
    leader->machines_launched(commands[0].pool, {"n-000001", "n-000002", "n-000003"}, now);
    advance(Seconds(45));
    EXPECT_TRUE(leader->scale_out(now).empty()) << "booting may take 1.6 times the usual time";
    advance(Seconds(5));
    const auto again = leader->scale_out(now);
    ASSERT_FALSE(again.empty());
    EXPECT_NE(again[0].pool, commands[0].pool);
    for (const auto* name : {"n-000001", "n-000002", "n-000003"}) {  // late, but up
        auto w = machine(name, commands[0].pool.zone, commands[0].pool.type);
        report_twice(w);
    }
    EXPECT_TRUE(place());
}

}  // namespace flintdale::test
