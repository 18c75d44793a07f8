// Accounting of what each team uses, may use (quota) and is guaranteed, in CPUs and accelerators. Pure: the scheduler
// reports placements and evidence, and asks before each placement. Usage counts all that may be on machines: a task
// counts from its placement until there is evidence that it is gone, so that no order of events makes the usage too
// low.
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

// A team's figures; 0 means none, for limits and guarantees alike.
struct TeamQuota {
    Amount limit, guarantee;
    bool operator==(const TeamQuota&) const = default;
};

// By team. Controllers that are restarted one by one with new settings have different tables for a while.
using Table = std::map<std::string, TeamQuota>;

Table table_of(const std::vector<config::Team>& teams);

// What holds while some controllers have one table and some the other: of each limit the lower one, or the only one; of
// each guarantee the lower one, so that nothing is preempted for a guarantee that one of them does not know. A team
// that is in one table only keeps its figures.
Table strictest(const Table& a, const Table& b);

class QuotaAccounting {
  public:
    explicit QuotaAccounting(Table table) : table_(std::move(table)) {}

    // Replaces the figures. What exceeds a lowered limit stays; nothing more starts until the usage is below.
    void set(Table table);
    const Table& table() const { return table_; }

    // --- usage ---

    // A task of the team was placed, or is gone. Each call of task_gone() must follow one of task_placed() with the
    // same need.
    void task_placed(const std::string& team, const model::Resources& need);
    void task_gone(const std::string& team, const model::Resources& need);
    Amount use(const std::string& team) const;
    // How many more such tasks the team's limit leaves room for, at most `tasks`; none for a team that is not known.
    std::uint32_t room(const std::string& team, const model::Resources& need, std::uint32_t tasks) const;

    // Whether the usage exceeds the limit. It can after a failover: a new leader may read records of tasks that never
    // started beside those of the tasks that replaced them.
    bool over_limit(const std::string& team) const;
    // Whether the team has a limit, or is not known.
    bool limited(const std::string& team) const;

    // --- guarantees ---

    // An open job, and one that is over. Open jobs count in the order of their acceptance on record, which is the same
    // for every controller.
    void job_opened(const model::JobSpec& spec);
    void job_closed(const model::JobSpec& spec);

    // Whether any team has a guarantee.
    bool any_guarantee() const;

    // Whether the job fits into its team's guarantee together with all of the team's open jobs that were accepted
    // before it. Such a job need not wait for other teams, and is never preempted for one. If only one of the two
    // figures is set, the other does not bind.
    bool guaranteed(const std::string& team, const std::string& uid) const;
    // Whether a task of the team that is not guaranteed may be preempted for another team's guarantee, while `stopping`
    // of the team's usage is being stopped already. No team is brought below its own guarantee.
    bool may_preempt(const std::string& team, const Amount& stopping, const model::Resources& need) const;
    // Whether guaranteed tasks of the team are not placed. For the log and for tests.
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
        // Computed from `open` and the figures when it is asked for.
        mutable bool stale = true;
        mutable std::set<std::string> guaranteed;  // uids
        mutable Amount guaranteed_need;            // of those jobs
    };
    const TeamQuota* figures(const std::string& team) const;
    const Team* find(const std::string& team) const;
    // Computes what is stale.
    void refresh(const std::string& name, const Team& team) const;

    Table table_;
    std::map<std::string, Team> teams_;
};

}  // namespace flintdale::quota
