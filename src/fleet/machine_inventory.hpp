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
#include "model/clock.hpp"
#include "model/job.hpp"
#include "model/machine.hpp"
#include "placement/planner.hpp"
#include "wire/machine_hints.hpp"

namespace flintdale::fleet {

using model::Clock;
using model::Seconds;
using model::TimePoint;

using TaskKey = std::pair<std::string, std::uint32_t>;  // job, task

struct Machine {
    std::string name, addr, type, zone;
    bool spot = false;

    // What its reports said last. A report counts as newer by (tenure, tick).
    std::uint64_t incarnation = 0, sequence = 0;
    bool reported = false;  // under this leader
    bool current = false;   // it has seen this leader's term: nothing of older terms can still reach it
    TimePoint known_since{}, last_report{};
    std::optional<TimePoint> terminates_at;  // from a spot notice

    bool listed_failed = false;
    TimePoint starting_at{};  // when a list last came that showed it still starting
    bool unlisted = false;    // old enough to be listed, and missing from the newest list: likely gone, but no evidence
    bool releasing = false;   // a release was sent, which may be carried out at any time: never used again
    bool retiring = false;    // its tasks are moved away, and then it is returned
    bool cordoned = false;    // spare: gets no new work while there is room elsewhere, and goes when it is empty
    bool quarantined = false;  // several jobs failed on it

    placement::Host row;             // of the load table, kept up to date with what follows
    std::set<TaskKey> tasks;         // all that may be on it
    std::size_t reported_tasks = 0;  // what it held by its last report, exited ones included
    TimePoint idle_since{};
    std::set<std::string> failed_jobs;
    struct Image {
        placement::Id id = 0;
        double gb = 0;
    };
    std::vector<Image> images;  // oldest use first
    struct Fetch {
        Image image;
        model::Priority priority = model::Priority::normal;
    };
    std::map<TaskKey, Fetch> fetching;  // tasks that wait for their image here

    void used_image(const Image& image, double cache_gb);
    // What it would take to have its like again: a boot, or to fetch what it holds where that takes longer.
    model::Seconds again(model::Seconds boot) const;
    // The share of it that is in use, by the resource that is used most.
    double in_use() const;
    // After a change of its images or of what it fetches.
    void update_row();
};

// One kind of machine that can be rented: its type, where, and how.
struct Pool {
    std::string type, zone;
    bool spot = false;
    auto operator<=>(const Pool&) const = default;
};

struct InstanceRequest {
    Pool pool;
    int count = 0;
};

class MachineInventory {
  public:
    void set_types(std::vector<model::MachineType> types);
    const std::vector<model::MachineType>& types() const { return types_; }
    const model::MachineType* type(const std::string& name) const;

    Machine* find(const std::string& name) const;
    // The machine that a row of the load table stands for, if it is still there.
    Machine* at(placement::Id slot) const { return slot < by_slot_.size() ? by_slot_[slot] : nullptr; }
    placement::Directory& directory() const { return directory_; }
    // The machine of that name, new if it was not known.
    Machine& add(const std::string& name, const std::string& type, const std::string& zone, bool spot, TimePoint now);
    void describe(Machine& m, const std::string& type, const std::string& zone, bool spot);
    // The cloud's word that the machine is gone. It is not taken up again from late reports or lists.
    void remove(const std::string& name);
    bool gone(const std::string& name) const { return gone_.contains(name); }

    std::map<std::string, std::unique_ptr<Machine>>& all() { return machines_; }
    const std::map<std::string, std::unique_ptr<Machine>>& all() const { return machines_; }

    void assign(Machine& m, const TaskKey& task, const model::JobSpec& spec, model::Priority priority);
    // The task has its image now, which it fetched or shares with others.
    void has_image(Machine& m, const TaskKey& task, const model::JobSpec& spec);
    void unassign(Machine& m, const TaskKey& task, const model::JobSpec& spec, TimePoint now);

    // What should be known of the machines under a later leader: those that hold images or are at fault, by name.
    std::vector<wire::MachineHint> notes() const;
    // What a former leader noted, of machines that are known and of those that will be.
    void recall(std::vector<wire::MachineHint> notes);

    // Pools that refused lately are left alone for a while, longer each time.
    void refused(const Pool& pool, TimePoint now);
    void granted(const Pool& pool) { back_off_.erase(pool); }
    bool open(const Pool& pool, TimePoint now) const;

  private:
    void used_image(Machine& m, const model::JobSpec& spec);
    void apply(const wire::MachineHint& note, Machine& m);
    double cache_gb(const Machine& m) const;
    struct BackOff {
        TimePoint until{};
        int times = 0;
    };
    std::vector<model::MachineType> types_;
    std::map<std::string, std::unique_ptr<Machine>> machines_;
    mutable placement::Directory directory_;  // numbers names where they are first asked for
    std::vector<Machine*> by_slot_;           // never used again, so that a slot names one machine for good
    std::set<std::string> gone_;
    std::map<std::string, wire::MachineHint> recalled_;  // of machines that are not known yet
    std::map<Pool, BackOff> back_off_;
};

}  // namespace flintdale::fleet
