// Machines, as the cloud offers and lists them.
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
    double cache_gb = 0, fetch_gb_per_s = 0;  // for images
    double price = 0, spot_price = 0;         // per unit of time, all in the same currency
    Seconds boot{0};                          // nominal
    std::vector<std::string> zones;           // where it can be had
};

enum class MachineStatus : std::uint8_t { booting, running, failed };

// A machine in the cloud's list, which lags behind.
struct ListedMachine {
    std::string name, addr, type, zone;
    bool spot = false;
    MachineStatus status = MachineStatus::booting;
    Seconds age{0};
};

}  // namespace flintdale::model
