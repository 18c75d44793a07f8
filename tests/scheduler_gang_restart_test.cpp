// A gang that starts anew on its machines, while some of them still hold the earlier attempt. A task must be taken for
// gone only once its machine holds no attempt of it.
#include <array>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <set>

#include "model/task.hpp"
#include "support/scheduler_fixture.hpp"

namespace flintdale::test {

using model::ExitReason;
using model::JobKind;

namespace {

constexpr double cpu_limit = 8;  // of the team `limited`, see settings()

bool is_live(const model::TaskReport& task) { return task.status != TaskStatus::exited; }
// From when it has its image until it exits.
bool is_on_machine(const model::TaskReport& task) { return is_live(task) && task.status != TaskStatus::fetching; }

// A gang of three members, each of which fills a small machine: the member on m1 gave up waiting, the member on m2
// waits for the gang, and the member on m3 fetches its image.
struct GangRestartTest : SchedulerTest {
    Worker m3 = machine("n-000003", "a");
    std::array<Worker*, 3> workers{&m1, &m2, &m3};

    static model::JobSpec gang(const std::string& uid) {
        auto spec = job(uid, JobKind::gang, 3);
        spec.team = "limited";
        spec.need = {2, 2, 10};
        return spec;
    }
    // The index of the member that is on the machine or was there last.
    std::uint32_t member_on(const Worker& worker) const { return worker.tasks.at(0).id.index; }

