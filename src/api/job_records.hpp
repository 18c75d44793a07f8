// Reads single jobs from the state service, and puts cancellations on record.
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
        // A record of a job was just read or written here: a hint for a leader in this process.
        std::function<void(const state::KeyValue&)> record_observed;
    };
    JobRecords(state::Store& store, const state::RecordFormat& record_format, JobKnowledge& knowledge,
               Callbacks callbacks);

    // A transaction that fails if there is such a job.
    static state::Txn unless_exists(const std::string& uid);

    struct Found {
        // ok: `job` is certain, and null if there is no such job; otherwise why that could not be found out.
        state::Outcome outcome = state::Outcome::unknown;
        JobEvidence job;
        state::KeyValue record;
    };
    // Reads the job's outcome, or else the first record of its open work.
    awaitable<Found> read(std::string uid);
    // Whether the job exists; nothing if that could not be found out.
    awaitable<std::optional<bool>> exists(std::string uid);
    // Reads one of the job's keys, its outcome or its open work.
    awaitable<Found> read_key(std::string uid, std::string key);

    // Puts the cancellation of an open job on record, on the condition that it has no outcome. `record`: of its open
    // work, or an absent one.
    awaitable<state::Outcome> cancel(std::string uid, JobEvidence job, state::KeyValue record);

  private:
    state::Store& store_;
    const state::RecordFormat& record_format_;
    JobKnowledge& knowledge_;
    Callbacks callbacks_;
};

}  // namespace flintdale::api
