// The machines that are rented, as far as their reports, the cloud's answers and its lagging list tell.
#pragma once
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/settings.hpp"
#include "placement/planner.hpp"
#include "wire/types.hpp"

namespace flintdale::fleet {

using wire::Clock;
using wire::Seconds;
using wire::TimePoint;

using TaskKey = std::pair<std::string, std::uint32_t>;  // job, task

struct Machine {
    std::string name, addr, type, zone;
    bool spot = false;

    // What its reports said last. A report counts as newer by (tenure, tick).
    std::uint64_t tenure = 0, tick = 0;
    bool reported = false;  // under this leader
    bool current = false;   // it has seen this leader's term: nothing of older terms can still reach it
    TimePoint known_since{}, last_report{};
    std::optional<TimePoint> taken_at;  // from a spot notice

    bool listed_failed = false;
    bool releasing = false;  // a release was sent, which may be carried out at any time: never used again
    bool retiring = false;   // its tasks are moved away, and then it is returned
    bool suspect = false;    // several jobs failed on it

    placement::Resources capacity, free, standing;
    std::set<TaskKey> tasks;         // all that may be on it
    std::size_t reported_tasks = 0;  // what it held by its last report, exited ones included
    TimePoint idle_since{};
    std::set<std::string> failed_jobs;
    std::vector<std::pair<std::string, double>> images;  // oldest use first
    struct Fetch {
        std::string image;
        double gb = 0;
        wire::Rank rank = wire::Rank::normal;
    };
    std::map<TaskKey, Fetch> fetching;  // tasks that wait for their image here
    double fetch_gb_per_s = 0;

    void used_image(const std::string& image, double gb, double cache_gb);
    placement::Host host() const;
};

// One kind of machine that can be rented: its type, where, and how.
struct Pool {
    std::string type, zone;
    bool spot = false;
    auto operator<=>(const Pool&) const = default;
};

struct Order {
    Pool pool;
    int count = 0;
};

class Ledger {
  public:
    void set_types(std::vector<wire::MachineType> types);
    const std::vector<wire::MachineType>& types() const { return types_; }
    const wire::MachineType* type(const std::string& name) const;

    Machine* find(const std::string& name);
    // The machine of that name, new if it was not known.
    Machine& add(const std::string& name, const std::string& type, const std::string& zone, bool spot, TimePoint now);
    void describe(Machine& m, const std::string& type, const std::string& zone, bool spot);
    // The cloud's word that the machine is gone. It is not taken up again from late reports or lists.
    void remove(const std::string& name);
    bool gone(const std::string& name) const { return gone_.contains(name); }

    std::map<std::string, std::unique_ptr<Machine>>& all() { return machines_; }
    const std::map<std::string, std::unique_ptr<Machine>>& all() const { return machines_; }

    void assign(Machine& m, const TaskKey& task, const wire::JobSpec& spec);
    void unassign(Machine& m, const TaskKey& task, const wire::JobSpec& spec, TimePoint now);

    // Pools that refused lately are left alone for a while, longer each time.
    void refused(const Pool& pool, TimePoint now);
    void granted(const Pool& pool) { back_off_.erase(pool); }
    bool open(const Pool& pool, TimePoint now) const;

  private:
    struct BackOff {
        TimePoint until{};
        int times = 0;
    };
    std::vector<wire::MachineType> types_;
    std::map<std::string, std::unique_ptr<Machine>> machines_;
    std::set<std::string> gone_;
    std::map<Pool, BackOff> back_off_;
};

}  // namespace flintdale::fleet
