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

constexpr int max_attempts = 3;  // to cancel a job whose records change concurrently
// Longest time that a submission may wait for its write; users time out after 5 s.
constexpr std::chrono::milliseconds max_write_wait{2000};
// Request timeouts of the users' clients.
constexpr std::chrono::seconds poll_timeout{2}, submission_timeout{5};

std::string uid_in(const boost::json::object& body) {
    const auto* uid = body.if_contains("uid");
    if (!uid || !uid->is_string()) return {};
    const std::string_view text(uid->get_string());
    return wire::valid_uid(text) ? std::string(text) : std::string();
}

// Names the field that makes the records of the job too long.
std::string too_long_reason(const model::JobSpec& spec) {
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
        request.rejection_reason = e.what();
    }
    request.spec.accepted_ms = callbacks_.time_of_day_ms();
    const auto* types = callbacks_.machine_types();
    if (!request.rejection_reason.empty() || !types) return request;
    if (auto rejection_reason = infeasibility_reason(request.spec, settings_, *types)) {
        request.error_status = 422;
        request.rejection_reason = std::move(*rejection_reason);
    }
    return request;
}

// A controller of an older version cannot read a job that needs the newest format, or would start it too early.
std::optional<std::string_view> SubmissionService::retry_later_reason(const model::JobSpec& spec) const {
    if (!record_format_.newest() && !scheduler::readable_by_all(spec, record_format_))
        return "not before all controllers have the new version";
    if (!callbacks_.machine_types()) return "the machine types are not known yet";
    return std::nullopt;
}

awaitable<Reply> SubmissionService::submit(std::string body) {
    auto request = parse(body);
    auto& uid = request.uid;
    const auto& spec = request.spec;
    if (!request.rejection_reason.empty())
        co_return co_await refuse(std::move(uid), request.error_status, std::move(request.rejection_reason));
    if (knowledge_.find(uid)) co_return co_await current_status(uid, AnswerTo::submission);
    if (const auto reason = retry_later_reason(spec)) {
        auto otherwise = retry_later_reply(*reason);
        co_return co_await status_if_exists(uid, std::move(otherwise));
    }
    // A submission that would wait too long is rejected at once, with the time after which to retry.
    if (const auto wait = store_.write_wait(); wait > max_write_wait)
        co_return retry_later_reply("too many submissions at once", wait);
    if (!spec.dependencies.empty()) {
        auto result = co_await dependencies_.check_new(spec.dependencies, Clock::now() + submission_timeout);
        if (!result.known) co_return store_unreachable_reply();
        if (result.rejection_reason)
            co_return co_await refuse(std::move(uid), 422, std::move(*result.rejection_reason));
    }
    auto records = scheduler::accepted_records(spec, record_format_);
    if (records.empty()) {
        auto rejection_reason = too_long_reason(spec);
        co_return co_await refuse(std::move(uid), 400, std::move(rejection_reason));
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
    // Either the job exists already, or the response was lost and the write may have succeeded.
    auto otherwise = store_unreachable_reply();
    co_return co_await status_if_exists(std::move(uid), std::move(otherwise));
}

awaitable<Reply> SubmissionService::status_if_exists(std::string uid, Reply otherwise) {
    const auto exists = co_await records_.exists(uid);
    if (exists && *exists) co_return co_await current_status(std::move(uid), AnswerTo::submission);
    co_return otherwise;
}

// An accepted job stays accepted, even if a repeated submission is invalid or differs.
awaitable<Reply> SubmissionService::refuse(std::string uid, unsigned status, std::string rejection_reason) {
    auto refusal = error_reply(status, rejection_reason);
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
    const auto check = co_await dependencies_.check_current(uid, Clock::now() + timeout);
    // The reply to a repeated submission never says that an accepted job does not exist.
    if (!check.certain || (!check.job && answer_to == AnswerTo::submission)) co_return store_unreachable_reply();
    if (!check.job) co_return error_reply(404, "no such job");
    co_return status_reply(uid, check.job, answer_to);
}

// Reports the result of the check, or a newer state that became known since.
Reply SubmissionService::status_reply(const std::string& uid, KnownJobPtr job, AnswerTo answer_to) {
    job = knowledge_.newest(uid, std::move(job));
    const auto count = job->ended() ? DisplayCount{} : memory_.display_count(uid);
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
        // An open job in the cache is cancelled without a read, with two exceptions: an outcome in the oldest record
        // format contains the submission, and after a failed attempt the job may have ended.
        if (!job || (!job->ended() && must_read)) {
            auto found = co_await records_.read(uid);
            if (found.outcome != Outcome::ok) break;
            if (!found.job) co_return error_reply(404, "no such job");
            job = std::move(found.job);
            record = std::move(found.record);
        }
        if (job->ended()) co_return status_reply(uid, job, AnswerTo::submission);
        const auto outcome = co_await records_.cancel(uid, job, std::move(record));
        if (outcome == Outcome::ok) co_return status_reply(uid, job, AnswerTo::submission);
        if (outcome == Outcome::refused) break;
        must_read = true;
    }
    co_return store_unreachable_reply();
}

}  // namespace flintdale::api
