// Chooses machines for tasks. Implements section 4.2 and Algorithm 1 of the users' paper with the changes listed in
// docs/design.md. A planner owns a copy of the load table for one placement pass.
// Deterministic: no clock, no I/O, no randomness.
#pragma once
#include <boost/container/small_vector.hpp>
#include <compare>
#include <map>
#include <string>
#include <vector>

#include "model/clock.hpp"
#include "model/job.hpp"
#include "model/resources.hpp"
#include "placement/directory.hpp"

namespace flintdale::placement {

using model::JobSpec;
using model::Resources;
using model::Seconds;

bool fits(const Resources& need, const Resources& free);
// The number of tasks with this need that fit into the capacity together; 1e6 for a task that needs no resource.
unsigned task_slots(const Resources& need, const Resources& capacity);
void subtract_resources(Resources& free, const Resources& need);
void add_resources(Resources& free, const Resources& need);

// The placement data of one machine: one row of the load table.
struct Host {
    struct Fetch {
        Id image = 0;
        double gb = 0;
    };

    Id slot = 0;  // identifies the machine to the caller
    Id pool = no_pool, zone = unknown_zone;
    bool spot = false;
    unsigned load = 0;  // tasks assigned
    Resources capacity, free;
    Resources held_by_services;  // by tasks of services, which run until their job is cancelled
    double fetch_gb_per_s = 0;   // shared by all of its fetches
    model::Priority fetching_for = model::Priority::idle;  // highest priority of a task that waits for an image
    std::optional<model::Priority> reserved_for;           // set: free room is reserved for a gang of this priority
    boost::container::small_vector<Id, 8> images;          // images in its cache
    boost::container::small_vector<Fetch, 2> fetching;     // images that assigned tasks still wait for

    bool has(Id image) const;
    bool fetches(Id image) const;
    // The time until this host has the image. `gb`: the size of the image.
    Seconds image_wait(Id image, double gb) const;
};

// The hosts on which tasks of one job may be at present. Tasks of every attempt count.
struct JobHosts {
    std::vector<unsigned> per_zone;  // number of tasks, by zone id
    std::vector<Id> own;             // slots of machines with tasks of this job
    std::vector<Id> excluded;        // slots of machines that must not get another task of this job

    unsigned in_zone(Id zone) const { return zone < per_zone.size() ? per_zone[zone] : 0; }
    void add_to_zone(Id zone) {
        if (zone >= per_zone.size()) per_zone.resize(zone + 1);
        ++per_zone[zone];
    }
    // Whether any task of the job is on a host.
    bool anywhere() const;
    bool excludes(Id slot) const;
};

struct Rules {
    double memory_margin = 0.1;  // share of a task's memory that must stay free beside it on a machine in use
    std::map<std::string, std::vector<std::string>> groups;  // job class -> machine types that it may use
};

// Whether the job may use machines of this type, zone and kind. Does not consider free room. A job class without a
// group may use every type.
bool allowed(const JobSpec& spec, const Rules& rules, const std::string& type, const std::string& zone, bool spot);

// A job's requirements in numeric form. Refers to the job's specification, which must outlive it.
struct Requirements {
    const JobSpec* spec = nullptr;
    Id image = 0;
    model::Priority priority =
        model::Priority::normal;  // the job's own, or a higher one inherited from a dependent job
    std::vector<char> pools;      // by pool id: whether the job may use the pool

    bool allows(Id pool) const { return pool < pools.size() && pools[pool]; }
};

Requirements make_requirements(const JobSpec& spec, const Rules& rules, Directory& directory);

// Hosts are addressed by row: their index in hosts(), which never changes.
class Planner {
  public:
    static constexpr std::size_t none = static_cast<std::size_t>(-1);
    static constexpr Id no_slot = static_cast<Id>(-1);  // slot of a machine that is not launched yet

    Planner(std::vector<Host> hosts, double memory_margin);

    // The row on which `place` would place a task, or none. Changes no row.
    std::size_t best_host(const Requirements& requirements, const JobHosts& job) const;

    // Whether the host, which need not be a row of this planner, is a candidate for a task of the job.
    bool would_take(const Host& host, const Requirements& requirements, const JobHosts& job) const {
        return !job.excludes(host.slot) && candidate(requirements, job, host);
    }

    // Places one task on the best host and takes the task's resources there. Returns the row, or none.
    std::size_t place(const Requirements& requirements, JobHosts& job);

    // Places up to `count` tasks with the same result as `count` calls of `place`. Returns the row of each placed task.
    // `only_zone`: restricts the placement to this zone.
    std::vector<std::size_t> place_many(const Requirements& requirements, JobHosts& job, std::size_t count,
                                        std::optional<Id> only_zone = {});

