#include "load_test/users.hpp"

#include <cmath>

#include "model/job.hpp"
#include "wire/json.hpp"

namespace flintdale::load_test {

using namespace std::chrono_literals;
using model::Clock;
using net::http::verb;
namespace asio = net::asio;

namespace {

constexpr auto submission_limit = 5s, poll_limit = 2s, keeps_trying = 60s;
constexpr double poll_gap_s = 5, poll_spread = 0.2;
constexpr double retry_from_s = 1, retry_to_s = 2;
constexpr auto forgotten_after = 90s;
constexpr double least_left = 0.1;
constexpr double run_spread = 0.2;  // of a task's run time, either way

std::vector<config::Address> serving_addresses(const Plan& plan) {
    std::vector<config::Address> out;
    for (std::size_t n = 0; n < plan.controllers; ++n) out.push_back(plan.addresses.serving(n));
    return out;
}

std::optional<std::string> status_of(const net::HttpAnswer& answer) {
    try {
        return std::string(wire::parse_object(answer.body).at("status").as_string());
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

}  // namespace

Users::Users(net::Executor ex, const Plan& plan, simulator::Events& luck, OrderedChecker& checker, Upload upload)
    : ex_(ex),
      plan_(plan),
      luck_(luck),
      checker_(checker),
      upload_(std::move(upload)),
      balancer_(ex, serving_addresses(plan), plan.addresses.users()) {
    for (std::size_t n = 0; n < plan.users; ++n)
        connections_.push_back(std::make_unique<UserConnection>(ex, balancer_, plan.addresses.users()));
}

void Users::start() {
    balancer_.start();
    for (const auto& job_class : plan_.scenario.jobs) {
        asio::co_spawn(ex_, first_jobs(job_class), asio::detached);
        asio::co_spawn(ex_, arrivals(job_class), asio::detached);
    }
}

awaitable<void> Users::first_jobs(const simulator::JobClass& job_class) {
    const auto gap = plan_.ramp / std::max(1, job_class.initial);
    for (int i = 0; i < job_class.initial; ++i) {
        co_await net::sleep_for(model::to_clock(gap));
        // As if it had run for some time already: else all first jobs would end together.
        new_job(job_class, luck_.uniform(least_left, 1));
    }
}

awaitable<void> Users::arrivals(const simulator::JobClass& job_class) {
    while (job_class.per_minute > 0) {
        const Seconds gap(-std::log(1 - luck_.uniform(0, 1)) * 60 / job_class.per_minute);
        co_await net::sleep_for(model::to_clock(gap));
        new_job(job_class, 1);
    }
}

void Users::new_job(const simulator::JobClass& job_class, double left) {
    auto job = std::make_shared<Job>();
    job->spec = simulator::new_job_spec(job_class, ++numbers_, luck_);
    job->spec.team = plan_.team(luck_.pick(plan_.teams));
    if (luck_.chance(job_class.cancelled))
        job->cancel_after = Seconds(luck_.uniform(job_class.cancel_from, job_class.cancel_to));
    job->user = connections_[luck_.pick(connections_.size())].get();
    const Seconds runs(job_class.runs_s * left * luck_.uniform(1 - run_spread, 1 + run_spread));
    checker_.submitted(job->spec);
    upload_(job->spec, runs);
    jobs_[job->spec.uid] = job;
    asio::co_spawn(ex_, live(job), asio::detached);
}

awaitable<void> Users::live(JobPtr job) {
    const bool accepted = co_await submit(job);
    if (!accepted) co_return;
    if (job->cancel_after.count() >= 0) asio::co_spawn(ex_, cancel_later(job), asio::detached);
    while (!job->over) {
        const Seconds gap(poll_gap_s * luck_.uniform(1 - poll_spread, 1 + poll_spread));
        co_await net::sleep_for(model::to_clock(gap));
        if (!job->over) co_await poll(job);
    }
    jobs_.erase(job->spec.uid);
}

awaitable<net::HttpAnswer> Users::ask(JobPtr job, net::http::verb verb, std::string target, std::string body,
                                      Clock::duration limit) {
    auto answer = co_await job->user->request(verb, std::move(target), std::move(body), limit);
    counts_.bytes_sent += answer.bytes_sent;
    counts_.bytes_received += answer.bytes_received;
    counts_.unavailable += answer.status == 503 || answer.status == 429;
    co_return answer;
}

awaitable<bool> Users::submit(JobPtr job) {
    const auto began = Clock::now();
    const auto request = simulator::submission_request(job->spec);
    ++counts_.submitted;
    while (Clock::now() - began < keeps_trying) {
        const auto asked = Clock::now();
        std::string target = request.target, body = request.body;
        const auto answer = co_await ask(job, verb::post, std::move(target), std::move(body), submission_limit);
        if (answer.status == 200 || answer.status == 201) {
            job->accepted = true;
            job->accepted_at = job->answered_at = Clock::now();
            ++counts_.accepted;
            submissions_.add(job->accepted_at - began);
            checker_.at(job->accepted_at, [uid = job->spec.uid](simulator::Checker& c) { c.accepted(uid); });
            told(job, answer, asked);
            note_start(*job);
            co_return true;
        }
        if (answer.status == 400 || answer.status == 422) break;
        const Seconds pause(luck_.uniform(retry_from_s, retry_to_s));
        co_await net::sleep_for(model::to_clock(pause));
    }
    ++counts_.given_up;
    co_return false;
}

awaitable<void> Users::poll(JobPtr job) {
    const auto asked = Clock::now();
    std::string target = "/submissions/" + job->spec.uid, body;
    const auto answer = co_await ask(job, verb::get, std::move(target), std::move(body), poll_limit);
    const auto now = Clock::now();
    const auto& uid = job->spec.uid;
    if (answer.status == 404) checker_.at(now, [uid](simulator::Checker& c) { c.told_unknown(uid); });
    if (answer.status == 200) told(job, answer, asked);
    // While others are answered.
    if (now - job->answered_at > forgotten_after && now - last_answer_ < forgotten_after)
        checker_.at(now, [uid](simulator::Checker& c) { c.unanswered(uid); });
}

awaitable<void> Users::cancel_later(JobPtr job) {
    co_await net::sleep_for(model::to_clock(job->cancel_after));
    checker_.at(Clock::now(), [uid = job->spec.uid](simulator::Checker& c) { c.asked_to_cancel(uid); });
    while (!job->over) {
        const auto asked = Clock::now();
        std::string target = "/submissions/" + job->spec.uid + "/cancel", body;
        const auto answer = co_await ask(job, verb::post, std::move(target), std::move(body), submission_limit);
        if (answer.status == 200) told(job, answer, asked);
        const Seconds pause(luck_.uniform(retry_from_s, retry_to_s));
        co_await net::sleep_for(model::to_clock(pause));
    }
}

void Users::told(const JobPtr& job, const net::HttpAnswer& answer, model::TimePoint asked) {
    const auto status = status_of(answer);
    if (!status) return;
    const auto now = Clock::now();
    job->answered_at = last_answer_ = now;
    checker_.at(now, [uid = job->spec.uid, word = *status, asked](simulator::Checker& c) { c.told(uid, word, asked); });
    if (job->over || (*status != "done" && *status != "aborted")) return;
    job->over = true;
    ++(*status == "done" ? counts_.done : counts_.cancelled);
}

void Users::ordered(const std::string& uid, model::TimePoint at) {
    const auto it = jobs_.find(uid);
    if (it == jobs_.end() || it->second->ordered_at) return;
    it->second->ordered_at = at;
    note_start(*it->second);
}

// An order may be told before the acceptance is.
void Users::note_start(Job& job) {
    if (!job.accepted || !job.ordered_at) return;
    const auto waited = std::max(Seconds(0), Seconds(*job.ordered_at - job.accepted_at));
    starts_.add(waited);
    if (job.spec.priority == model::Priority::critical && job.spec.kind != model::JobKind::service)
        urgent_starts_.add(waited);
}

}  // namespace flintdale::load_test
