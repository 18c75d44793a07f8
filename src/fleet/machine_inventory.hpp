// The inventory of launched machines, from their heartbeats, the cloud's responses and its lagging list. Owns the
// machines and their rows of the load table. Makes no scheduling decisions.
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

using TaskKey = std::pair<std::string, std::uint32_t>;  // job uid, task index

// The leader's view of a machine.
struct Machine {
    std::string name, addr, type, zone;
    bool spot = false;

    // From its last heartbeat. The newer of two heartbeats has the higher (incarnation, sequence).
    std::uint64_t incarnation = 0, sequence = 0;
    bool reported = false;          // has sent a heartbeat under this leader
    bool has_current_term = false;  // the worker has seen this leader's term, so no command of an older term reaches it
    TimePoint known_since{}, last_report{};
    std::optional<TimePoint> terminates_at;  // from a spot termination notice

    bool listed_failed = false;     // the last list that names it shows it as failed
    TimePoint listed_booting_at{};  // time of the last list that showed it as booting
    bool unlisted = false;     // missing from the newest list though old enough to be listed; no proof that it is gone
    bool releasing = false;    // a release was requested and may be carried out at any time; never used again
    bool draining = false;     // its tasks are being moved to other machines; released once it is empty
    bool cordoned = false;     // spare: gets no new tasks while other machines have room; released once it is empty
    bool quarantined = false;  // several jobs failed on it

    placement::Host row;             // of the load table, kept up to date with the fields below
    std::set<TaskKey> tasks;         // every task that may be on it
    std::size_t reported_tasks = 0;  // in its last heartbeat, including exited ones
    TimePoint idle_since{};
    std::set<std::string> failed_jobs;  // uids of jobs that failed on it
    struct Image {
        placement::Id id = 0;
        double gb = 0;
    };
    std::vector<Image> images;  // in its cache, least recently used first
    struct Fetch {
        Image image;
        model::Priority priority = model::Priority::normal;
    };
    std::map<TaskKey, Fetch> fetching;  // tasks on it that wait for their image

    // Marks the image as the most recently used one and evicts the least recently used ones beyond the cache size.
    void record_image_use(const Image& image, double cache_gb);
    // The time to replace it by a new machine: a boot, or fetching all its images if that takes longer.
    model::Seconds replacement_time(model::Seconds boot) const;
    // The used share of its most used resource; 1: fully used.
    double utilization() const;
    // Must be called after each change of `images` or `fetching`.
    void update_row();
};

// Machines that one launch request can cover: of one type, in one zone, spot or on demand.
struct Pool {
    std::string type, zone;
    bool spot = false;
    auto operator<=>(const Pool&) const = default;
};

// A request to launch `count` machines of a pool.
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
    // The machine with this slot of the load table; null if it has been removed.
    Machine* at(placement::Id slot) const { return slot < by_slot_.size() ? by_slot_[slot] : nullptr; }
    placement::Directory& directory() const { return directory_; }
    // Returns the machine with this name; creates it if it is unknown. `type` may be empty while it is not known.
    Machine& add(const std::string& name, const std::string& type, const std::string& zone, bool spot, TimePoint now);
    // Sets the machine's type, zone and kind, and its capacity if the type is in the catalog.
    void set_pool(Machine& m, const std::string& type, const std::string& zone, bool spot);
    // Removes a machine after the cloud has confirmed that it is gone. Callers check confirmed_gone() so that late
    // heartbeats and lists do not add it again.
    void remove(const std::string& name);
    bool confirmed_gone(const std::string& name) const { return gone_.contains(name); }

    std::map<std::string, std::unique_ptr<Machine>>& all() { return machines_; }
    const std::map<std::string, std::unique_ptr<Machine>>& all() const { return machines_; }

    void assign(Machine& m, const TaskKey& task, const model::JobSpec& spec, model::Priority priority);
    // Records that the task's image is on the machine, fetched for this task or for another one.
    void image_ready(Machine& m, const TaskKey& task, const model::JobSpec& spec);
    void unassign(Machine& m, const TaskKey& task, const model::JobSpec& spec, TimePoint now);

    // Hints for the next leader about machines that hold images or are quarantined, in the order of their names.
    std::vector<wire::MachineHint> hints() const;
    // Applies the hints of a former leader: at once to machines of a known type, to others once their type is known.
    void apply_hints(std::vector<wire::MachineHint> hints);

    // The cloud refused a launch request. may_launch() is false for the pool during the back-off, which doubles with
    // each refusal in a row. launch_granted() resets it.
    void launch_refused(const Pool& pool, TimePoint now);
    void launch_granted(const Pool& pool) { back_off_.erase(pool); }
    bool may_launch(const Pool& pool, TimePoint now) const;

  private:
    void record_image_use(Machine& m, const model::JobSpec& spec);
    void apply_hint(const wire::MachineHint& hint, Machine& m);
    double cache_gb(const Machine& m) const;
    struct BackOff {
        TimePoint until{};
        int refusals = 0;  // in a row, at most max_doublings
    };
    std::vector<model::MachineType> types_;
    std::map<std::string, std::unique_ptr<Machine>> machines_;
    mutable placement::Directory directory_;  // assigns ids on first use, also in const functions
    std::vector<Machine*> by_slot_;           // null if removed; slots are never reused
    std::set<std::string> gone_;
    std::map<std::string, wire::MachineHint> pending_hints_;  // of machines whose type is not known yet
    std::map<Pool, BackOff> back_off_;
};

}  // namespace flintdale::fleet
