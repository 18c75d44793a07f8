// Selects the machines to request for waiting tasks: plans the queue onto machines that are on their way, and requests
// the cheapest type for the rest.
#pragma once
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "scheduler/fleet_view.hpp"
#include "scheduler/placement_queue.hpp"

namespace flintdale::scheduler {

class ScaleOut {
  public:
    ScaleOut(SchedulerState& state, JobDemand& demand, FleetView& fleet, PlacementQueue& queue)
        : state_(state), demand_(demand), fleet_(fleet), queue_(queue) {}

    // Requests for machines, each of at most as many as one call to the cloud takes.
    std::vector<fleet::InstanceRequest> run(TimePoint now);

  private:
    // The working state of one call to run().
    struct Round {
        TimePoint now;
        placement::Planner plan;
        std::map<fleet::Pool, int> requested;
        std::set<fleet::Pool> overdue;   // pools in which most booting machines are overdue
        std::vector<unsigned> per_zone;  // machines by zone number, requested ones included
        std::vector<bool> quiet_zones;   // by zone number: cut off, so that a new machine could not report
        std::map<std::string, std::uint32_t> waiting_services;  // tasks by job class
    };
    // The price of a slot after discounts and surcharges; on a tie, the number of machines in the zone decides.
    using Cost = std::pair<double, unsigned>;
    // The tasks of a job to be placed, and a machine type that holds `slots` of them.
    struct PlacementNeed {
        const Job& job;
        const placement::JobHosts& hosts;
        std::uint32_t count;
        const model::MachineType& type;
        unsigned slots;
    };
    struct Offer {
        std::optional<fleet::Pool> pool;
        Cost cost{};
        double cheapest_slot = 0;  // over all pools that suit the job, including those without capacity
    };

    void add_expected_machines(Round& round) const;
    void request_for(const Job& job, Round& round) const;
    void request_for_gang(const Job& job, Round& round) const;
    void request_for_tasks(const Job& job, Round& round) const;
    // The cheapest pool for `count` tasks of the job; nothing if none is open, or if the job can wait for a cheaper
    // one.
    std::optional<fleet::Pool> cheapest(const Job& job, const placement::JobHosts& hosts, std::uint32_t count,
                                        const Round& round) const;
    void compare(const PlacementNeed& need, const fleet::Pool& pool, const Round& round, Offer& best) const;
    bool suits_zone(const Job& job, const placement::JobHosts& hosts, placement::Id zone) const;
    // Adds one machine to the requests and to the plan. Returns its index in the plan.
    std::size_t add_machine(Round& round, const fleet::Pool& pool) const;

    SchedulerState& state_;
    JobDemand& demand_;
    FleetView& fleet_;
    PlacementQueue& queue_;
};

}  // namespace flintdale::scheduler
