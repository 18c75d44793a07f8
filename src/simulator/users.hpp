// The users of a simulated cluster: they submit jobs, poll them, repeat submissions and cancel. Every answer that tells
// a job's status goes to the checker. Knows the controllers by their HTTP interface only.
#pragma once
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "simulator/checker.hpp"
#include "simulator/controllers.hpp"
#include "simulator/fleet.hpp"
#include "simulator/result.hpp"

namespace flintdale::simulator {

// A job as its user and the observer of the run see it.
struct UserJob {
    model::JobSpec spec;
    TimePoint accepted_at{};
    bool accepted = false, cancelling = false;
    bool finished = false;  // its user has been told that it is done or aborted
    bool done = false;      // its user has been told that it is done
    bool completion_seen = false;
    std::optional<Seconds> cancel_after;  // from acceptance; set for jobs that are cancelled
    TimePoint answered_at{};              // the last answer to any question about it
    std::optional<Seconds> waited;        // from acceptance until every task had been on a machine
    // For the check of jobs that wait beside free room: when it last had no room or did not wait, and the room that
    // has been free all the time since then.
    TimePoint last_without_room{};
    Fleet::Room free_since;
};
using UserJobPtr = std::shared_ptr<UserJob>;

class Users {
  public:
    Users(Events& events, const Scenario& scenario, Controllers& controllers, Fleet& fleet, Checker& checker,
          RunResult& result);

    // Plans the jobs at the start of the run and the arrivals after it.
    void start();
    const std::vector<UserJobPtr>& jobs() const { return jobs_; }

    // Sends the same submission again, or, with that probability for each of two changes, one that by itself would be
    // refused. An accepted job stays accepted, whatever its repetition says, and its status is told as it is.
    void repeat_submission(const UserJobPtr& job, double change_probability);
    // Cancels the job, and tries again until the controllers answer.
    void cancel(const UserJobPtr& job);
    // Cancels up to so many jobs that run and have long to go, all within a fifth of a second. Some of their machines
    // hang for that time.
    void cancel_running_jobs(std::size_t most, Seconds machines_hang);
    // Each job that arrives comes in so many copies.
    void set_arrival_factor(double factor) { arrival_factor_ = factor; }
    // Measures the time until the next answer to a poll.
    void measure_next_answer() { unanswered_since_ = events_.now(); }

    // Called when a user is first told, by that controller, that a job with running tasks is cancelled.
    std::function<void(std::size_t node)> running_job_cancelled;

  private:
    void plan_arrival(const JobClass& job_class);
    void create_job(const JobClass& job_class);
    void submit(const UserJobPtr& job, TimePoint until);
    void submission_accepted(const UserJobPtr& job);
    void poll(const UserJobPtr& job);
    void poll_answered(const UserJobPtr& job, const std::string& status);
    void cancel_answered(const UserJobPtr& job, const std::string& status);
    // Counts the first answer with the job's final status.
    void count_final_status(const UserJobPtr& job, const std::string& status);
    void record_status(const std::string& uid, const std::string& status, TimePoint asked_at, std::size_t node);

    Events& events_;
    const Scenario& scenario_;
    Controllers& controllers_;
    Fleet& fleet_;
    Checker& checker_;
    RunResult& result_;
    std::vector<UserJobPtr> jobs_;
    std::uint64_t submitted_ = 0;
    double arrival_factor_ = 1;
    std::optional<TimePoint> unanswered_since_;
};

// The status in the body of a controller's answer.
std::string status_in(const std::string& body);
// Whether a submission was accepted, now or earlier; whether it was refused as invalid.
constexpr bool is_accepted(unsigned http_status) { return http_status == 200 || http_status == 201; }
constexpr bool is_invalid(unsigned http_status) { return http_status == 400 || http_status == 422; }

// How long a user waits for the answer to a submission or cancellation, and to a poll.
constexpr Seconds submission_timeout{5}, poll_timeout{2};

}  // namespace flintdale::simulator