    void place_gang() {
        elect();
        accept(gang("run-1"));
        settle();
        for (auto* worker : workers) report_twice(*worker);
        ASSERT_TRUE(place());
        for (auto* worker : workers) heartbeat(*worker);
        m1.tasks.at(0).status = TaskStatus::waiting;
        m2.tasks.at(0).status = TaskStatus::waiting;
        for (auto* worker : workers) heartbeat(*worker);
        m1.finish("run-1", member_on(m1), ExitReason::gang_incomplete);
        heartbeat(m1);
    }
    // The last image is there, so the gang starts anew under its second attempt. No worker has been told yet.
    void restart_gang() {
        place_gang();
        m3.tasks.at(0).status = TaskStatus::waiting;
        heartbeat(m3, false);
        commit();
        ASSERT_EQ(leader->job("run-1")->gang_attempt, 2u);
    }
    // m1 runs its member under the second attempt, and the member fails. The answers to m2 are lost.
    void fail_second_attempt() {
        restart_gang();
        heartbeat(m1);
        ASSERT_EQ(m1.tasks.at(0).attempt, 2u);
        heartbeat(m2, false);
        m1.finish("run-1", member_on(m1), ExitReason::error);
        heartbeat(m1);
        heartbeat(m3);
        heartbeat(m3);
    }
    // A machine that is free, and has the room for any member.
    Worker add_machine(const std::string& name) {
        auto worker = machine(name, "a");
        report_twice(worker);
        return worker;
    }
};

}  // namespace

// review/1, ran_twice: the answer that starts the new attempt is lost, another member fails, and the task was started
// on a second machine although the report just handled showed it on the first.
TEST_F(GangRestartTest, MemberHeldUnderTheEarlierAttemptIsNotStartedElsewhereWhenAnotherMemberFails) {
    fail_second_attempt();
    const auto member = member_on(m2);
    heartbeat(m2, false);
    ASSERT_EQ(m2.tasks.at(0).status, TaskStatus::waiting);
    EXPECT_EQ(machine_of("run-1", member), "n-000002") << "its report shows it there, under the first attempt";
    auto m4 = add_machine("n-000004");
    auto m5 = add_machine("n-000005");
    EXPECT_FALSE(place()) << "the earlier attempt is not gone yet";
    EXPECT_TRUE(has_command(heartbeat(m2), CommandType::kill, "run-1", member));
    heartbeat(m2);
    EXPECT_EQ(machine_of("run-1", member), "") << "it was killed, so the next attempt need not wait any longer";
    EXPECT_TRUE(place());
}

// ran_cancelled and quota on a related path: the task of a cancelled job was taken for gone, while its machine was
// still telling that it waits under the earlier attempt.
TEST_F(GangRestartTest, MemberHeldUnderTheEarlierAttemptStaysKnownWhenTheJobIsCancelled) {
    restart_gang();
    const auto member = member_on(m2);
    ASSERT_TRUE(cancel("run-1"));
    sync_job("run-1");
    heartbeat(m2, false);
    EXPECT_EQ(machine_of("run-1", member), "n-000002");
    EXPECT_TRUE(has_command(heartbeat(m2), CommandType::kill, "run-1", member));
    heartbeat(m2);
    EXPECT_EQ(machine_of("run-1", member), "");
}

// ran_cancelled on a related path: the user cancels before any report after the restart, and the machine hangs. Nobody
// would have released it, because its task was taken for gone.
TEST_F(GangRestartTest, HangingMachineWithACancelledMemberOfTheEarlierAttemptIsReleasedInTime) {
    restart_gang();
    ASSERT_TRUE(cancel("run-1"));
    sync_job("run-1");
    EXPECT_EQ(machine_of("run-1", member_on(m2)), "n-000002");
    for (Seconds waited{0}; waited < settings.cancel_deadline - Seconds(10); waited += Seconds(2)) {
        advance(Seconds(2));
        heartbeat(m1);
        heartbeat(m3);
    }
    EXPECT_EQ(machines_to_release().at(0), "n-000002");
}

// quota, the case that the review left out: the room of a cancelled gang was given to others at once, half a second
// after its new attempt had begun, while its members still waited on machines under the earlier one.
TEST_F(GangRestartTest, CancelledGangKeepsItsShareOfTheLimitWhileMachinesHoldTheEarlierAttempt) {
    restart_gang();
    auto other = job("run-2", JobKind::array, 2);
    other.team = "limited";
    other.need = {4, 0, 10};
    accept(other);
    settle();
    auto m4 = machine("n-000004", "a", "large");
    report_twice(m4);
    EXPECT_FALSE(place()) << "the gang uses 6 of 8 CPUs";
    ASSERT_TRUE(cancel("run-1"));
    sync_job("run-1");
    place();
    heartbeat(m4);
    const auto held = [&] {
        double cpus = 0;
        for (const auto* worker : {&m1, &m2, &m3, &m4})
            for (const auto& task : worker->tasks)
                if (is_live(task)) cpus += task.id.uid == "run-1" ? gang("run-1").need.cpus : other.need.cpus;
        return cpus;
    };
    EXPECT_EQ(m4.tasks.size(), 1u) << "the member on m1 has exited; those on m2 and m3 wait";
    EXPECT_LE(held(), cpu_limit);
    report_twice(m2);
    report_twice(m3);
    EXPECT_TRUE(place()) << "all members are gone";
    heartbeat(m4);
    EXPECT_EQ(m4.tasks.size(), 2u);
}

// ran_twice on a related path: a team over its limit has tasks taken off their machines if they do not run yet.
TEST_F(GangRestartTest, MemberHeldUnderTheEarlierAttemptStaysWhileItsTeamIsOverItsLimit) {
    restart_gang();
    for (auto& team : settings.teams)
        if (team.name == "limited") team.cpus_limit = 4;
    elect();
    m2.fencing_token = term;  // it has heard of the term from a controller that does not lead
    const auto member = member_on(m2);
    heartbeat(m2, false);
    EXPECT_EQ(machine_of("run-1", member), "n-000002");
    heartbeat(m2);
    heartbeat(m2);
    EXPECT_EQ(machine_of("run-1", member), "") << "it is gone, and the team has no room for it";
}

// ran_twice on a related path: the next leader reads the new attempt on record.
TEST_F(GangRestartTest, NextLeaderWaitsForTheEarlierAttemptToo) {
    restart_gang();
    heartbeat(m1);
    elect();
    for (auto* worker : workers) worker->fencing_token = term;
    heartbeat(m1, false);
    m1.finish("run-1", member_on(m1), ExitReason::error);
    heartbeat(m1);
    heartbeat(m2, false);
    EXPECT_EQ(machine_of("run-1", member_on(m2)), "n-000002");
}

// ran_twice on a related path: the worker refused the new attempt because it holds the earlier one.
TEST_F(GangRestartTest, RefusalBecauseOfTheEarlierAttemptIsNoEvidenceThatTheTaskIsGone) {
    restart_gang();
    const auto member = member_on(m2);
    model::TaskReport refused;
    refused.id = {"run-1", member};
    refused.attempt = 2;
    refused.status = TaskStatus::exited;
    refused.exit_reason = ExitReason::conflicting_attempt;
    m2.tasks.push_back(refused);
    EXPECT_TRUE(has_command(heartbeat(m2, false), CommandType::kill, "run-1", member));
    EXPECT_EQ(machine_of("run-1", member), "n-000002");
    std::erase_if(m2.tasks, [](const auto& task) { return is_live(task); });
    heartbeat(m2);
    EXPECT_EQ(machine_of("run-1", member), "") << "the earlier attempt is gone, so the refusal counts";
}

TEST_F(GangRestartTest, MemberWhoseEarlierAttemptIsGoneIsFreeAtOnce) {
    fail_second_attempt();
    const auto member = member_on(m2);
    m2.finish("run-1", member, ExitReason::gang_incomplete);
    heartbeat(m2, false);
    EXPECT_EQ(machine_of("run-1", member), "");
}

TEST_F(GangRestartTest, ExpiredLeaseEndsTheEarlierAttempt) {
    fail_second_attempt();
    const auto member = member_on(m2);
    m2.lose_lease();
    heartbeat(m2, false);
    EXPECT_EQ(machine_of("run-1", member), "");
}

namespace {

// Gangs and an array on workers that lose answers, fail, give up waiting and lose their leases at random, with users
// who cancel and leaders that change. Checks what the workers hold, not what the leader believes.
class RandomRestarts : public SchedulerHarness {
  public:
    explicit RandomRestarts(std::uint32_t seed) : random_(seed) {
        for (int i = 1; i <= 7; ++i) {
            auto& worker = workers_.emplace_back(machine("n-00000" + std::to_string(i), "a"));
            last_answered_[worker.name] = now;
        }
        elect();
    }
    void run(int steps) {
        for (int step = 0; step < steps && !::testing::Test::HasFailure(); ++step) {
            if (draw(25) == 0 && accepted_ < 12) accept_job();
            if (draw(60) == 0) cancel_one();
            if (draw(150) == 0) elect();
            advance(Seconds(0.2));
            for (auto& worker : workers_) live(worker);
            leader->relocate(now);
            if (draw(3) == 0) place();
            if (draw(2) == 0) commit();
            check(step);
        }
    }
    unsigned restarts() const { return restarts_; }

