// Three whole controllers in a world of their own: state service, cloud, workers and users emulated in memory under a
// virtual time, from one seed, with troubles, and a checker that watches the rules from outside.
#pragma once
#include "app/controller.hpp"
#include "model/job.hpp"
#include "simulator/fleet.hpp"
#include "simulator/state_service.hpp"

namespace flintdale::simulator {

// What one class or team had of a run.
struct Served {
    std::size_t jobs = 0, done = 0, cancelled = 0;  // accepted ones
    std::vector<double> waits;                      // seconds until every task of a job had been on a machine
    double longest_idle = 0;                        // seconds with open work and nothing of it on any machine
    double share = 1;  // of the jobs that were not cancelled and could be: every task on a machine within 90 s
    std::size_t counted = 0;
    // The largest jobs, of a quarter of the class's greatest number of tasks at most below it: all of one on machines
    // within four minutes.
    std::size_t largest = 0, largest_served = 0;
    bool behind() const { return counted >= 4 && share < 0.5; }
    bool largest_behind() const { return largest >= 4 && largest_served * 2 < largest; }
};

// What came of a run; the same for the same scenario and seed, on any machine.
struct Outcome {
    std::uint64_t seed = 0;
    std::map<std::string, unsigned> broken;  // rule -> how often
    std::map<std::string, std::string> first;
    std::size_t accepted = 0, done = 0, cancelled = 0, forgotten = 0;
    std::size_t machines = 0, started = 0, lease_kills = 0, losses = 0;
    std::size_t lost_keys = 0;          // that went without a sign
    std::size_t cancelled_running = 0;  // jobs with tasks on machines when their users were told
    double longest_gone = 0;            // seconds from then until the last such task was gone
    // Whether it came to this: a leader that the state service refused or could not be reached by answered workers, and
    // another controller told users meanwhile that jobs with running tasks are cancelled; an outage for all, longer
    // than cancel_s, began while workers were with that leader.
    std::size_t met_cancelled = 0, met_workers = 0, met_answers = 0;
    std::size_t elections = 0;             // terms that began, the first included
    std::size_t late_starts = 0;           // tasks that started over a second after their user was told
    std::size_t called_off_at_end = 0;     // jobs that were, at the end of their last task
    std::size_t odd = 0, odd_refused = 0;  // submissions of jobs that cannot run or lack a field; answered 400 or 422
    double longest_left = 0;               // seconds that a job waited beside room, once all troubles were over
    std::size_t words = 0;                 // answers about jobs of which a final word had been told before
    std::size_t relayed = 0;               // messages with relayed reports or answers
    // How often a controller that was cut from the state service and its peers for five seconds was asked whether it is
    // ready, and said so.
    std::size_t asked_alone = 0, ready_alone = 0;
    std::uint64_t rebuilt = 0;  // times that the records were
    double undisturbed = 1;     // share of what ran when data were lost that went on where it was; the worst loss
    double placing_after = -1;  // seconds from a loss of data to the next start of a task, the longest; -1: none
    double answers_after = -1;  // to the next answer to a poll
    std::map<std::string, double> served;  // class -> share of its tasks that started in time
    std::map<std::string, double> team_served;
    std::map<std::string, Served> classes, teams;
    std::vector<std::string> left_behind;  // classes and teams of which less than half was served: a failed day
    std::vector<std::string> troubles;
};

class Simulation {
  public:
    Simulation(const Scenario& scenario, std::uint64_t seed);
    ~Simulation();
    Outcome play();

  private:
    class CloudLink;
    class WorkersLink;
    struct Node;
    struct UserJob {
        model::JobSpec spec;
        TimePoint submitted{}, accepted_at{};
        bool accepted = false, over = false, cancelling = false, done = false, ended = false;
        Seconds cancel_after{-1};
        TimePoint answered{};           // any question about it, last
        TimePoint no_room{};            // when it last waited for room or for its team, or did not wait
        Fleet::Room beside;             // what has been free all the time since then
        std::optional<Seconds> waited;  // from acceptance until every task had been on a machine
    };
    void start_node(std::size_t n);
    void end_node(std::size_t n, Seconds back_after);
    void ask(std::size_t node, const std::string& zone, net::Request request, Seconds patience,
             std::function<void(unsigned, const std::string&)> done);
    bool reaches(const std::string& zone, std::size_t node) const;
    std::size_t any_node();
    void broadcast_status(std::size_t from, const peer::StatusMessage& status);
    bool relay(std::size_t from, const std::string& member, const peer::RelayMessage& message);
    // A message between controllers: it arrives a little later, if nothing is cut.
    bool peers_reach(std::size_t from, std::size_t to) const;
    void post(std::size_t to, std::function<void(app::Controller&)> what);

    void arrivals(const JobClass& c);
    void new_job(const JobClass& c);
    void submit(const std::shared_ptr<UserJob>& job, TimePoint until);
    void poll(const std::shared_ptr<UserJob>& job);
    void cancel(const std::shared_ptr<UserJob>& job);
    void submit_again(const std::shared_ptr<UserJob>& job);
    void ask_of_nobody();
    void again(const std::shared_ptr<UserJob>& job, double unlike);
    void cancel_now(const Fault& t);
    void look_for_ends();
    void odd_requests(TimePoint until);
    void unsound_job(std::size_t kind);

    void draw_troubles();
    void trouble(const Fault& t);
    void plan(std::size_t n);
    void draw_pairs();
    void ask_whether_ready(std::size_t n, TimePoint until);
    void step_seen(const std::string& step);
    void look_at_leaders();
    void told(const std::string& uid, const std::string& word, TimePoint asked, std::size_t node);
    void look_for_forgotten();
    void look_for_waiting();
    void loses_data(const Fault& t);
    std::vector<std::size_t> nodes_of(const Fault& t) const;
    void look();
    void look_at_jobs();
    std::string settings_text(std::size_t n) const;

    const Scenario& scenario_;
    Events events_;
    std::vector<config::Settings> settings_;
    config::OperatorSettings operator_settings_;
    Keys keys_;
    bool outage_ = false;
    Checker checker_;
    Fleet fleet_;
    std::vector<std::unique_ptr<Node>> nodes_;
    std::set<std::string> cut_zones_;
    std::vector<std::shared_ptr<UserJob>> jobs_;
    std::uint64_t uids_ = 0;
    Outcome outcome_;
    std::optional<TimePoint> lost_at_, unanswered_since_;
    std::map<std::string, TimePoint> idle_since_;  // "class x" or "team x" with open work and nothing on machines
    double burst_ = 1, declared_at_ = 0, late_writes_ = 0, held_ = 0, cancels_at_end_ = 0;
    Seconds held_most_{0};
    std::vector<std::pair<std::string, std::function<void()>>> awaited_;  // what comes after a step not seen yet
    std::set<std::size_t> leading_;
    std::optional<std::size_t> alone_;  // who led when the state service was taken from it alone
    TimePoint alone_since_{}, troubles_over_{};
};

// One line of JSON.
std::string to_line(const Outcome& outcome);
// The same for a person.
std::string to_text(const Outcome& outcome);

}  // namespace flintdale::simulator
