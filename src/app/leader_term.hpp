// One term of leadership. It owns the scheduler and the loops that carry messages between it, the state service and the
// cloud, and answers workers' heartbeats while that is safe. It ends with stop(); its loops end soon after.
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
    // `unrecorded_tasks`: the records were rebuilt, so tasks may be on machines without a record.
    LeaderTerm(net::Executor executor, state::Store& store, cloud::Cloud& cloud, const config::Settings& settings,
               const config::OperatorSettings& operator_settings, const state::RecordFormat& record_format,
               election::Term term, bool unrecorded_tasks, LeaderTermEnvironment environment);

    // Starts the loops. `types` may be empty if they are not known yet.
    void start(const std::vector<model::MachineType>& types);
    void stop() { context_.stop(); }

    // Commands for a worker; nothing if this controller must not answer now.
    using Commands = std::optional<std::vector<model::Command>>;
    // Answers a heartbeat. Waits for a while until the records are read, and for commands that are likely in a moment.
    awaitable<Commands> handle_heartbeat(model::Heartbeat heartbeat);

    struct Decision {
        Commands commands;
        std::uint64_t passes = 0;    // placement passes before it
        bool runs_expected = false;  // commands to run something are likely in a moment: await_runs() waits for them
    };
    // Answers a heartbeat at once, for a term that has read the records.
    Decision decide(const model::Heartbeat& heartbeat);
    awaitable<Commands> await_runs(model::Heartbeat heartbeat, Decision decision);

    std::uint64_t number() const { return context_.term_number; }
    // Whether the records have been read.
    bool loaded() const { return context_.loaded; }
    // Whether the records were read so long ago that a machine without a heartbeat since then is overdue.
    bool missing_heartbeats_are_overdue() const;

    // A record of a job was just read or written in this process.
    void job_changed(const state::KeyValue& record);
    // Another controller, or a user's request here, says that the job is cancelled.
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
