// Chooses machines for tasks: section 4.2 and Algorithm 1 of the users' paper with the changes of docs/design.md. Owns
// a copy of the load table for one pass. Deterministic: no clock, no I/O, no randomness.
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
// How many such tasks a machine of that capacity holds.
unsigned task_slots(const Resources& need, const Resources& capacity);
void subtract_resources(Resources& free, const Resources& need);
void add_resources(Resources& free, const Resources& need);

// A machine as placement knows it: one row of the load table.
struct Host {
    struct Fetch {
        Id image = 0;
        double gb = 0;
    };

    Id slot = 0;  // which machine it is to the caller
    Id pool = no_pool, zone = unknown_zone;
    bool spot = false;
    unsigned load = 0;  // tasks assigned
    Resources capacity, free;
    Resources held_by_services;                            // what services hold, which do not end by themselves
    double fetch_gb_per_s = 0;                             // shared by all that it fetches
    model::Priority fetching_for = model::Priority::idle;  // the highest priority that waits for an image
    std::optional<model::Priority> reserved_for;           // its room is reserved for a gang of this priority
    boost::container::small_vector<Id, 8> images;          // that it holds
    boost::container::small_vector<Fetch, 2> fetching;     // images that tasks there still wait for

    bool has(Id image) const;
    bool fetches(Id image) const;
    // How long a task with that image would wait for it here.
    Seconds image_wait(Id image, double gb) const;
};

// Where a job's tasks may be at present; all of them count, whatever their attempt.
struct JobHosts {
    std::vector<unsigned> per_zone;  // by the zone's number
    std::vector<Id> own;             // slots of machines with tasks of this job
    std::vector<Id> excluded;        // slots of machines that must not take another one

    unsigned in_zone(Id zone) const { return zone < per_zone.size() ? per_zone[zone] : 0; }
    void add_to_zone(Id zone) {
        if (zone >= per_zone.size()) per_zone.resize(zone + 1);
        ++per_zone[zone];
    }
    bool anywhere() const;
    bool excludes(Id slot) const;
};

struct Rules {
    double memory_margin = 0.1;
    std::map<std::string, std::vector<std::string>> groups;  // job class -> types
};

// Whether a task of the job may ever be on such a machine, room aside.
bool allowed(const JobSpec& spec, const Rules& rules, const std::string& type, const std::string& zone, bool spot);

// A job's requirements in numbers. Refers to the job's specification, which must outlive it.
struct Requirements {
    const JobSpec* spec = nullptr;
    Id image = 0;
    model::Priority priority = model::Priority::normal;  // inherited from jobs that need it, or its own
    std::vector<char> pools;                             // by the pool's number: whether its machines are allowed

    bool allows(Id pool) const { return pool < pools.size() && pools[pool]; }
};

Requirements make_requirements(const JobSpec& spec, const Rules& rules, Directory& directory);

class Planner {
  public:
    static constexpr std::size_t none = static_cast<std::size_t>(-1);
    static constexpr Id no_slot = static_cast<Id>(-1);  // of a machine that is not launched yet

    Planner(std::vector<Host> hosts, double memory_margin);

    // Where one task would be placed, or none.
    std::size_t best_host(const Requirements& requirements, const JobHosts& job) const;

    // Whether a machine in that condition would be a candidate.
    bool would_take(const Host& host, const Requirements& requirements, const JobHosts& job) const {
        return !job.excludes(host.slot) && candidate(requirements, job, host);
    }

    // Places one task and takes its room, or returns none.
    std::size_t place(const Requirements& requirements, JobHosts& job);

    // Places up to so many tasks, each where `place` would put it after the one before.
    std::vector<std::size_t> place_many(const Requirements& requirements, JobHosts& job, std::size_t count,
                                        std::optional<Id> only_zone = {});

    // Places up to so many tasks on that host, as long as it is a candidate. Returns how many.
    std::size_t place_at(std::size_t i, const Requirements& requirements, JobHosts& job, std::size_t count);

    // Takes room there for a task that will be placed later.
    void reserve(std::size_t i, const Requirements& requirements);

    // Places so many tasks together, or none of them.
    std::vector<std::size_t> place_together(const Requirements& requirements, JobHosts& job, std::size_t count,
                                            std::optional<Id> only_zone = {});

    // How many of so many tasks would find room in that zone now.
    std::size_t room_in(const Requirements& requirements, const JobHosts& job, std::size_t count,
                        std::optional<Id> zone) const;

    // Reserves the room that will be free on the likeliest machines for a gang that does not fit now: jobs of no higher
    // priority do not take it in this pass.
    void reserve_for_gang(const Requirements& requirements, std::size_t count);

    std::size_t add(Host host);
    // The row of that machine, or none.
    std::size_t find(Id slot) const { return slot < by_slot_.size() ? by_slot_[slot] : none; }
    void remove(Id slot);
    const Host& host(std::size_t i) const { return hosts_[i]; }
    const std::vector<Host>& hosts() const { return hosts_; }

    // Takes back, when it is destroyed, what was placed or reserved during its life. One at a time.
    class Trial {
      public:
        explicit Trial(Planner& plan) : plan_(plan) { plan_.trial_ = this; }
        ~Trial();
        Trial(const Trial&) = delete;
        Trial& operator=(const Trial&) = delete;

      private:
        friend class Planner;
        Planner& plan_;
        std::vector<std::pair<std::size_t, Host>> before_;
    };

  private:
    // Lowest wins.
    struct Score {
        bool risky = false;    // may be taken away, and the task is urgent
        bool foreign = false;  // not one of the job's own machines
        int idles = 0;         // accelerators that would lie idle there while the task holds what goes with them
        int wait = 0;
        bool ordinary = false;
        int size = 0;
        bool shared = false;  // holds a replica of the same service already
        unsigned load = 0;
        std::size_t at = 0;
        auto operator<=>(const Score&) const = default;
    };

    // A way to place all tasks of a gang.
    struct Together {
        std::vector<std::size_t> places;
        Seconds wait{0};  // until the last of its machines has the image
    };

    bool candidate(const Requirements& requirements, const JobHosts& job, const Host& host) const;
    Score score(const Requirements& requirements, std::size_t i) const;
    // Marks which rows are the job's own and which are excluded, for the scans that follow.
    void mark(const JobHosts& job) const;
    void put(std::size_t i, const Requirements& requirements, JobHosts& job);
    template <class F>
    void each_roomy(const Resources& need, F visit) const;

    std::vector<Host> hosts_;
    double margin_;
    std::vector<std::size_t> by_slot_;
    mutable std::vector<std::size_t> with_gpus_, with_cpus_;  // rows that had such room when last looked at
    mutable std::vector<std::uint32_t> own_, excluded_;
    mutable std::uint32_t epoch_ = 0;
    Trial* trial_ = nullptr;
};

// What the order of the queue goes by: the guaranteed share first, then priority, then batching window, then length
// less the discount for the wait.
struct QueueEntry {
    model::Priority priority = model::Priority::normal;
    std::int64_t window = 0;
    Seconds length{0}, waited{0};
    std::string_view uid;
    bool guaranteed = false;
};

// Whether a is planned before b. `ageing`: seconds of length that a second of waiting outweighs.
bool precedes(const QueueEntry& a, const QueueEntry& b, double ageing);

}  // namespace flintdale::placement
