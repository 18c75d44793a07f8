// Which task goes where: the paper's section 4.2 and Algorithm 1 with the changes of docs/design.md. Pure and
// deterministic: no clock, no I/O, no randomness.
#pragma once
#include <map>
#include <set>
#include <string>
#include <vector>

#include "wire/types.hpp"

namespace flintdale::placement {

using wire::JobSpec;
using wire::Resources;
using wire::Seconds;

bool fits(const Resources& need, const Resources& free);
// How many such tasks a machine of that capacity holds.
unsigned slots(const Resources& need, const Resources& capacity);
void take(Resources& free, const Resources& need);
void give(Resources& free, const Resources& need);

// A machine as placement sees it: one row of the load table.
struct Host {
    std::string name, type, zone;
    bool spot = false;
    Resources capacity, free;
    unsigned load = 0;                           // tasks assigned
    std::set<std::string> images;                // that it holds
    std::map<std::string, double> fetching;      // GB of each image that tasks there still wait for
    double fetch_gb_per_s = 0;                   // shared by all that it fetches
    wire::Rank fetching_for = wire::Rank::idle;  // the highest rank that waits for an image
    Resources standing;                          // what services hold, which do not end by themselves
    std::optional<wire::Rank> held_for;          // its room is kept for a gang of this rank

    // How long a task with that image would wait for it here.
    Seconds image_wait(const std::string& image, double gb) const;
};

// Where a job's tasks may be at present; all of them count, whatever their attempt.
struct JobHosts {
    std::map<std::string, unsigned> per_zone;
    std::set<std::string> own;       // machines with tasks of this job
    std::set<std::string> excluded;  // machines that must not take another one
};

struct Rules {
    double memory_margin = 0.1;
    std::map<std::string, std::vector<std::string>> groups;  // job class -> types
};

// Whether a task of the job may ever be on such a machine, room aside.
bool allowed(const JobSpec& spec, const Rules& rules, const std::string& type, const std::string& zone, bool spot);

class Planner {
  public:
    static constexpr std::size_t none = static_cast<std::size_t>(-1);

    Planner(std::vector<Host> hosts, Rules rules) : hosts_(std::move(hosts)), rules_(std::move(rules)) {}

    // Where one task would be placed, or none.
    std::size_t peek(const JobSpec& spec, const JobHosts& job) const;

    // Whether a machine in that condition would be a candidate.
    bool would_take(const Host& host, const JobSpec& spec, const JobHosts& job) const {
        return candidate(spec, job, host);
    }

    // Places one task and takes its room, or returns none.
    std::size_t place(const JobSpec& spec, JobHosts& job);

    // Places one task on that machine if it is a candidate.
    bool place_on(const std::string& name, const JobSpec& spec, JobHosts& job);
    // Keeps room there for a task that is on its way.
    void reserve(const std::string& name, const JobSpec& spec);

    // Places so many tasks together, or none of them.
    std::vector<std::size_t> place_together(const JobSpec& spec, JobHosts& job, std::size_t count);

    // Keeps the room that frees on the likeliest machines for a gang that does not fit now, from jobs after it.
    void hold_for(const JobSpec& spec, std::size_t count);

    std::size_t add(Host host) {
        hosts_.push_back(std::move(host));
        return hosts_.size() - 1;
    }
    void remove(const std::string& name);
    const Host& host(std::size_t i) const { return hosts_[i]; }
    const std::vector<Host>& hosts() const { return hosts_; }

  private:
    bool candidate(const JobSpec& spec, const JobHosts& job, const Host& host) const;
    void put(std::size_t i, const JobSpec& spec, JobHosts& job);

    std::vector<Host> hosts_;
    Rules rules_;
};

// The order of the queue: rank, then window, then length less what the wait has worn off it.
struct Waiting {
    wire::Rank rank = wire::Rank::normal;
    std::int64_t window = 0;
    Seconds length{0}, waited{0};
    std::string uid;
};

bool before(const Waiting& a, const Waiting& b, double ageing);

}  // namespace flintdale::placement
