// Machine types that the cloud offers, and entries of its list of machines.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "model/clock.hpp"
#include "model/resources.hpp"

namespace flintdale::model {

struct MachineType {
    std::string name;
    Resources capacity;
    double cache_gb = 0, fetch_gb_per_s = 0;  // of the image cache, and the rate of image fetches
    double price = 0, spot_price = 0;         // per unit of time, in one currency for all types
    Seconds boot{0};                          // nominal boot time
    std::vector<std::string> zones;           // in which the type is offered
};

enum class MachineStatus : std::uint8_t { booting, running, failed };

// An entry of the cloud's list of machines, which lags behind the actual state.
struct ListedMachine {
    std::string name, addr, type, zone;
    bool spot = false;
    MachineStatus status = MachineStatus::booting;
    Seconds age{0};  // since the machine was launched
};

}  // namespace flintdale::model
