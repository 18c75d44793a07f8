// Serves user requests: submitting a job, polling its status and cancelling it. Every controller serves them, from the
// records in the state service.
#pragma once
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "api/dependency_checks.hpp"
#include "api/job_checks.hpp"
#include "api/job_knowledge.hpp"
#include "api/job_memory.hpp"
#include "api/job_records.hpp"
#include "config/settings.hpp"
#include "model/job.hpp"
#include "model/machine.hpp"
#include "net/http_server.hpp"
#include "state/store.hpp"

namespace flintdale::api {

using net::awaitable;
using net::Reply;

class SubmissionService {
  public:
    struct Callbacks {
        std::function<std::int64_t()> time_of_day_ms;
        // Null until the machine types are known.
        std::function<const std::vector<model::MachineType>*()> machine_types;
        // Called before a reply that reports this job to a user as cancelled.
        std::function<void(const std::string& uid)> cancellation_reported;
        // Called after a record of a job was read or written here. A hint for a leader in this process.
        std::function<void(const state::KeyValue&)> record_observed;
    };
    // `cache_capacity`: the number of jobs whose state is cached after a read.
    SubmissionService(net::Executor ex, state::Store& store, const config::Settings& settings,
                      const state::RecordFormat& record_format, const JobMemory& memory, Callbacks callbacks,
                      std::size_t cache_capacity);

    // POST /submissions. Idempotent: an accepted job stays accepted, even if a repeated submission is invalid or
    // differs.
    awaitable<Reply> submit(std::string body);
    // GET /submissions/<uid>
    awaitable<Reply> poll(std::string uid);
    // POST /submissions/<uid>/cancel
    awaitable<Reply> cancel(std::string uid);
    // Drops open jobs from the cache. Called after the records were rebuilt, so that they are read again.
    void invalidate_open_jobs() { knowledge_.invalidate_open_jobs(); }

  private:
    enum class AnswerTo : std::uint8_t { submission, poll };
    struct Request {
        model::JobSpec spec;
        std::string uid;  // empty if the body has no valid uid
        unsigned error_status = 0;
        std::string rejection_reason;  // empty if the body alone gives no reason to reject the job
    };

    Request parse(const std::string& body) const;
    // Why the job cannot be accepted yet although a later submission may succeed; nullopt if it can be accepted.
    std::optional<std::string_view> retry_later_reason(const model::JobSpec& spec) const;
    awaitable<Reply> accept(std::string uid, model::JobSpec spec, std::vector<state::Change> records);
    awaitable<Reply> refuse(std::string uid, unsigned status, std::string rejection_reason);
    // The status of the job if it certainly exists; `otherwise` in all other cases.
    awaitable<Reply> status_if_exists(std::string uid, Reply otherwise);
    awaitable<Reply> current_status(std::string uid, AnswerTo answer_to);
    Reply status_reply(const std::string& uid, KnownJobPtr job, AnswerTo answer_to);

    state::Store& store_;
    const config::Settings& settings_;
    const state::RecordFormat& record_format_;
    const JobMemory& memory_;
    Callbacks callbacks_;
    JobKnowledge knowledge_;
    JobRecords records_;
    JobChecks checks_;
    DependencyChecks dependencies_;
};

}  // namespace flintdale::api
