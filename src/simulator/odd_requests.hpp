// Requests that ordinary users seldom send: repeated and invalid submissions, questions about unknown jobs,
// cancellations of jobs that are done or just completing.
#pragma once
#include "simulator/users.hpp"

namespace flintdale::simulator {

class OddRequests {
  public:
    OddRequests(Events& events, const Scenario& scenario, Controllers& controllers, Checker& checker, Users& users,
                RunResult& result);

    // Polls a job that does not exist, now and every few seconds.
    void poll_unknown_jobs();
    // Until that time: repeats submissions of unfinished jobs, cancels jobs that are done, and submits invalid jobs.
    void send_until(TimePoint until);
    // That share of the jobs is cancelled, and submitted again, just when the last task completes.
    void set_cancelled_at_completion(double share) { cancelled_at_completion_ = share; }
    // Looks for jobs whose last task has completed since the last call; called after each step of time.
    void check_completions();

  private:
    // What is wrong with an invalid submission. The order is that of the random draws.
    enum class Defect { too_large, unknown_zone, unknown_machine_type, missing_field, negative_count };
    static constexpr std::size_t defects = 5;
    void submit_invalid_job(Defect defect);

    Events& events_;
    const Scenario& scenario_;
    Controllers& controllers_;
    Checker& checker_;
    Users& users_;
    RunResult& result_;
    double cancelled_at_completion_ = 0;
};

}  // namespace flintdale::simulator
