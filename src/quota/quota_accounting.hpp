// What each team uses, may use and is guaranteed, in CPUs and accelerators. Pure: told of placements and of evidence,
// asked before each placement. Use is all that *may be* on machines: whatever is told in whichever order, a task counts
// from its placement until there is evidence that it is gone, so that no order of news makes the use too low.
#pragma once
#include <map>
#include <set>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "model/job.hpp"
#include "model/resources.hpp"

namespace flintdale::quota {

struct Amount {
    double cpus = 0, gpus = 0;
    bool operator==(const Amount&) const = default;
};

// A team's figures; 0 means none, for limits and guarantees alike.
struct Figures {
    Amount limit, guarantee;
    bool operator==(const Figures&) const = default;
};

// By name. Controllers that are replaced one by one may know different ones for a while.
using Table = std::map<std::string, Figures>;

Table table_of(const std::vector<config::Team>& teams);
// What holds while some controllers go by one table and some by the other: of each limit the lower, where one has none
// the other's; of each guarantee the lower, so that nothing is stopped for what one of them does not know of. A team
// that only some know keeps the figures that there are.
Table strictest(const Table& a, const Table& b);

class QuotaAccounting {
  public:
    explicit QuotaAccounting(Table table) : table_(std::move(table)) {}

    // Other figures from now on. What is over a lowered limit stays; nothing more starts until it is below.
    void set(Table table);
    const Table& table() const { return table_; }

    // --- use ---
    void placed(const std::string& team, const model::Resources& need);
    void gone(const std::string& team, const model::Resources& need);
    Amount use(const std::string& team) const;
    // How many more such tasks the team's limit leaves room for, at most `tasks`; none for a team that is not known.
    std::uint32_t room(const std::string& team, const model::Resources& need, std::uint32_t tasks) const;

    // Whether what may be on machines is more than the limit: a leader that has just begun may read of tasks that never
    // started beside those that took their place.
    bool over_limit(const std::string& team) const;
    // Whether the team has a limit, or is not known.
    bool limited(const std::string& team) const;

    // --- guarantees ---
    // A job that is not over, in the order of acceptance on record, which every controller knows alike.
    void opened(const model::JobSpec& spec);
    void over(const model::JobSpec& spec);
    bool any_guarantee() const;
    // Whether the job fits into its team's guarantee together with all of the team's jobs that were accepted before it
    // and are not over. Such a job need not wait for other teams, and is never stopped for one. A figure that is not
    // set does not bind if the other is.
    bool guaranteed(const std::string& team, const std::string& uid) const;
    // Whether a task of the team that is not guaranteed may be stopped for another's guarantee, with `stopping` of the
    // team's use on its way out already: nobody is brought below his own.
    bool may_stop(const std::string& team, const Amount& stopping, const model::Resources& need) const;
    // Whether the team has work that is guaranteed and not all of it is placed: for the log and for tests.
    bool below_guarantee(const std::string& team) const;

  private:
    struct Open {
        std::int64_t accepted_ms;
        std::string uid;
        Amount need;  // of all its tasks
        bool operator<(const Open& o) const { return std::tie(accepted_ms, uid) < std::tie(o.accepted_ms, o.uid); }
    };
    struct Team {
        Amount use;
        std::size_t tasks = 0;
        std::set<Open> open;
        mutable bool stale = true;  // the next has to be found anew
        mutable std::set<std::string> guaranteed;
        mutable Amount guaranteed_need;
    };
    const Figures* figures(const std::string& team) const;
    const Team* find(const std::string& team) const;
    void refresh(const std::string& name, const Team& team) const;

    Table table_;
    std::map<std::string, Team> teams_;
};

}  // namespace flintdale::quota
