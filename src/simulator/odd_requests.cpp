#include "simulator/odd_requests.hpp"

#include <fmt/format.h>

#include <boost/json.hpp>

#include "simulator/jobs.hpp"

namespace flintdale::simulator {

namespace json = boost::json;

OddRequests::OddRequests(Events& events, const Scenario& scenario, Controllers& controllers, Checker& checker,
                         Users& users, RunResult& result)
    : events_(events),
      scenario_(scenario),
      controllers_(controllers),
      checker_(checker),
      users_(users),
      result_(result) {}

void OddRequests::poll_unknown_jobs() {
    net::Request request;
    const auto uid = fmt::format("run-{:07}", 2'000'000 + events_.pick(1'000'000));
    request.target = "/submissions/" + uid;
    controllers_.send_request(controllers_.pick_any(), "", std::move(request), poll_timeout,
                              [this, uid](unsigned http_status, const std::string& body) {
                                  if (http_status == 200) checker_.told(uid, status_in(body), events_.now());
                              });
    events_.after(Seconds(3), [this] { poll_unknown_jobs(); });
}

void OddRequests::send_until(TimePoint until) {
    if (events_.now() > until) return;
    if (!users_.jobs().empty()) {
        const auto job = users_.jobs()[events_.pick(users_.jobs().size())];
        if (job->accepted && !job->finished) users_.repeat_submission(job, 0.4);
        if (job->done) users_.cancel(job);
    }
    submit_invalid_job(static_cast<Defect>(events_.pick(defects)));
    events_.after(Seconds(events_.uniform(0.2, 1)), [this, until] { send_until(until); });
}

void OddRequests::submit_invalid_job(Defect defect) {
    auto spec = scenario_.jobs[events_.pick(scenario_.jobs.size())].like;
    spec.uid = fmt::format("run-{:07}", 4'000'000 + events_.pick(5'000'000));
    spec.image = "x";
    if (defect == Defect::too_large) spec.need.cpus = 10'000;
    if (defect == Defect::unknown_zone) spec.zone = "nowhere";
    if (defect == Defect::unknown_machine_type) spec.types = {"unheard-of"};
    auto request = submission_request(spec);
    if (defect == Defect::missing_field || defect == Defect::negative_count) {
        auto body = json::parse(request.body).as_object();
        const char* fields[] = {"jobclass", "owner", "shape", "shards", "cores", "bundle", "one_zone", "flush_s"};
        if (defect == Defect::missing_field) body.erase(fields[events_.pick(std::size(fields))]);
        if (defect == Defect::negative_count) body["shards"] = -1;
        request.body = json::serialize(body);
    }
    ++result_.odd;
    controllers_.send_request(controllers_.pick_any(), "", std::move(request), submission_timeout,
                              [this, uid = spec.uid](unsigned http_status, const std::string&) {
                                  if (is_accepted(http_status)) checker_.accepted_invalid(uid);
                                  result_.odd_refused += is_invalid(http_status);
                              });
}

void OddRequests::check_completions() {
    if (cancelled_at_completion_ <= 0) return;
    for (const auto& job : users_.jobs()) {
        if (!job->accepted || job->completion_seen || !checker_.all_done(job->spec.uid)) continue;
        job->completion_seen = true;
        if (!events_.chance(cancelled_at_completion_)) continue;
        ++result_.called_off_at_end;
        const auto soon = [this](auto action) { events_.after(Seconds(events_.uniform(0, 0.3)), action); };
        for (int i = 0; i < 2; ++i) {
            if (!job->cancelling) soon([this, job] { users_.cancel(job); });
            soon([this, job] { users_.repeat_submission(job, 0.3); });
        }
    }
}

}  // namespace flintdale::simulator
