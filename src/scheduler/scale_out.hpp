// Which machines to request for the tasks that wait: plans the queue onto the machines on their way, and requests the
// cheapest type for what is left.
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

    // Requests of at most as many machines as one call to the cloud takes.
    std::vector<fleet::InstanceRequest> run(TimePoint now);

  private:
    // What one round has put together.
    struct Round {
        TimePoint now;
        placement::Planner plan;
        std::map<fleet::Pool, int> requested;
        std::set<fleet::Pool> late;      // pools of which most machines on their way should be up by now
        std::vector<unsigned> per_zone;  // machines there, requested ones included
        std::vector<bool> quiet_zones;   // that are cut off: a new machine there could not report
        std::map<std::string, std::uint32_t> waiting_services;  // tasks, by job class
    };
    // The price of a slot, discounted and raised; between equals, the machines in the zone.
    using Cost = std::pair<double, unsigned>;
    // Tasks of a job on a type of machine, which holds so many of them.
    struct Wish {
        const Job& job;
        const placement::JobHosts& hosts;
        std::uint32_t count;
        const model::MachineType& type;
        unsigned slots;
    };
    struct Offer {
        std::optional<fleet::Pool> pool;
        Cost cost{};
        double cheapest_slot = 0;  // of all pools that suit the job, those without capacity included
    };

    void add_coming_machines(Round& round) const;
    void request_for(const Job& job, Round& round) const;
    void request_for_gang(const Job& job, Round& round) const;
    void request_for_tasks(const Job& job, Round& round) const;
    // The cheapest pool for so many tasks of the job; nothing if none is open, or if the job can wait for a cheaper
    // one.
    std::optional<fleet::Pool> cheapest(const Job& job, const placement::JobHosts& hosts, std::uint32_t count,
                                        const Round& round) const;
    void compare(const Wish& wish, const fleet::Pool& pool, const Round& round, Offer& best) const;
    bool suits_zone(const Job& job, const placement::JobHosts& hosts, placement::Id zone) const;
    // Puts one machine more into the requests and into the plan. Returns its row in the plan.
    std::size_t add_machine(Round& round, const fleet::Pool& pool) const;

    SchedulerState& state_;
    JobDemand& demand_;
    FleetView& fleet_;
    PlacementQueue& queue_;
};

}  // namespace flintdale::scheduler
