// Users who submit jobs, ask about them and cancel some, through the load balancer.
#pragma once
#include <unordered_map>

#include "load_test/latency.hpp"
#include "load_test/load_balancer.hpp"
#include "load_test/ordered_checker.hpp"
#include "load_test/plan.hpp"
#include "model/clock.hpp"
#include "model/job.hpp"
#include "simulator/jobs.hpp"

namespace flintdale::load_test {

class Users {
  public:
    struct Counts {
        std::uint64_t submitted = 0, accepted = 0, given_up = 0, done = 0, cancelled = 0;
        std::uint64_t unavailable = 0;  // answers of 503 and 429
        std::uint64_t bytes_sent = 0, bytes_received = 0;
    };
    // `upload` is told of each job before it is submitted.
    using Upload = std::function<void(const model::JobSpec&, Seconds runs)>;
    Users(net::Executor ex, const Plan& plan, simulator::Events& luck, OrderedChecker& checker, Upload upload);
    void start();
    // The first task of the job was ordered to run.
    void ordered(const std::string& uid, model::TimePoint at);

    const Counts& counts() const { return counts_; }
    const Latencies& submissions() const { return submissions_; }      // first attempt to acceptance
    const Latencies& starts() const { return starts_; }                // acceptance to the first order
    const Latencies& urgent_starts() const { return urgent_starts_; }  // of critical jobs alone

  private:
    struct Job {
        model::JobSpec spec;
        model::TimePoint accepted_at{}, answered_at{};
        std::optional<model::TimePoint> ordered_at;
        Seconds cancel_after{-1};
        bool accepted = false, over = false;
        UserConnection* user = nullptr;
    };
    using JobPtr = std::shared_ptr<Job>;

    awaitable<void> arrivals(const simulator::JobClass& job_class);
    awaitable<void> first_jobs(const simulator::JobClass& job_class);
    // `left`: the share of its run time that is left to each of its tasks.
    void new_job(const simulator::JobClass& job_class, double left);
    awaitable<void> live(JobPtr job);
    awaitable<bool> submit(JobPtr job);
    awaitable<void> poll(JobPtr job);
    awaitable<void> cancel_later(JobPtr job);
    awaitable<net::HttpAnswer> ask(JobPtr job, net::http::verb verb, std::string target, std::string body,
                                   model::Clock::duration limit);
    void told(const JobPtr& job, const net::HttpAnswer& answer, model::TimePoint asked);
    void note_start(Job& job);

    net::Executor ex_;
    const Plan& plan_;
    simulator::Events& luck_;
    OrderedChecker& checker_;
    Upload upload_;
    LoadBalancer balancer_;
    std::vector<std::unique_ptr<UserConnection>> connections_;
    std::unordered_map<std::string, JobPtr> jobs_;
    std::uint64_t numbers_ = 0;
    model::TimePoint last_answer_{};
    Counts counts_;
    Latencies submissions_, starts_, urgent_starts_;
};

}  // namespace flintdale::load_test
