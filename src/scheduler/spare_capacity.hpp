// Cordons machines while the idle share of the fleet exceeds what load fluctuations require. A cordoned machine gets no
// new tasks and is released once it is empty.
#pragma once
#include <vector>

#include "scheduler/fleet_view.hpp"

namespace flintdale::scheduler {

class SpareCapacity {
  public:
    SpareCapacity(SchedulerState& state, FleetView& fleet, TimePoint now)
        : state_(state), fleet_(fleet), spare_since_(now) {}

    void cordon_spare(TimePoint now);
    // Makes all cordoned machines available again.
    void uncordon();

  private:
    struct Candidate {
        double waste, price;  // price of the idle part, and of the whole machine
        Machine* machine;
    };
    // The price of all usable machines, and the part of it that is idle.
    struct Totals {
        double price = 0, waste = 0;
        Seconds replacement{0};  // average time to replace a machine
        std::size_t machines = 0;
    };
    Totals count(std::vector<Candidate>& candidates, TimePoint now) const;
    void cordon(const std::vector<Candidate>& candidates, Totals totals, double wanted_share);

    SchedulerState& state_;
    FleetView& fleet_;
    TimePoint spare_since_;  // since when the idle share has exceeded the wanted one
};

}  // namespace flintdale::scheduler
