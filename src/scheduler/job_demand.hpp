// What an open job asks of the fleet: the machines that suit it, where its tasks may not go, how many tasks its team's
// quota leaves room for, and how soon it should be done.
#pragma once
#include "scheduler/scheduler_state.hpp"

namespace flintdale::scheduler {

// Tasks of one job that are planned in one pass; bounds the work of a pass.
inline constexpr std::uint32_t max_planned_tasks = 400;

class JobDemand {
  public:
    explicit JobDemand(SchedulerState& state) : state_(state) {}

    // The job's requirements in numbers, made when first needed. Valid until the job is gone.
    const placement::Requirements& ask_of(const Job& job) const;
    // The same without the machines that hold fewer than so many such tasks.
    placement::Requirements ask_for_slots(const Job& job, unsigned slots) const;
    // Where tasks of the job are, and the machines that must not take another.
    placement::JobHosts hosts_of(const Job& job) const;
    // The same as if that placed task were gone, with its machine excluded.
    placement::JobHosts hosts_without(const Job& job, std::uint32_t task) const;
    // How many of so many tasks the team's quota leaves room for. All tasks that may be on a machine count.
    std::uint32_t within_quota(const Job& job, std::uint32_t tasks) const;
    // Whether the job is within its team's guaranteed share.
    bool guaranteed(const Job& job) const { return state_.quota.guaranteed(job.spec.team, job.spec.uid); }
    // The time from submission to end that the objectives or the job's own deadline ask for.
    Seconds target_duration(const JobSpec& spec) const;
    // How many of the waiting tasks need room at once.
    std::uint32_t tasks_wanted_now(const Job& job) const;

  private:
    SchedulerState& state_;
};

}  // namespace flintdale::scheduler