    // Places up to `count` tasks on this host, as long as it is a candidate. Returns the number of placed tasks.
    std::size_t place_at(std::size_t row, const Requirements& requirements, JobHosts& job, std::size_t count);

    // Takes the resources of one task on this host, for a task that is placed later.
    void reserve(std::size_t row, const Requirements& requirements);

    // Places all `count` tasks, or none: then the result is empty.
    std::vector<std::size_t> place_together(const Requirements& requirements, JobHosts& job, std::size_t count,
                                            std::optional<Id> only_zone = {});

    // The number of tasks, at most `count`, that have room now in this zone, or in all zones. An upper bound: it does
    // not consider how these tasks limit each other, for example by their zones.
    std::size_t room_in(const Requirements& requirements, const JobHosts& job, std::size_t count,
                        std::optional<Id> zone) const;

    // Reserves `count` hosts for a gang that does not fit now: those that lack the least room. For the rest of this
    // pass only jobs of a higher priority than the gang's are placed on them.
    void reserve_for_gang(const Requirements& requirements, std::size_t count);

    // Adds a host and returns its row.
    std::size_t add(Host host);
    // The row of the machine with this slot, or none.
    std::size_t find(Id slot) const { return slot < by_slot_.size() ? by_slot_[slot] : none; }
    // Keeps the row, so that other rows keep their index, but no task fits it any more.
    void remove(Id slot);
    const Host& host(std::size_t row) const { return hosts_[row]; }
    const std::vector<Host>& hosts() const { return hosts_; }

    // While a trial exists, placements and reservations are provisional: its destructor undoes them. A planner can have
    // one trial at a time.
    class Trial {
      public:
        explicit Trial(Planner& plan) : plan_(plan) { plan_.trial_ = this; }
        ~Trial();
        Trial(const Trial&) = delete;
        Trial& operator=(const Trial&) = delete;

      private:
        friend class Planner;
        Planner& plan_;
        std::vector<std::pair<std::size_t, Host>> saved_rows_;  // copies made before each change
    };

  private:
    // The order of candidates: the lowest score is the best. Fields are compared in the order of their declaration.
    struct Score {
        bool risky = false;        // a spot machine, and the task is urgent
        bool not_own = false;      // no task of the job is there; not used for services
        int idle_gpus = 0;         // free accelerators that a task without accelerators would leave without CPUs
        int image_wait = 0;        // time until the image is there, in steps
        bool on_demand = false;    // not a spot machine
        int size = 0;              // for services: the negative number of such tasks that an empty machine holds
        bool has_replica = false;  // another replica of the same service is there
        unsigned load = 0;         // tasks assigned
        std::size_t row = 0;
        auto operator<=>(const Score&) const = default;
    };

    // A placement of all tasks of a gang.
    struct GangPlacement {
        std::vector<std::size_t> rows;
        Seconds image_wait{0};  // until the last of its hosts has the image
    };

    // Whether a task of the job may be placed on the host now. Does not consider excluded hosts.
    bool candidate(const Requirements& requirements, const JobHosts& job, const Host& host) const;
    // The score of the row for the job that was marked last.
    Score score(const Requirements& requirements, std::size_t row) const;
    // Marks the rows that are the job's own and those that are excluded, for the scans that follow.
    void mark(const JobHosts& job) const;
    void put(std::size_t row, const Requirements& requirements, JobHosts& job);
    template <class F>
    void for_each_with_room(const Resources& need, F visit) const;

    std::vector<Host> hosts_;
    double memory_margin_;
    std::vector<std::size_t> by_slot_;                        // row of each slot, or none
    mutable std::vector<std::size_t> with_gpus_, with_cpus_;  // rows that had such room free at the last scan
    mutable std::vector<std::uint32_t> own_, excluded_;       // by row: marked if equal to mark_epoch_
    mutable std::uint32_t mark_epoch_ = 0;
    Trial* trial_ = nullptr;  // the present one, if any
};

// The sort key of a job in the queue. Jobs are ordered by guaranteed share, priority, batching window, and length less
// a discount for the time that they have waited.
struct QueueEntry {
    model::Priority priority = model::Priority::normal;
    std::int64_t window = 0;  // number of the batching window; lower ones come first
    Seconds length{0};        // estimated runtime of all waiting tasks together
    Seconds waited{0};        // since the job arrived
    std::string_view uid;     // of the job; breaks ties
    bool guaranteed = false;  // within its team's guaranteed share
};

// Whether a is planned before b. `aging_rate`: seconds of length that one second of waiting offsets.
bool precedes(const QueueEntry& a, const QueueEntry& b, double aging_rate);

}  // namespace flintdale::placement
