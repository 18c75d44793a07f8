// What a simulated run measured, and how it is printed. The same for the same scenario and seed, on any machine.
#pragma once
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace flintdale::simulator {

// The service that one job class or team received in a run.
struct ServiceStats {
    std::size_t jobs = 0, done = 0, cancelled = 0;  // accepted jobs only
    std::vector<double> waits;                      // seconds until every task of a job had been on a machine
    double longest_idle = 0;                        // seconds with unfinished jobs and none of their tasks running
    // Of the jobs that count (not cancelled, and accepted long enough ago): those with every task on a machine in time.
    double share = 1;
    std::size_t counted = 0, served = 0;
    // The largest jobs, of at least three quarters of the class's greatest number of tasks: all of one on machines
    // within four minutes.
    std::size_t largest = 0, largest_served = 0;

    // Whether less than half of the jobs were served in time; only with enough jobs to tell.
    bool starved() const { return counted >= 4 && share < 0.5; }
    bool largest_starved() const { return largest >= 4 && largest_served * 2 < largest; }
};

// The result of one run. All durations are in seconds of virtual time.
struct RunResult {
    std::uint64_t seed = 0;
    std::map<std::string, unsigned> broken;    // rule -> number of violations
    std::map<std::string, std::string> first;  // rule -> description of its first violation
    std::size_t accepted = 0, done = 0, cancelled = 0, forgotten = 0;
    std::size_t machines = 0, started = 0, lease_kills = 0, losses = 0;
    std::size_t lost_keys = 0;          // keys erased without any sign to the controllers
    std::size_t cancelled_running = 0;  // jobs with tasks on machines when their users were told of the cancellation
    double longest_gone = 0;            // from then until the last such task was gone
    // Whether a rare combination came about: a leader that the store refused, or that could not reach it, answered
    // workers; meanwhile another controller told users that jobs with running tasks are cancelled; then an outage for
    // all, longer than cancel_s, began while workers were still with that leader.
    std::size_t met_cancelled = 0, met_workers = 0, met_answers = 0;
    std::size_t elections = 0;             // terms that began, the first included
    std::size_t late_starts = 0;           // tasks that started over a second after their user was told
    std::size_t called_off_at_end = 0;     // jobs that were cancelled at the end of their last task
    std::size_t odd = 0, odd_refused = 0;  // invalid submissions; those answered with 400 or 422
    double longest_left = 0;               // longest wait of a job beside free room, after all faults had ended
    std::size_t words = 0;                 // answers about jobs whose final status had been told before
    std::size_t relayed = 0;               // messages with relayed heartbeats or answers
    // How often a controller that was cut from the store and its peers for five seconds answered the question whether
    // it is ready, and how often it said yes.
    std::size_t asked_alone = 0, ready_alone = 0;
    std::uint64_t rebuilt = 0;  // how often the records were rebuilt
    double undisturbed = 1;     // share of the running tasks that a loss of data did not disturb; the worst loss
    double placing_after = -1;  // from a loss of data to the next start of a task, the longest; -1: none
    double answers_after = -1;  // from a loss of data to the next answer to a poll
    std::map<std::string, double> served;  // class -> share of its jobs that were served in time
    std::map<std::string, double> team_served;
    std::map<std::string, ServiceStats> classes, teams;
    std::vector<std::string> left_behind;  // starved classes and teams: the run failed
    std::vector<std::string> faults;       // a description of each injected fault
};

// One line of JSON.
std::string to_line(const RunResult& result);
// A table for a person.
std::string to_text(const RunResult& result);

}  // namespace flintdale::simulator
