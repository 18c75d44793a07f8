#include "api/submission_service.hpp"

#include <spdlog/spdlog.h>

#include "api/job_feasibility.hpp"
#include "api/reply.hpp"
#include "scheduler/job.hpp"
#include "wire/json.hpp"

namespace flintdale::api {

using model::Clock;
using model::JobState;
using state::Outcome;
using state::RequestPriority;

namespace {

constexpr int max_attempts = 3;  // of cancelling a job that changes meanwhile
// That a submission waits for its write; users give up after 5 s.
constexpr std::chrono::milliseconds max_write_wait{2000};
// After which users give up.
constexpr std::chrono::seconds poll_timeout{2}, submission_timeout{5};

std::string uid_in(const boost::json::object& body) {
    const auto* uid = body.if_contains("uid");
    if (!uid || !uid->is_string()) return {};
    const std::string_view text(uid->get_string());
    return wire::valid_uid(text) ? std::string(text) : std::string();
}

// The field that makes the records of the job too long.
std::string too_long_complaint(const model::JobSpec& spec) {
    std::string_view field = "body";
    if (spec.dependencies.size() > 1) field = "prereqs";
    if (spec.types && spec.types->size() > spec.dependencies.size()) field = "hosttypes";
    return std::string(field) + ": too long to be kept";
}

}  // namespace

SubmissionService::SubmissionService(net::Executor ex, state::Store& store, const config::Settings& settings,
                                     const state::RecordFormat& record_format, const JobMemory& memory,
                                     Callbacks callbacks, std::size_t cache_capacity)
    : store_(store),
      settings_(settings),
      record_format_(record_format),
      memory_(memory),
      callbacks_(std::move(callbacks)),
      knowledge_(memory, cache_capacity),
      records_(store, record_format, knowledge_, {callbacks_.time_of_day_ms, callbacks_.record_observed}),
      checks_(ex, store, record_format, knowledge_, records_),
      dependencies_(knowledge_, checks_, records_) {}

// --- submitting ---

SubmissionService::Request SubmissionService::parse(const std::string& body) const {
    Request request;
    try {
        const auto fields = wire::parse_object(body);
        request.uid = uid_in(fields);
        request.spec = wire::parse_submission(fields);
    } catch (const wire::DecodeError& e) {
        request.error_status = 400;
        request.complaint = e.what();
    }
    request.spec.accepted_ms = callbacks_.time_of_day_ms();
    const auto* types = callbacks_.machine_types();
    if (!request.complaint.empty() || !types) return request;
    if (auto complaint = why_never_runs(request.spec, settings_, *types)) {
        request.error_status = 422;
        request.complaint = std::move(*complaint);
    }
    return request;
}

// A controller of an older version could not read such a job, or would start it too early.
std::optional<std::string_view> SubmissionService::why_not_yet(const model::JobSpec& spec) const {
    if (!record_format_.newest() && !scheduler::readable_by_all(spec, record_format_))
        return "not before all controllers have the new version";
    if (!callbacks_.machine_types()) return "the machine types are not known yet";
    return std::nullopt;
}

awaitable<Reply> SubmissionService::submit(std::string body) {
    auto request = parse(body);
    auto& uid = request.uid;
    const auto& spec = request.spec;
    if (!request.complaint.empty())
        co_return co_await refuse(std::move(uid), request.error_status, std::move(request.complaint));
    if (knowledge_.find(uid)) co_return co_await current_status(uid, AnswerTo::submission);
    if (const auto reason = why_not_yet(spec)) {
        auto otherwise = retry_later_reply(*reason);
        co_return co_await status_if_exists(uid, std::move(otherwise));
    }
    // What would wait too long is refused at once, with the time when it may be accepted.
    if (const auto wait = store_.write_wait(); wait > max_write_wait)
        co_return retry_later_reply("too many submissions at once", wait);
    if (!spec.dependencies.empty()) {
        auto result = co_await dependencies_.check_new(spec.dependencies, Clock::now() + submission_timeout);
        if (!result.known) co_return store_unreachable_reply();
        if (result.complaint) co_return co_await refuse(std::move(uid), 422, std::move(*result.complaint));
    }
    auto records = scheduler::accepted_records(spec, record_format_);
    if (records.empty()) {
        auto complaint = too_long_complaint(spec);
        co_return co_await refuse(std::move(uid), 400, std::move(complaint));
    }
    co_return co_await accept(std::move(uid), std::move(request.spec), std::move(records));
}

awaitable<Reply> SubmissionService::accept(std::string uid, model::JobSpec spec, std::vector<state::Change> records) {
    auto txn = JobRecords::unless_exists(uid);
    txn.changes = records;
    const auto result = co_await store_.commit(std::move(txn), RequestPriority::user);
    if (result.outcome == Outcome::ok) {
        for (std::size_t i = 0; i < records.size(); ++i) {
            state::KeyValue record;
            record.key = records[i].key;
            record.value = *records[i].value;
            record.mod_revision = result.revision;
            if (i == 0) knowledge_.learn(uid, record);
            callbacks_.record_observed(record);
        }
        spdlog::info("event=job_accepted job={} class={} tasks={}", uid, spec.job_class, spec.tasks);
        co_return make_reply(201, wire::submission_response(uid, "pending"));
    }
    if (result.outcome == Outcome::refused) co_return retry_later_reply("the state service refuses");
    // Either it exists, or the answer was lost and it may exist.
    auto otherwise = store_unreachable_reply();
    co_return co_await status_if_exists(std::move(uid), std::move(otherwise));
}

awaitable<Reply> SubmissionService::status_if_exists(std::string uid, Reply otherwise) {
    const auto exists = co_await records_.exists(uid);
    if (exists && *exists) co_return co_await current_status(std::move(uid), AnswerTo::submission);
    co_return otherwise;
}

// A job once accepted stays accepted, whatever a repetition of its submission says.
awaitable<Reply> SubmissionService::refuse(std::string uid, unsigned status, std::string complaint) {
    auto refusal = error_reply(status, complaint);
    if (uid.empty()) co_return refusal;
    const auto exists = co_await records_.exists(uid);
    if (!exists) co_return store_unreachable_reply();
    if (*exists) co_return co_await current_status(std::move(uid), AnswerTo::submission);
    co_return refusal;
}

// --- polling ---

awaitable<Reply> SubmissionService::poll(std::string uid) {
    if (!wire::valid_uid(uid)) co_return error_reply(404, "no such job");
    co_return co_await current_status(std::move(uid), AnswerTo::poll);
}

awaitable<Reply> SubmissionService::current_status(std::string uid, AnswerTo answer_to) {
    const auto timeout = answer_to == AnswerTo::submission ? submission_timeout : poll_timeout;
    const auto check = co_await dependencies_.current(uid, Clock::now() + timeout);
    // A repeated submission is never told that an accepted job does not exist.
    if (!check.certain || (!check.job && answer_to == AnswerTo::submission)) co_return store_unreachable_reply();
    if (!check.job) co_return error_reply(404, "no such job");
    co_return status_reply(uid, check.job, answer_to);
}

// By the evidence of the check, or what is known beyond it by now.
Reply SubmissionService::status_reply(const std::string& uid, JobEvidence job, AnswerTo answer_to) {
    job = knowledge_.newest(uid, std::move(job));
    const auto count = job->over() ? DisplayCount{} : memory_.display_count(uid);
    std::string_view status = count.running > 0 ? "running" : "pending";
    if (job->state == JobState::done) status = "done";
    if (job->state == JobState::cancelled) {
        status = "aborted";
        callbacks_.cancellation_reported(uid);
    }
    if (answer_to == AnswerTo::submission) return make_reply(200, wire::submission_response(uid, status));
    const auto done = job->state == JobState::done ? job->size.tasks : count.done;
    return make_reply(200, wire::poll_response(uid, status, done, count.running));
}

// --- cancelling ---

awaitable<Reply> SubmissionService::cancel(std::string uid) {
    if (!wire::valid_uid(uid)) co_return error_reply(404, "no such job");
    bool must_read = !record_format_.newest();
    for (int attempt = 0; attempt < max_attempts; ++attempt) {
        auto job = knowledge_.find(uid);
        state::KeyValue record;
        // A job that is known to be open need not be read first, except where the record's oldest format holds the
        // submission, or where the last attempt shows that the job may be over.
        if (!job || (!job->over() && must_read)) {
            auto found = co_await records_.read(uid);
            if (found.outcome != Outcome::ok) break;
            if (!found.job) co_return error_reply(404, "no such job");
            job = std::move(found.job);
            record = std::move(found.record);
        }
        if (job->over()) co_return status_reply(uid, job, AnswerTo::submission);
        const auto outcome = co_await records_.cancel(uid, job, std::move(record));
        if (outcome == Outcome::ok) co_return status_reply(uid, job, AnswerTo::submission);
        if (outcome == Outcome::refused) break;
        must_read = true;
    }
    co_return store_unreachable_reply();
}

}  // namespace flintdale::api
