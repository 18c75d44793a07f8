// Selects the machines to release: failed, terminated, silent and idle ones, and machines that may run cancelled work
// and could miss the cancel deadline.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "scheduler/fleet_view.hpp"

namespace flintdale::scheduler {

struct Release {
    std::string machine;
    const char* why;
};
// The reason of a release that the cancel deadline requires. Such a machine is released even if this leader cannot
// verify that its term is still current. Compared by address.
inline constexpr const char* cancelled_work = "cancelled";

class ScaleIn {
  public:
    ScaleIn(SchedulerState& state, const FleetView& fleet) : state_(state), fleet_(fleet) {}

    // The machines to release now: at most as many as one call to the cloud takes, those with cancelled work first.
    std::vector<Release> run(TimePoint now) const;

  private:
    struct SilentCount {
        int silent = 0, all = 0;
        // Too many for chance: this controller is more likely cut off than all of them dead.
        bool too_many_for_chance() const { return silent > 2 && silent * 3 > all; }
    };
    // The condition of the whole fleet, which the decisions on single machines depend on.
    struct Situation {
        TimePoint now;
        std::map<bool, SilentCount> silent;  // key: whether spot
        bool cut_off_from_workers = false;
        std::vector<bool> quiet_zones;
    };
    Situation assess(TimePoint now) const;
    // The reason to release the machine, or null.
    const char* reason(const Machine& machine, const Situation& situation) const;
    const char* reason_of_reporting(const Machine& machine, const Situation& situation) const;
    bool never_came_up(const Machine& machine, TimePoint now) const;
    bool idle(const Machine& machine, TimePoint now) const;
    // How long the machine may be silent before it is released.
    Seconds silence_timeout(const Machine& machine, const Situation& situation) const;
    bool cancelled_work_at_risk(const Machine& machine, TimePoint now) const;
    // The boot time of the machine's type; a default for unknown types.
    Seconds boot_time(const Machine& machine) const;

    SchedulerState& state_;
    const FleetView& fleet_;
};

}  // namespace flintdale::scheduler
