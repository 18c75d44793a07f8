// One term of leadership. It owns the scheduler and the loops that connect it with the state service and the cloud, and
// answers workers' heartbeats while the lease rule allows it. It ends with stop(); its loops end soon after.
#pragma once
#include <memory>
#include <optional>
#include <vector>

#include "app/fleet_loop.hpp"
#include "app/handover_hints_loop.hpp"
#include "app/planning_loop.hpp"
#include "app/record_committer.hpp"
#include "app/record_maintenance.hpp"
#include "app/record_watcher.hpp"
#include "app/term_context.hpp"
#include "model/command.hpp"
#include "model/heartbeat.hpp"
#include "model/machine.hpp"

namespace flintdale::app {

class LeaderTerm : public std::enable_shared_from_this<LeaderTerm> {
  public:
    // `unrecorded_tasks`: the records were rebuilt, so machines may hold tasks that are not on record.
    LeaderTerm(net::Executor executor, state::Store& store, cloud::Cloud& cloud, const config::Settings& settings,
               const config::OperatorSettings& operator_settings, const state::RecordFormat& record_format,
               election::Term term, bool unrecorded_tasks, LeaderTermEnvironment environment);

    // Starts the loops. `types` may be empty if they are not known yet.
    void start(const std::vector<model::MachineType>& types);
    void stop() { context_.stop(); }

    // Commands for a worker; nullopt if this controller must not answer now.
    using Commands = std::optional<std::vector<model::Command>>;
    // Answers a heartbeat. Waits, for a limited time, until the records are read and for run commands that are
    // expected.
    awaitable<Commands> handle_heartbeat(model::Heartbeat heartbeat);

    struct Decision {
        Commands commands;
        std::uint64_t passes = 0;            // placement passes before it
        bool run_commands_expected = false;  // soon; await_run_commands() waits for them
    };
    // Answers a heartbeat without waiting; gives no commands until the records have been read.
    Decision decide(const model::Heartbeat& heartbeat);
    // Waits, for a limited time, for the run commands that `decision` expects.
    awaitable<Commands> await_run_commands(model::Heartbeat heartbeat, Decision decision);

    std::uint64_t number() const { return context_.term_number; }
    // Whether the records have been read.
    bool loaded() const { return context_.loaded; }
    // Whether the records were read so long ago that a machine without a heartbeat since then is overdue.
    bool missing_heartbeats_are_overdue() const;

    // A record of a job was just read or written in this process.
    void job_changed(const state::KeyValue& record);
    // The job is cancelled, as another controller reports or a user requested here.
    void cancelled_elsewhere(const std::string& uid);
    void set_machine_types(const std::vector<model::MachineType>& types);
    scheduler::Scheduler& scheduler() { return context_.scheduler; }

  private:
    bool may_answer(model::TimePoint now) const;
    void spawn(awaitable<void> loop);

    net::Executor executor_;
    TermContext context_;
    RecordWatcher record_watcher_;
    RecordCommitter record_committer_;
    PlanningLoop planning_;
    FleetLoop fleet_;
    RecordMaintenance maintenance_;
    HandoverHintsLoop hints_;
};

}  // namespace flintdale::app
