// The cloud's records: which machines are rented, under which request, and what its list shows of them.
#pragma once
#include <map>

#include "cloud/client.hpp"
#include "model/machine.hpp"
#include "simulator/events.hpp"
#include "simulator/scenario.hpp"

namespace flintdale::simulator {

struct Rented {
    std::string name, address;
    const model::MachineType* type = nullptr;
    std::string zone;
    bool spot = false, up = false, dead = false;
    TimePoint since{}, died{};
};

class Rentals {
  public:
    // `address_of`: where the worker of the machine with that name and number will listen.
    using AddressOf = std::function<std::string(const std::string& name, std::uint64_t number)>;
    Rentals(Events& events, const config::Settings& settings, const Scenario& scenario, AddressOf address_of);

    struct Granted {
        cloud::LaunchResult result;
        std::vector<const Rented*> fresh;  // the machines that were not there before, valid until released
    };
    // A request that was granted before is given the same answer, and nothing is rented for it.
    Granted rent(const std::string& request, const std::string& type, const std::string& zone, bool spot, int count);
    // One that is there from the start.
    const Rented& add(const model::MachineType& type, const std::string& zone, bool spot);
    void came_up(const std::string& name);
    void died(const std::string& name);
    void release(const std::string& name) { machines_.erase(name); }

    const Rented* find(const std::string& name) const;
    const std::map<std::string, Rented>& all() const { return machines_; }
    // At most so many, in the order of their names, after that one. Younger ones than the list lags are missing.
    std::vector<model::ListedMachine> list(const std::string& after = {}, std::size_t most = SIZE_MAX) const;

  private:
    Events& events_;
    const config::Settings& settings_;
    const Scenario& scenario_;
    AddressOf address_of_;
    std::map<std::string, Rented> machines_;
    std::map<std::string, std::vector<std::string>> requests_;
    std::uint64_t names_ = 0;
};

}  // namespace flintdale::simulator
