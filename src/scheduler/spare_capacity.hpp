// Cordons machines while more of the fleet is idle than the ups and downs of the load need: a cordoned machine gets no
// new work and is returned once it is empty.
#pragma once
#include <vector>

#include "scheduler/fleet_view.hpp"

namespace flintdale::scheduler {

class SpareCapacity {
  public:
    SpareCapacity(SchedulerState& state, FleetView& fleet, TimePoint now)
        : state_(state), fleet_(fleet), spare_since_(now) {}

    void cordon_spare(TimePoint now);
    // Room is wanted again.
    void uncordon();

  private:
    struct Candidate {
        double waste, price;  // what its idle part costs, and the whole machine
        Machine* machine;
    };
    // What the usable machines cost, and how much of that is idle.
    struct Totals {
        double price = 0, waste = 0;
        Seconds replacement{0};  // average time to have a machine's like again
        std::size_t machines = 0;
    };
    Totals count(std::vector<Candidate>& candidates, TimePoint now) const;
    void cordon(const std::vector<Candidate>& candidates, Totals totals, double wanted_share);

    SchedulerState& state_;
    FleetView& fleet_;
    TimePoint spare_since_;  // since when more has been idle than is wanted
};

}  // namespace flintdale::scheduler
