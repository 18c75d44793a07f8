// The requirements of an open job: suitable machines, machines that its tasks must avoid, the number of tasks that its
// team's quota allows, and its target duration.
#pragma once
#include "scheduler/scheduler_state.hpp"

namespace flintdale::scheduler {

// Tasks of one job that are planned in one pass. Bounds the work of a pass.
inline constexpr std::uint32_t max_planned_tasks = 400;

class JobDemand {
  public:
    explicit JobDemand(SchedulerState& state) : state_(state) {}

    // The job's placement requirements, computed on first use. The reference is valid while the job exists.
    const placement::Requirements& ask_of(const Job& job) const;
    // The same, restricted to machine types that hold at least `slots` such tasks.
    placement::Requirements ask_for_slots(const Job& job, unsigned slots) const;
    // The machines of the job's tasks, and the machines that must not take another one.
    placement::JobHosts hosts_of(const Job& job) const;
    // The same as if that placed task were gone, with its machine excluded.
    placement::JobHosts hosts_without(const Job& job, std::uint32_t task) const;
    // The number of tasks, at most `tasks`, that the team's quota allows. Every task that may be on a machine counts as
    // usage.
    std::uint32_t within_quota(const Job& job, std::uint32_t tasks) const;
    // Whether the job is within its team's guaranteed share.
    bool guaranteed(const Job& job) const { return state_.quota.guaranteed(job.spec.team, job.spec.uid); }
    // The time from submission to completion that the objectives or the job's own deadline require.
    Seconds target_duration(const JobSpec& spec) const;
    // The number of waiting tasks that should run at the same time.
    std::uint32_t tasks_wanted_now(const Job& job) const;

  private:
    SchedulerState& state_;
};

}  // namespace flintdale::scheduler
