// Users' requests: submitting a job, polling its status and cancelling it. Any controller answers them, from what is on
// record in the state service.
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
        // Null while they are not known.
        std::function<const std::vector<model::MachineType>*()> machine_types;
        // The answer that follows tells a user that this job is cancelled.
        std::function<void(const std::string& uid)> cancellation_reported;
        // A record of a job was just read or written here: a hint for a leader in this process.
        std::function<void(const state::KeyValue&)> record_observed;
    };
    // `cache_capacity`: jobs of which is kept what was read of them.
    SubmissionService(net::Executor ex, state::Store& store, const config::Settings& settings,
                      const state::RecordFormat& record_format, const JobMemory& memory, Callbacks callbacks,
                      std::size_t cache_capacity);

    // POST /submissions. Idempotent: a job once accepted stays accepted, whatever a repetition says.
    awaitable<Reply> submit(std::string body);
    // GET /submissions/<uid>
    awaitable<Reply> poll(std::string uid);
    // POST /submissions/<uid>/cancel
    awaitable<Reply> cancel(std::string uid);
    // The records were rebuilt: what they say of jobs that are not over has to be read again.
    void invalidate_open_jobs() { knowledge_.invalidate_open_jobs(); }

  private:
    enum class AnswerTo : std::uint8_t { submission, poll };
    struct Request {
        model::JobSpec spec;
        std::string uid;  // empty if the body has no valid one
        unsigned error_status = 0;
        std::string complaint;  // empty if the job may be accepted as far as the body alone tells
    };

    Request parse(const std::string& body) const;
    // Why the job cannot be accepted now, though perhaps later; nothing if it can.
    std::optional<std::string_view> why_not_yet(const model::JobSpec& spec) const;
    awaitable<Reply> accept(std::string uid, model::JobSpec spec, std::vector<state::Change> records);
    awaitable<Reply> refuse(std::string uid, unsigned status, std::string complaint);
    // The status of a job that exists for certain, or else this reply.
    awaitable<Reply> status_if_exists(std::string uid, Reply otherwise);
    awaitable<Reply> current_status(std::string uid, AnswerTo answer_to);
    Reply status_reply(const std::string& uid, JobEvidence job, AnswerTo answer_to);

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
