// What the submission service asks of the rest of the controller: what is remembered of jobs beside the service's own
// cache of what it has read.
#pragma once
#include <cstdint>
#include <optional>
#include <string>

#include "model/job.hpp"
#include "state/store.hpp"

namespace flintdale::api {

// Tasks of an open job, for display only.
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
    // What is remembered of the job, whether or not it is on record in its place; nothing if it is not remembered.
    virtual std::optional<RememberedJob> remembered(const std::string& uid) const = 0;
    // Whether a job that is neither on record nor remembered never was.
    virtual bool knows_all_jobs() const = 0;
    // The first record of an open job, which saves reading it; nothing if it has to be read.
    virtual std::optional<state::KeyValue> open_record(const std::string& uid) const = 0;
    virtual DisplayCount display_count(const std::string& uid) const = 0;
};

}  // namespace flintdale::api
