#include "simulator/users.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>

#include "simulator/jobs.hpp"
#include "wire/json.hpp"

namespace flintdale::simulator {

using namespace std::chrono_literals;
namespace json = boost::json;

namespace {
constexpr Seconds poll_interval{5};
constexpr auto submitted_for = 60s;  // a user gives up a submission that nobody accepts
constexpr double repeated_share = 0.2;
constexpr std::size_t hanging_machines = 8, hanging_machines_of_a_job = 2;
}  // namespace

std::string status_in(const std::string& body) {
    return std::string(wire::parse_object(body).at("status").as_string());
}

Users::Users(Events& events, const Scenario& scenario, Controllers& controllers, Fleet& fleet, Checker& checker,
             RunResult& result)
    : events_(events),
      scenario_(scenario),
      controllers_(controllers),
      fleet_(fleet),
      checker_(checker),
      result_(result) {}

void Users::start() {
    for (const auto& job_class : scenario_.jobs) {
        for (int i = 0; i < job_class.initial; ++i)
            events_.after(Seconds(events_.uniform(0.5, 4)), [this, &job_class] { create_job(job_class); });
        plan_arrival(job_class);
    }
}

void Users::plan_arrival(const JobClass& job_class) {
    if (job_class.per_minute <= 0) return;
    const Seconds gap(-std::log(1 - events_.uniform(0, 1)) * 60 / job_class.per_minute);
    events_.after(gap, [this, &job_class] {
        for (int i = 0; i < std::lround(arrival_factor_); ++i) create_job(job_class);
        plan_arrival(job_class);
    });
}

void Users::create_job(const JobClass& job_class) {
    auto job = std::make_shared<UserJob>();
    job->spec = new_job_spec(job_class, ++submitted_, events_);
    job->last_without_room = events_.now();
    if (events_.chance(job_class.cancelled))
        job->cancel_after = Seconds(events_.uniform(job_class.cancel_from, job_class.cancel_to));
    fleet_.upload(job->spec, Seconds(job_class.runs_s * events_.uniform(0.8, 1.2)));
    checker_.submitted(job->spec);
    jobs_.push_back(job);
    submit(job, events_.now() + submitted_for);
}

void Users::submit(const UserJobPtr& job, TimePoint until) {
    const auto asked_at = events_.now();
    const auto node = controllers_.pick_any();
    controllers_.send_request(node, "", submission_request(job->spec), submission_timeout,
                              [this, job, until, asked_at, node](unsigned http_status, const std::string& body) {
                                  if (is_accepted(http_status)) {
                                      job->accepted = true;
                                      job->accepted_at = events_.now();
                                      ++result_.accepted;
                                      checker_.accepted(job->spec.uid);
                                      record_status(job->spec.uid, status_in(body), asked_at, node);
                                      submission_accepted(job);
                                  } else if (events_.now() < until) {
                                      events_.after(Seconds(events_.uniform(1, 2)),
                                                    [this, job, until] { submit(job, until); });
                                  }
                              });
}

void Users::submission_accepted(const UserJobPtr& job) {
    events_.after(poll_interval, [this, job] { poll(job); });
    if (job->cancel_after)
        events_.after(*job->cancel_after, [this, job] { cancel(job); });
    else if (events_.chance(repeated_share))
        events_.after(Seconds(events_.uniform(0.5, 90)), [this, job] { repeat_submission(job, 0); });
}

void Users::repeat_submission(const UserJobPtr& job, double change_probability) {
    auto spec = job->spec;
    if (events_.chance(change_probability)) spec.team = "nobody";
    auto request = submission_request(spec);
    if (events_.chance(change_probability)) {
        auto body = json::parse(request.body).as_object();
        body.erase("guess_s");
        request.body = json::serialize(body);
    }
    const auto asked_at = events_.now();
    const auto node = controllers_.pick_any();
    controllers_.send_request(node, "", std::move(request), submission_timeout,
                              [this, job, asked_at, node](unsigned http_status, const std::string& body) {
                                  if (is_invalid(http_status) || http_status == 404)
                                      checker_.told_unknown(job->spec.uid);
                                  if (is_accepted(http_status))
                                      record_status(job->spec.uid, status_in(body), asked_at, node);
                              });
}

void Users::cancel_running_jobs(std::size_t most, Seconds machines_hang) {
    std::size_t machines_left = hanging_machines;
    for (const auto& job : jobs_) {
        if (!most) return;
        const bool runs = job->accepted && !job->finished && !job->cancelling && checker_.on_now(job->spec.uid) > 0;
        if (!runs || checker_.all_done(job->spec.uid)) continue;
        --most;
        job->cancel_after = Seconds(0);
        if (machines_hang.count() > 0 && machines_left) {
            const auto machines = std::min(machines_left, hanging_machines_of_a_job);
            machines_left -= machines;
            fleet_.hang_with(job->spec.uid, machines, machines_hang);
        }
        events_.after(Seconds(events_.uniform(0, 0.2)), [this, job] { cancel(job); });
    }
}

void Users::poll(const UserJobPtr& job) {
    net::Request request;
    request.target = "/submissions/" + job->spec.uid;
    const auto asked_at = events_.now();
    const auto node = controllers_.pick_any();
    controllers_.send_request(node, "", std::move(request), poll_timeout,
                              [this, job, asked_at, node](unsigned http_status, const std::string& body) {
                                  if (http_status == 200) {
                                      const auto status = status_in(body);
                                      record_status(job->spec.uid, status, asked_at, node);
                                      poll_answered(job, status);
                                  } else if (http_status == 404) {
                                      checker_.told_unknown(job->spec.uid);
                                  }
                                  // Users poll a finished job now and then.
                                  events_.after(job->finished ? Seconds(events_.uniform(20, 60)) : poll_interval,
                                                [this, job] { poll(job); });
                              });
}

void Users::poll_answered(const UserJobPtr& job, const std::string& status) {
    job->answered_at = events_.now();
    if (unanswered_since_) {
        const Seconds waited = events_.now() - *unanswered_since_;
        result_.answers_after = std::max(result_.answers_after, waited.count());
        unanswered_since_.reset();
    }
    count_final_status(job, status);
    job->finished = job->finished || status == "done" || status == "aborted";
}

void Users::cancel(const UserJobPtr& job) {
    if (job->finished && !job->done) return;
    job->cancelling = true;
    checker_.asked_to_cancel(job->spec.uid);
    net::Request request;
    request.verb = net::http::verb::post;
    request.target = "/submissions/" + job->spec.uid + "/cancel";
    const auto asked_at = events_.now();
    const auto node = controllers_.pick_any();
    controllers_.send_request(node, "", std::move(request), submission_timeout,
                              [this, job, asked_at, node](unsigned http_status, const std::string& body) {
                                  if (http_status == 200) {
                                      const auto status = status_in(body);
                                      record_status(job->spec.uid, status, asked_at, node);
                                      cancel_answered(job, status);
                                      return;
                                  }
                                  if (http_status == 404) checker_.told_unknown(job->spec.uid);
                                  events_.after(Seconds(events_.uniform(1, 2)), [this, job] { cancel(job); });
                              });
}

void Users::cancel_answered(const UserJobPtr& job, const std::string& status) {
    job->answered_at = events_.now();
    count_final_status(job, status);
    job->finished = true;
}

void Users::count_final_status(const UserJobPtr& job, const std::string& status) {
    if (job->finished) return;
    if (status == "done") {
        ++result_.done;
        job->done = true;
    }
    if (status == "aborted") ++result_.cancelled;
}

void Users::record_status(const std::string& uid, const std::string& status, TimePoint asked_at, std::size_t node) {
    const auto before = checker_.cancelled_running();
    result_.words += checker_.final_told(uid);
    checker_.told(uid, status, asked_at);
    if (checker_.cancelled_running() != before) running_job_cancelled(node);
}

}  // namespace flintdale::simulator
