// Accounting of each team's usage, limit (quota) and guarantee, in CPUs and accelerators.
// The scheduler reports each placement and each task that is confirmed gone, and checks the limit before each
// placement. A task counts from its placement until there is proof that it is gone, so no order of events makes the
// usage too low. Pure: no I/O, no clock.
#pragma once
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "config/settings.hpp"
#include "model/job.hpp"
#include "model/resources.hpp"

namespace flintdale::quota {

// CPUs and accelerators.
struct Amount {
    double cpus = 0, gpus = 0;
    bool operator==(const Amount&) const = default;
};

// A team's limit and guarantee. An amount of 0 means none, in both.
struct TeamQuota {
    Amount limit, guarantee;
    bool operator==(const TeamQuota&) const = default;
};

// Quotas by team name. While controllers are restarted one by one with new settings, their tables differ.
using Table = std::map<std::string, TeamQuota>;

Table table_of(const std::vector<config::Team>& teams);

// Merges two tables while some controllers use one and some the other. Takes the lower of two limits, or the only one,
// and the lower guarantee of each team, so that no task is preempted for a guarantee that one controller does not know.
// A team that is in one table only keeps its quota.
Table strictest(const Table& a, const Table& b);

class QuotaAccounting {
  public:
    explicit QuotaAccounting(Table table) : table_(std::move(table)) {}

    // Replaces the quotas. Tasks above a lowered limit keep running, and no task starts until the usage is below it.
    void set(Table table);
    const Table& table() const { return table_; }

    // --- usage ---

    // A task of the team was placed, or is confirmed gone. Each call of task_gone() must follow a call of task_placed()
    // with the same need.
    void task_placed(const std::string& team, const model::Resources& need);
    void task_gone(const std::string& team, const model::Resources& need);
    Amount use(const std::string& team) const;
    // The number of tasks with this need, at most `tasks`, that may start within the team's limit; 0 for an unknown
    // team.
    std::uint32_t room(const std::string& team, const model::Resources& need, std::uint32_t tasks) const;

    // Whether the usage exceeds the limit. This can happen after a failover: the new leader may read records of tasks
    // that never started beside those of the tasks that replaced them.
    bool over_limit(const std::string& team) const;
    // Whether the team has a limit, or is unknown.
    bool limited(const std::string& team) const;

    // --- guarantees ---

    // Adds an open job, and removes one that is done or cancelled. Open jobs count in the order of their recorded time
    // of acceptance, which is the same for every controller.
    void job_opened(const model::JobSpec& spec);
    void job_closed(const model::JobSpec& spec);

    // Whether any team has a guarantee.
    bool any_guarantee() const;

    // Whether the job fits into its team's guarantee together with all of the team's open jobs that were accepted
    // before it. Such a job need not wait for other teams, and is never preempted for one. If the guarantee covers CPUs
    // only or accelerators only, the other resource does not count.
    bool guaranteed(const std::string& team, const std::string& uid) const;
    // Whether a task of the team that is not guaranteed may be preempted for another team's guarantee. `stopping`: the
    // part of the team's usage that is being stopped already. No team is brought below its own guarantee.
    bool may_preempt(const std::string& team, const Amount& stopping, const model::Resources& need) const;
    // Whether the team uses less than its guaranteed jobs need. For the log and for tests.
    bool below_guarantee(const std::string& team) const;

  private:
    struct OpenJob {
        std::int64_t accepted_ms;
        std::string uid;
        Amount need;  // of all its tasks
        bool operator<(const OpenJob& other) const {
            return std::tie(accepted_ms, uid) < std::tie(other.accepted_ms, other.uid);
        }
    };
    struct Team {
        Amount use;
        std::size_t tasks = 0;  // placed
        std::set<OpenJob> open;
        // Derived from `open` and the quota; recomputed on the next query while `stale` is set.
        mutable bool stale = true;
        mutable std::set<std::string> guaranteed;  // uids of the guaranteed jobs
        mutable Amount guaranteed_need;            // of the guaranteed jobs together
    };
    // Null if the team is unknown.
    const TeamQuota* quota_of(const std::string& team) const;
    // Null if the team has neither a placed task nor a job.
    const Team* find(const std::string& team) const;
    // Recomputes the derived fields.
    void refresh(const std::string& name, const Team& team) const;

    Table table_;
    std::map<std::string, Team> teams_;
};

}  // namespace flintdale::quota
