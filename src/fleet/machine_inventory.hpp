// The launched machines, as known from their heartbeats, the cloud's answers and its lagging list. Owns the machines
// and their rows of the load table; decides nothing.
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

// A machine as the leader knows it.
struct Machine {
    std::string name, addr, type, zone;
    bool spot = false;

    // What its last heartbeat said. A heartbeat is newer than another by (incarnation, sequence).
    std::uint64_t incarnation = 0, sequence = 0;
    bool reported = false;          // under this leader
    bool has_current_term = false;  // it has seen this leader's term: no command of an older term can still reach it
    TimePoint known_since{}, last_report{};
    std::optional<TimePoint> terminates_at;  // from a spot notice

    bool listed_failed = false;
    TimePoint listed_booting_at{};  // when a list that showed it booting last came
    bool unlisted = false;     // old enough to be listed, but missing from the newest list: no evidence that it is gone
    bool releasing = false;    // a release was sent, which may be carried out at any time: never used again
    bool draining = false;     // its tasks are moved away, and then it is returned
    bool cordoned = false;     // spare: gets no new work while there is room elsewhere, and goes when it is empty
    bool quarantined = false;  // several jobs failed on it

    placement::Host row;             // of the load table, kept up to date with what follows
    std::set<TaskKey> tasks;         // all that may be on it
    std::size_t reported_tasks = 0;  // by its last heartbeat, exited ones included
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

    void record_image_use(const Image& image, double cache_gb);
    // How long it takes to replace it: a boot, or fetching its images where that takes longer.
    model::Seconds replacement_time(model::Seconds boot) const;
    // The share of it that is in use, by the resource that is used most.
    double utilization() const;
    // Must be called after a change of its images or fetches.
    void update_row();
};

// Machines that can be requested together: of one type, in one zone, spot or on demand.
struct Pool {
    std::string type, zone;
    bool spot = false;
    auto operator<=>(const Pool&) const = default;
};

// So many machines to be launched.
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
    void set_pool(Machine& m, const std::string& type, const std::string& zone, bool spot);
    // The cloud has confirmed that the machine is gone. Late heartbeats and lists do not add it again.
    void remove(const std::string& name);
    bool confirmed_gone(const std::string& name) const { return gone_.contains(name); }

    std::map<std::string, std::unique_ptr<Machine>>& all() { return machines_; }
    const std::map<std::string, std::unique_ptr<Machine>>& all() const { return machines_; }

    void assign(Machine& m, const TaskKey& task, const model::JobSpec& spec, model::Priority priority);
    // The task has its image now, which it fetched or shares with others.
    void image_ready(Machine& m, const TaskKey& task, const model::JobSpec& spec);
    void unassign(Machine& m, const TaskKey& task, const model::JobSpec& spec, TimePoint now);

    // Hints for a later leader: the machines that hold images or are quarantined, by name.
    std::vector<wire::MachineHint> hints() const;
    // Applies the hints of a former leader to machines that are known, now or later.
    void apply_hints(std::vector<wire::MachineHint> notes);

    // The cloud refused a request: the pool is closed for a while, longer each time.
    void launch_refused(const Pool& pool, TimePoint now);
    void launch_granted(const Pool& pool) { back_off_.erase(pool); }
    bool may_launch(const Pool& pool, TimePoint now) const;

  private:
    void record_image_use(Machine& m, const model::JobSpec& spec);
    void apply_hint(const wire::MachineHint& note, Machine& m);
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
    std::map<std::string, wire::MachineHint> pending_hints_;  // of machines that are not known yet
    std::map<Pool, BackOff> back_off_;
};

}  // namespace flintdale::fleet
