// The tasks that are preempted to make room for others.
#include "support/scheduler_fixture.hpp"

namespace flintdale::test {

using model::JobKind;

// Fetching the image on a machine with room may take minutes. Stopping a task that saves its progress on a machine with
// the image takes seconds.
TEST_F(SchedulerTest, CriticalReplicaPreemptsAnArrayTaskWhereItsImageIs) {
    fill_with_image();
    ASSERT_EQ(machine_of("run-2", 0), "n-000001");
    report_twice(m2);
    accept(replica("run-3"));
    place();
    EXPECT_EQ(machine_of("run-3", 0), "") << "n-000002 has room but does not hold the image";
    EXPECT_TRUE(has_command(heartbeat(m1), CommandType::kill, "run-2", 0));
    heartbeat(m1);
    ASSERT_TRUE(place());
    EXPECT_EQ(machine_of("run-3", 0), "n-000001");
}

TEST_F(SchedulerTest, ReplicaGoesElsewhereWhenNoRoomWasMadeInTime) {
    fill_with_image();
    report_twice(m2);
    accept(replica("run-3"));
    place();
    ASSERT_EQ(machine_of("run-3", 0), "");
    advance(8s);  // n-000001 hangs
    heartbeat(m2);
    ASSERT_TRUE(place());
    EXPECT_EQ(machine_of("run-3", 0), "n-000002");
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
        EXPECT_EQ(leader->job("run-1")->placed, 2u) << "a job of equal priority must not preempt";
    }
    critical.priority = model::Priority::critical;
    accept(critical);
    place();  // finds no room
    place();
    std::vector<Command> commands = heartbeat(m1);
    const int kills =
        has_command(commands, CommandType::kill, "run-1", 0) + has_command(commands, CommandType::kill, "run-1", 1);
    EXPECT_EQ(kills, 1) << "exactly one task must be preempted";
    EXPECT_EQ(machine_of("run-3", 0), "") << "the room is used only once the preempted task is gone";
    heartbeat(m1);
    place();
    EXPECT_EQ(machine_of("run-3", 0), "n-000001");
}

// Idle-priority tasks of one team occupied the CPUs of every machine for minutes, while gangs that need whole machines
// waited beside thousands of unused accelerators.
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
    EXPECT_EQ(kills(), 0u) << "no task may be preempted if the whole gang still does not fit";
    ASSERT_TRUE(cancel("run-3"));
    sync_job("run-3");
    gang.uid = "run-2";
    gang.tasks = 2;
    accept(gang);
    EXPECT_EQ(kills(), 4u);
    for (auto* w : {&m1, &m2}) heartbeat(*w);
    place();
    EXPECT_EQ(leader->job("run-2")->placed, 2u);
    EXPECT_EQ(leader->job("run-1")->placed, 0u);
}

}  // namespace flintdale::test
