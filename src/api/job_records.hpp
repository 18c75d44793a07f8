// Reads single jobs from the state service, and writes cancellations to it.
#pragma once
#include <functional>
#include <optional>
#include <string>

#include "api/job_knowledge.hpp"
#include "model/clock.hpp"
#include "net/asio.hpp"
#include "state/record_format.hpp"
#include "state/store.hpp"

namespace flintdale::api {

using net::awaitable;

class JobRecords {
  public:
    struct Callbacks {
        std::function<std::int64_t()> time_of_day_ms;
        // Called after a record of a job was read or written here. A hint for a leader in this process.
        std::function<void(const state::KeyValue&)> record_observed;
    };
    JobRecords(state::Store& store, const state::RecordFormat& record_format, JobKnowledge& knowledge,
               Callbacks callbacks);

    // A transaction without changes yet, which fails if the job exists.
    static state::Txn unless_exists(const std::string& uid);

    struct Found {
        // ok: `job` is certain, and null if it does not exist. Any other value: why the read failed.
        state::Outcome outcome = state::Outcome::unknown;
        KnownJobPtr job;
        state::KeyValue record;
    };
    // Reads the job's outcome; if it has none, its first work record.
    awaitable<Found> read(std::string uid);
    // Whether the job exists; nullopt if the state service gave no usable response.
    awaitable<std::optional<bool>> exists(std::string uid);
    // Reads one key of the job, of its outcome or of its first work record.
    awaitable<Found> read_key(std::string uid, std::string key);

    // Writes the outcome `cancelled` of an open job, on the condition that it has no outcome yet. `record`: its first
    // work record, or an absent record.
    awaitable<state::Outcome> cancel(std::string uid, KnownJobPtr job, state::KeyValue record);

  private:
    state::Store& store_;
    const state::RecordFormat& record_format_;
    JobKnowledge& knowledge_;
    Callbacks callbacks_;
};

}  // namespace flintdale::api
