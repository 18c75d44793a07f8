// The machine types that the cloud offers. Reads them from the cloud at intervals, because prices change, and records
// them in the state service, so that a controller that starts while the cloud's API is down still knows which jobs can
// run.
#pragma once
#include <functional>
#include <vector>

#include "cloud/client.hpp"
#include "model/machine.hpp"
#include "state/record_format.hpp"
#include "state/store.hpp"

namespace flintdale::app {

using net::awaitable;

class MachineTypeCatalog {
  public:
    struct Callbacks {
        std::function<bool()> leading;  // a leader reads the catalogue more often
        std::function<void(const std::vector<model::MachineType>&)> changed;
    };
    MachineTypeCatalog(cloud::Cloud& cloud, state::Store& store, const state::RecordFormat& record_format,
                       Callbacks callbacks);

    // Never returns.
    awaitable<void> run();
    // Empty while they are not known.
    const std::vector<model::MachineType>& types() const { return types_; }
    // The records were rebuilt without the catalogue; requests that it is recorded again.
    void record_again() { recorded_ = false; }

  private:
    awaitable<void> record_types();
    awaitable<void> read_recorded();
    // A record of as many types from `first` on as fit in one value, and their number.
    struct Page {
        boost::json::value record;
        std::size_t count = 0;
    };
    Page page_from(std::size_t first) const;

    cloud::Cloud& cloud_;
    state::Store& store_;
    const state::RecordFormat& record_format_;
    Callbacks callbacks_;
    std::vector<model::MachineType> types_;
    bool recorded_ = false;  // whether the types are believed to be on record
};

}  // namespace flintdale::app