  private:
    std::uint32_t draw(std::uint32_t below) {
        return boost::random::uniform_int_distribution<std::uint32_t>(0, below - 1)(random_);
    }

    void accept_job() {
        const auto uid = "run-" + std::to_string(++accepted_);
        auto spec = GangRestartTest::gang(uid);
        if (draw(4) == 0) {
            spec.kind = JobKind::array;
            spec.need = {4, 1, 10};
        }
        spec.image = uid;
        specs_[uid] = spec;
        accept(spec);
    }

    void cancel_one() {
        if (!accepted_) return;
        const auto uid = "run-" + std::to_string(1 + draw(accepted_));
        if (leader->job(uid) && cancel(uid)) sync_job(uid);
    }

    void live(Worker& worker) {
        if (now - last_answered_[worker.name] > model::to_clock(settings.worker_lease)) {
            worker.lose_lease();
            last_answered_[worker.name] = now;
        }
        for (auto& task : worker.tasks) progress(worker, task);
        // Answers are lost for some time, and the reports arrive.
        auto& deaf_until = deaf_until_[worker.name];
        if (draw(80) == 0) deaf_until = now + std::chrono::seconds(3 + draw(10));
        if (draw(6) != 0) return;
        const bool arrives = now >= deaf_until;
        const auto attempts = gang_attempts();
        heartbeat(worker, arrives);
        if (arrives) last_answered_[worker.name] = now;
        for (const auto& [uid, attempt] : gang_attempts()) {
            const auto before = attempts.find(uid);
            if (before == attempts.end() || before->second == attempt) continue;
            ++restarts_;
            if (draw(3) == 0 && cancel(uid)) sync_job(uid);
        }
    }

    std::map<std::string, std::uint64_t> gang_attempts() const {
        std::map<std::string, std::uint64_t> out;
        for (const auto& [uid, spec] : specs_)
            if (const auto* known = leader->job(uid)) out[uid] = known->gang_attempt;
        return out;
    }

    void progress(const Worker& worker, model::TaskReport& task) {
        const bool gang = specs_.at(task.id.uid).kind == JobKind::gang;
        const bool cached = images_.contains({worker.name, task.id.uid});
        if (task.status == TaskStatus::fetching && draw(cached ? 2 : 30) == 0) {
            task.status = gang ? TaskStatus::waiting : TaskStatus::running;
            images_.insert({worker.name, task.id.uid});
            if (draw(5) == 0) end(task, ExitReason::error);
        } else if (task.status == TaskStatus::waiting && draw(25) == 0) {
            end(task, ExitReason::gang_incomplete);
        } else if (task.status == TaskStatus::running && draw(100) == 0) {
            end(task, ExitReason::error);
        }
    }
    static void end(model::TaskReport& task, ExitReason reason) {
        task.status = TaskStatus::exited;
        task.exit_reason = reason;
    }

    void check(int step) const {
        std::map<std::pair<std::string, std::uint32_t>, std::string> on;
        double cpus = 0;
        for (const auto& worker : workers_)
            for (const auto& task : worker.tasks) {
                if (!is_on_machine(task)) continue;
                const auto [first, added] = on.try_emplace({task.id.uid, task.id.index}, worker.name);
                EXPECT_TRUE(added) << "ran_twice: " << task.id.uid << "/" << task.id.index << " is on " << first->second
                                   << " and on " << worker.name << " in step " << step;
                cpus += specs_.at(task.id.uid).need.cpus;
            }
        EXPECT_LE(cpus, cpu_limit) << "quota, in step " << step;
    }

    boost::random::mt19937 random_;
    std::vector<Worker> workers_;
    std::map<std::string, TimePoint> last_answered_, deaf_until_;
    std::set<std::pair<std::string, std::string>> images_;  // machine and image
    std::map<std::string, model::JobSpec> specs_;
    std::uint32_t accepted_ = 0;
    unsigned restarts_ = 0;
};

}  // namespace

// ran_twice and quota, over random orders of lost answers, failures, cancellations and leaders.
TEST(RandomGangRestartTest, NoTaskIsOnTwoMachinesAndNoTeamOverItsLimit) {
    unsigned restarts = 0;
    for (std::uint32_t seed = 1; seed <= 60 && !::testing::Test::HasFailure(); ++seed) {
        SCOPED_TRACE(seed);
        RandomRestarts world(seed);
        world.run(1500);
        restarts += world.restarts();
    }
    EXPECT_GT(restarts, 100u) << "gangs are to start anew where they are";
}

}  // namespace flintdale::test
