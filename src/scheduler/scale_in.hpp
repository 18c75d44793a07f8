// Which machines to release: failed, terminated, silent or idle ones, and those that may hold cancelled work in time
// for the cancel deadline.
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
// The reason of a release that the cancel deadline demands, and not economy: such a machine is released though nobody
// can tell whether the term is still this leader's. Compared by address.
inline constexpr const char* cancelled_work = "cancelled";

class ScaleIn {
  public:
    ScaleIn(SchedulerState& state, const FleetView& fleet) : state_(state), fleet_(fleet) {}

    // At most as many as one call to the cloud takes, cancelled work first.
    std::vector<Release> run(TimePoint now) const;

  private:
    struct SilentCount {
        int silent = 0, all = 0;
        // More than chance: rather this controller is cut off than that all of them have died.
        bool many() const { return silent > 2 && silent * 3 > all; }
    };
    // What the fleet as a whole shows, for the decisions on single machines.
    struct Situation {
        TimePoint now;
        std::map<bool, SilentCount> silent;  // by spot
        bool cut_off_from_workers = false;
        std::vector<bool> quiet_zones;
    };
    Situation assess(TimePoint now) const;
    // Why the machine should be released, or null.
    const char* reason(const Machine& machine, const Situation& situation) const;
    const char* reason_of_reporting(const Machine& machine, const Situation& situation) const;
    bool never_came_up(const Machine& machine, TimePoint now) const;
    bool idle(const Machine& machine, TimePoint now) const;
    // How long the machine may be silent.
    Seconds patience(const Machine& machine, const Situation& situation) const;
    bool cancelled_work_must_go(const Machine& machine, TimePoint now) const;
    // How long a machine of that type takes to boot; a default for unknown types.
    Seconds boot_time(const Machine& machine) const;

    SchedulerState& state_;
    const FleetView& fleet_;
};

}  // namespace flintdale::scheduler
