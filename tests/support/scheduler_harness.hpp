// An in-memory environment for scheduler tests: a state service with conditional transactions, a cloud, and workers
// with fencing tokens, incarnations, and lost or late messages. The test advances the time; no function waits or reads
// a clock.
#pragma once
#include <gtest/gtest.h>

#include <map>

#include "election/elector.hpp"
#include "model/clock.hpp"
#include "model/command.hpp"
#include "model/heartbeat.hpp"
#include "model/job.hpp"
#include "model/machine.hpp"
#include "model/task.hpp"
#include "scheduler/scheduler.hpp"

namespace flintdale::test {

using namespace std::chrono_literals;
using model::Command;
using model::CommandType;
using model::Seconds;
using model::TaskStatus;
using model::TimePoint;
using scheduler::Scheduler;

config::Settings settings();
model::JobSpec job(const std::string& uid, model::JobKind kind, std::uint32_t tasks);
std::vector<model::MachineType> types();

// The keys of the state service.
class InMemoryStore {
  public:
    // Limits on a value and on a transaction. Larger transactions are rejected.
    std::size_t value_bytes = 64 * 1024, txn_ops = 1000;
    state::TxnResult commit(const state::Txn& txn);
    state::KeyValue get(const std::string& key) const;
    std::vector<state::KeyValue> range(const std::string& prefix) const;
    std::uint64_t revision() const { return revision_; }

  private:
    std::map<std::string, state::KeyValue> items_;
    std::uint64_t revision_ = 0;
};

// A machine and its worker, following the protocol.
struct Worker {
    std::string name = "n-000001", type = "small", zone = "a";
    bool spot = false;
    std::uint64_t incarnation = 1, sequence = 0, fencing_token = 0;
    std::optional<Seconds> termination_notice;
    std::vector<model::TaskReport> tasks;

    model::Heartbeat report();
    // Executes the commands of an answer with that fencing token; ignores them if the token is outdated.
    void apply_commands(const std::vector<Command>& commands, std::uint64_t answer_token);
    model::TaskReport* find(const std::string& uid, std::uint32_t index);
    void finish(const std::string& uid, std::uint32_t index, model::ExitReason exit_reason);
    void run_all();
    void lose_lease();
};

struct SchedulerHarness {
    config::Settings settings = test::settings();
    config::OperatorSettings operator_settings;
    state::RecordFormat record_format{settings};
    InMemoryStore keys;
    TimePoint now{1000s};
    std::uint64_t term = 0;
    std::int64_t wall_ms = 1'000'000;  // the time of day
    std::unique_ptr<Scheduler> leader;

    // Starts a new leader: raises the term and loads the records. The leader has received no heartbeat yet.
    Scheduler& elect();
    // Accepts the job as any controller does, and shows it to the leader.
    void accept(const model::JobSpec& spec);
    // Cancels the job as any controller does, without informing the leader. False if the job has an outcome.
    bool cancel(const std::string& uid);
    // Shows the job's records to the leader.
    void sync_job(const std::string& uid);
    // Sends one heartbeat and returns the commands of its answer, which the worker executes unless the answer is lost.
    std::vector<Command> heartbeat(Worker& w, bool answer_arrives = true);
    void commit();        // writes all changes of the leader's jobs
    bool commit_one();    // writes one transaction of them; false if there is none
    void read_missing();  // reads the keys that the leader asks for
    void lower_limits(std::size_t value_bytes, std::size_t txn_ops);  // once all controllers know the newest format
    bool place();                                                     // runs a placement pass and commits the records
    std::vector<std::string> machines_to_release() const;             // the machines that the leader would release now
    void advance(Seconds s) { now += model::to_clock(s); }
    // Advances the time until batching windows have closed and a new leader's first round of heartbeats is over.
    void settle() { advance(Seconds(10)); }
    std::string state_of(const std::string& uid) const;
    std::string machine_of(const std::string& uid, std::uint32_t task) const;
    bool has_command(const std::vector<Command>& commands, CommandType type, const std::string& uid,
                     std::uint32_t task) const;
};

}  // namespace flintdale::test
