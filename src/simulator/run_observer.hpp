// Watches a run from outside, in intervals: who leads, whether jobs are answered for, wait beside free room or stand
// idle, and how a loss of data is recovered from. Changes nothing in the simulated cluster.
#pragma once
#include <map>
#include <optional>
#include <set>
#include <string>

#include "simulator/fault_schedule.hpp"

namespace flintdale::simulator {

class RunObserver {
  public:
    RunObserver(Events& events, const Scenario& scenario, Checker& checker, const Fleet& fleet,
                const Controllers& controllers, const KeyValueStore& store, const Users& users, FaultSchedule& schedule,
                RunResult& result);

    // Begins the checks that are made in intervals.
    void start();
    // Looks for controllers that have begun to lead; called also while a fault waits for an election.
    void check_leaders();
    // The store is about to lose data: measures what that disturbs.
    void data_lost();
    // Writes what is known at the end of the run to the result.
    void finish();

  private:
    void check();
    void check_idle_jobs();
    void check_unanswered_jobs();
    void check_rebuilds();
    void check_waiting_jobs();
    // Whether the job has waited since the last check beside room that was free all the time.
    bool waits_beside_room(UserJob& job) const;
    void record_undisturbed(const std::map<TaskName, std::string>& before);
    bool cancelled_by_user(const std::string& uid) const;
    void record_idle(const std::string& name);

    Events& events_;
    const Scenario& scenario_;
    Checker& checker_;
    const Fleet& fleet_;
    const Controllers& controllers_;
    const KeyValueStore& store_;
    const Users& users_;
    FaultSchedule& schedule_;
    RunResult& result_;
    std::set<std::size_t> leaders_;
    std::optional<TimePoint> data_lost_at_;        // until the next start of a task
    double last_rebuild_s_ = 0;                    // since the start of the run
    std::map<std::string, TimePoint> idle_since_;  // "class x" or "team x" with open work and nothing on machines
};

}  // namespace flintdale::simulator
