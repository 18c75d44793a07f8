// A world in memory for the stories: a state service with conditions, a cloud, and workers with tokens, sessions
// and lost or late messages. Time is a number that the story advances; nothing here waits or reads a clock.
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

// The state service's keys.
class InMemoryStore {
  public:
    // What a value and a transaction may hold; more is refused for good.
    std::size_t value_bytes = 64 * 1024, txn_ops = 1000;
    state::TxnResult commit(const state::Txn& txn);
    state::KeyValue get(const std::string& key) const;
    std::vector<state::KeyValue> range(const std::string& prefix) const;
    std::uint64_t revision() const { return revision_; }

  private:
    std::map<std::string, state::KeyValue> items_;
    std::uint64_t revision_ = 0;
};

// A machine and the worker on it, by the protocol.
struct Worker {
    std::string name = "n-000001", type = "small", zone = "a";
    bool spot = false;
    std::uint64_t incarnation = 1, sequence = 0, fencing_token = 0;
    std::optional<Seconds> termination_notice;
    std::vector<model::TaskReport> tasks;

    model::Heartbeat report();
    // Carries out the orders of an answer with that token.
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

    // A new leader: raises the term, loads what is on record, and hears nothing yet.
    Scheduler& elect();
    void accept(const model::JobSpec& spec);  // as any controller does, and the leader learns of it
    bool cancel(const std::string& uid);      // likewise; false if it was too late
    void sync_job(const std::string& uid);    // the leader learns what is on record of the job
    // One report and its answer; the orders are carried out unless the answer is lost.
    std::vector<Command> heartbeat(Worker& w, bool answer_arrives = true);
    void commit();                                                    // everything the leader wants on record
    bool commit_one();                                                // one transaction of it; false if there is none
    void read_missing();                                              // what the leader asks to be read
    void lower_limits(std::size_t value_bytes, std::size_t txn_ops);  // as all controllers know the newest format
    bool place();                                                     // place, and put it on record
    std::vector<std::string> machines_to_release() const;             // the machines that the leader wants returned now
    void advance(Seconds s) { now += model::to_clock(s); }
    // Far enough that windows have closed and a new leader has heard its round of reports.
    void settle() { advance(Seconds(10)); }
    std::string state_of(const std::string& uid) const;
    std::string machine_of(const std::string& uid, std::uint32_t task) const;
    bool has_command(const std::vector<Command>& commands, CommandType type, const std::string& uid,
                     std::uint32_t task) const;
};

}  // namespace flintdale::test
