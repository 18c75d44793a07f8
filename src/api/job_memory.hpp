// The submission service's interface to the jobs that the rest of the controller remembers, beside the service's own
// cache of the records that it has read.
#pragma once
#include <cstdint>
#include <optional>
#include <string>

#include "model/job.hpp"
#include "state/store.hpp"

namespace flintdale::api {

// Numbers of tasks of an open job, for display only.
struct DisplayCount {
    std::uint32_t done = 0, running = 0;
};

struct RememberedJob {
    model::JobState state = model::JobState::open;
    model::JobSize size;
};

class JobMemory {
  public:
    virtual ~JobMemory() = default;
    // The remembered job, whether or not its records exist in the state service; nullopt if it is not remembered.
    virtual std::optional<RememberedJob> remembered(const std::string& uid) const = 0;
    // Whether a job that is neither in the state service nor remembered was certainly never accepted.
    virtual bool knows_all_jobs() const = 0;
    // The first work record of an open job, which saves a read; nullopt if it has to be read.
    virtual std::optional<state::KeyValue> open_record(const std::string& uid) const = 0;
    virtual DisplayCount display_count(const std::string& uid) const = 0;
};

}  // namespace flintdale::api
