// Two versions in one cluster, and store limits that are lowered without notice. The records of the version in
// production are literals here, and are not produced by the code under test.
#include "state/record_format.hpp"

#include "model/job.hpp"
#include "model/task.hpp"
#include "support/fake_store.hpp"

namespace flintdale::test {

using model::ExitReason;
using model::JobKind;

namespace {

constexpr const char* production_spec =
    R"({"uid":"run-1","jobclass":"class","owner":"team","shape":"array","rank":"normal","shards":3,"cores":4E0,)"
    R"("accelerators":1E0,"mem_gb":1E1,"bundle":"image","image_gb":1E0,"one_zone":false,"scatter":false,)"
    R"("loaners":false,"guess_s":6E1,"snapshot_s":0E0,"flush_s":0E0,"at":1000})";

std::string record(const std::string& tasks) {
    return R"({"spec":)" + std::string(production_spec) + R"(,"tasks":)" + tasks + "}";
}

struct RecordFormatUpgradeTest : ::testing::Test, SchedulerHarness {
    Worker m1;

    void put(const std::string& key, const std::string& value) {
        state::Txn txn;
        txn.changes.push_back({key, boost::json::parse(value), 0});
        ASSERT_EQ(keys.commit(txn).outcome, state::Outcome::ok);
    }
    std::string text(const std::string& key) const { return boost::json::serialize(keys.get(key).value); }
    void register_worker(Worker& w) {
        heartbeat(w);
        heartbeat(w);
    }
    // Stores an array that an older version accepted and placed, one task per machine, in records of 256 tasks.
    void store_large_array(std::uint32_t tasks) {
        auto spec = wire::spec_from_record(boost::json::parse(production_spec).as_object());
        spec.tasks = tasks;
        boost::json::array ranges;
        for (std::uint32_t i = 0; i < tasks; ++i) ranges.push_back({i, i, 1, "n-" + std::to_string(100'000 + i), 0});
        for (std::uint32_t c = 0; c * 256 < tasks; ++c) {
            boost::json::object value;
            if (c == 0) value["spec"] = wire::spec_to_record(spec);
            boost::json::array part(ranges.begin() + c * 256, ranges.begin() + std::min<long>((c + 1) * 256, tasks));
            value["tasks"] = std::move(part);
            put(c ? "jobs/work/run-1/" + std::to_string(c) : "jobs/work/run-1", boost::json::serialize(value));
        }
    }
    Worker worker_of_task(std::uint32_t task) const {
        Worker w;
        w.name = "n-" + std::to_string(100'000 + task);
        w.type = "large";
        return w;
    }
    // The state of each task as a new leader reads it: the name of its machine, "done" or "".
    std::vector<std::string> tasks_read_by_new_leader() {
        SchedulerHarness reader;
        reader.keys = keys;
        reader.record_format = record_format;
        reader.term = term + 10;
        reader.elect();
        std::vector<std::string> out;
        const auto* j = reader.leader->job("run-1");
        if (!j) return out;
        for (const auto& t : j->tasks)
            out.push_back(t.state == scheduler::Task::State::done ? "done" : t.machine ? t.machine->name : "");
        return out;
    }
};

}  // namespace

TEST_F(RecordFormatUpgradeTest, ReadsRecordsOfTheOldVersion) {
    put("jobs/work/run-1", record(R"([[0,0,2,"n-000001",0],[1,1,1,"",1],[2,2,1,"",0]])"));
    put("jobs/work/run-2", R"({"spec":{},"tasks":[]})");
    put("jobs/over/run-3", R"({"state":"aborted","spec":)" + std::string(production_spec) + "}");
    elect();
    EXPECT_EQ(machine_of("run-1", 0), "n-000001");
    EXPECT_EQ(leader->job("run-1")->tasks[0].attempt, 2u);
    EXPECT_EQ(leader->count("run-1")->done, 1u);
    EXPECT_EQ(leader->job("run-1")->priority, model::Priority::normal);
    EXPECT_FALSE(leader->knows("run-3"));
}

TEST_F(RecordFormatUpgradeTest, JobWithUnreadableRecordsIsLeftAlone) {
    put("jobs/work/run-1", record(R"([[0,0,1,"n-000009",0],[1,"?"]])"));
    put("jobs/work/run-2", R"({"spec":7,"tasks":[]})");
    elect();
    settle();
    register_worker(m1);
    EXPECT_FALSE(place());
    EXPECT_FALSE(leader->knows("run-1"));
    EXPECT_GT(keys.get("jobs/work/run-1").mod_revision, 0u) << "unreadable records are not removed";
}

TEST_F(RecordFormatUpgradeTest, WritesWhatTheOldVersionWouldBeforeTheSwitch) {
    elect();
    auto spec = wire::spec_from_record(boost::json::parse(production_spec).as_object());
    accept(spec);
    EXPECT_EQ(text("jobs/work/run-1"), record("[]"));
    settle();
    register_worker(m1);
    ASSERT_TRUE(place());  // two tasks fit the machine
    EXPECT_EQ(text("jobs/work/run-1"), record(R"([[0,1,1,"n-000001",0],[2,2,0,"",0]])"));
    heartbeat(m1);
    m1.run_all();
    m1.finish("run-1", 0, ExitReason::done);
    m1.finish("run-1", 1, ExitReason::done);
    heartbeat(m1);
    ASSERT_TRUE(place());
    commit();
    EXPECT_EQ(text("jobs/work/run-1"), record(R"([[0,1,1,"",1],[2,2,1,"n-000001",0]])"));
    heartbeat(m1);
    m1.run_all();
    m1.finish("run-1", 2, ExitReason::done);
    heartbeat(m1);
    const auto batch = leader->next_batch(1000, 5000);
    ASSERT_EQ(batch.txn.changes.size(), 1u);
    EXPECT_EQ(batch.txn.changes[0].key, "jobs/over/run-1");
    EXPECT_EQ(boost::json::serialize(*batch.txn.changes[0].value),
              R"({"state":"done","spec":)" + std::string(production_spec) + "}");
}

TEST_F(RecordFormatUpgradeTest, OldControllerLeadsBetweenTwoNewOnesAndNothingIsLost) {
    elect();
    accept(wire::spec_from_record(boost::json::parse(production_spec).as_object()));
    settle();
    register_worker(m1);
    ASSERT_TRUE(leader->place(now));
    const auto late = leader->next_batch(1000);
    // The old controller wins the next term, places tasks elsewhere, sees one of them end, and crashes.
    put(election::term_key, R"({"n":2,"member":"two","lease":9})");
    term = 2;
    put("jobs/work/run-1", record(R"([[0,0,1,"",1],[1,1,1,"n-000007",0],[2,2,0,"",0]])"));
    EXPECT_EQ(keys.commit(late.txn).outcome, state::Outcome::conflict);
    elect();
    EXPECT_EQ(leader->count("run-1")->done, 1u);
    EXPECT_EQ(machine_of("run-1", 1), "n-000007");
    // The last old controller is replaced now. Later writes keep to the new limits, and another leader reads them.
    lower_limits(380, 4);
    settle();
    register_worker(m1);
    ASSERT_TRUE(place());
    EXPECT_EQ(machine_of("run-1", 2), "n-000001");
    EXPECT_EQ(text("jobs/work/run-1"), record(R"([[0,0,1,"",1],[1,1,1,"n-000007",0],[2,2,0,"",0]])"))
        << "the record exceeds the new limits and stays unchanged";
    elect();
    EXPECT_EQ(machine_of("run-1", 1), "n-000007");
    EXPECT_EQ(machine_of("run-1", 2), "n-000001");
    EXPECT_EQ(leader->count("run-1")->done, 1u);
}

TEST_F(RecordFormatUpgradeTest, LimitsFallDuringALargeArrayAndEveryWriteStaysReadable) {
    constexpr std::uint32_t tasks = 600;
    store_large_array(tasks);
    ASSERT_GT(text("jobs/work/run-1/1").size(), 6000u);
    elect();
    lower_limits(2048, 4);
    std::vector<Worker> workers;
    for (std::uint32_t i = 0; i < tasks; ++i) workers.push_back(worker_of_task(i));
    std::vector<std::string> expected;
    for (const auto& w : workers) expected.push_back(w.name);
    for (std::uint32_t round = 0; round < 10; ++round) {
        // In each round every tenth task ends; after some rounds the leader is replaced.
        for (std::uint32_t i = round; i < tasks; i += 10) {
            model::TaskReport t;
            t.id = {"run-1", i};
            t.attempt = 1;
            t.status = TaskStatus::exited;
            t.exit_reason = ExitReason::done;
            workers[i].tasks = {t};
            heartbeat(workers[i]);
        }
        advance(Seconds(9));  // so that the records of ended tasks are due
        leader->place(now);
        int writes = 0;
        while (commit_one()) {
            if (++writes > 200) FAIL() << "the scheduler does not stop writing";
            if (round == 9) continue;
            const auto found = tasks_read_by_new_leader();
            ASSERT_EQ(found.size(), tasks);
            for (std::uint32_t i = 0; i < tasks; ++i)
                ASSERT_TRUE(found[i] == expected[i] || (found[i] == "done" && i % 10 == round))
                    << i << ": " << found[i];
        }
        for (std::uint32_t i = round; i < tasks; i += 10) expected[i] = "done";
        if (round < 9) {
            EXPECT_EQ(tasks_read_by_new_leader(), expected) << round;
        }
        if (round % 3 == 1) {
            elect();
            for (auto& w : workers) {
                w.tasks.clear();
                heartbeat(w, false);
            }
        }
    }
    EXPECT_EQ(state_of("run-1"), "done");
    commit();
    EXPECT_TRUE(keys.range("jobs/work/").empty()) << "all work records are removed";
}

TEST(RecordFormatTest, RefusedSizeProvesTheNewLimitsOnlyIfThePresentOnesAllowIt) {
    auto s = settings();
    s.next_store_limits = s.store_limits;
    s.next_store_limits->value_bytes = 2048;
    s.next_store_limits->txn_ops = 4;
    state::RecordFormat record_format(s);
    EXPECT_FALSE(record_format.handle_rejection(2048, 4, 16))
        << "both limits allow it, so the rejection has another cause";
    EXPECT_FALSE(record_format.handle_rejection(20'000, 1, 1)) << "neither the current nor the next limits allow it";
    EXPECT_FALSE(record_format.newest());
    EXPECT_TRUE(record_format.handle_rejection(100, 5, 6));
    EXPECT_TRUE(record_format.newest());
    EXPECT_EQ(record_format.limits().value_bytes, 2048u);
    EXPECT_FALSE(record_format.handle_rejection(3000, 1, 1)) << "the next limits are already in force";
    s.next_store_limits.reset();
    state::RecordFormat before(s);
    EXPECT_FALSE(before.handle_rejection(15'000, 12, 48));
    EXPECT_FALSE(before.newest()) << "no next limits are announced";
}

TEST_F(RecordFormatUpgradeTest, RejectedRecordIsSplitAndBlocksNoOther) {
    // The limits were lowered without announcement: the leader learns of it only by a rejected transaction.
    record_format.set_supported_format(state::newest_format);
    elect();
    accept(job("run-2", JobKind::array, 90));
    accept(job("run-3", JobKind::array, 1));
    keys.value_bytes = 1200;
    settle();
    std::vector<Worker> workers;
    for (std::uint32_t i = 0; i < 91; ++i) {
        workers.push_back(worker_of_task(i));
        workers.back().type = "small";
        register_worker(workers.back());
    }
    leader->place(now);
    for (int i = 0; i < 100 && commit_one(); ++i) {
    }
    EXPECT_FALSE(leader->dirty());
    int runs = 0;
    for (auto& w : workers)
        for (const auto& o : heartbeat(w)) runs += o.type == CommandType::run;
    EXPECT_EQ(runs, 91) << "every placement is stored";
}

TEST_F(RecordFormatUpgradeTest, JobsWithLargeDescriptionsRunUnderSmallLimits) {
    elect();
    auto spec = job("run-2", JobKind::array, 2);
    spec.types.emplace();
    for (int i = 0; i < 300; ++i) spec.types->push_back("type-" + std::to_string(i));
    spec.types->push_back("small");
    accept(spec);
    lower_limits(2048, 4);
    settle();
    register_worker(m1);
    ASSERT_TRUE(place());
    ASSERT_TRUE(has_command(heartbeat(m1), CommandType::run, "run-2", 0));
    elect();
    EXPECT_EQ(machine_of("run-2", 1), "n-000001");
    heartbeat(m1);
    m1.run_all();
    m1.finish("run-2", 0, ExitReason::done);
    m1.finish("run-2", 1, ExitReason::done);
    heartbeat(m1);
    commit();
    EXPECT_EQ(state_of("run-2"), "done");
    EXPECT_TRUE(keys.range("jobs/work/").empty());
}

TEST_F(RecordFormatUpgradeTest, LongSubmissionIsFragmentedAndReassembledByEveryLeader) {
    elect();
    lower_limits(2048, 4);
    auto spec = job("run-2", JobKind::array, 2);
    for (int i = 0; i < 200; ++i) spec.dependencies.push_back("run-" + std::to_string(100'000 + i));
    spec.zone = "b\"\\\u00e9";
    accept(spec);
    EXPECT_FALSE(leader->knows("run-2")) << "the scheduler has received only the first record";
    read_missing();
    ASSERT_TRUE(leader->knows("run-2"));
    EXPECT_EQ(leader->job("run-2")->spec.dependencies, spec.dependencies);
    EXPECT_EQ(leader->job("run-2")->spec.zone, spec.zone);
    elect();
    ASSERT_TRUE(leader->knows("run-2"));
    EXPECT_EQ(leader->job("run-2")->spec.dependencies.size(), 200u);
    ASSERT_TRUE(cancel("run-2"));
    sync_job("run-2");
    commit();
    EXPECT_TRUE(keys.range("jobs/work/").empty());
}

}  // namespace flintdale::test
