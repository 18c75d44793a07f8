// Checks the rules of the protocol from outside: it compares what is on machines with what users are told. Knows
// nothing of controllers.
#pragma once
#include <map>
#include <set>

#include "config/settings.hpp"
#include "model/job.hpp"
#include "placement/planner.hpp"
#include "simulator/events.hpp"

namespace flintdale::simulator {

using TaskName = std::pair<std::string, std::uint32_t>;

// Where a task is.
struct Place {
    std::string machine, type, zone;
    bool spot = false;
};

// Receives what happens to tasks on machines.
class TaskObserver {
  public:
    virtual ~TaskObserver() = default;
    virtual void arrives(const TaskName& task, const Place& place) = 0;  // its image is on the machine
    virtual void leaves(const TaskName& task, const std::string& machine) = 0;
    virtual void completed(const TaskName& task) = 0;
    // The worker has received a command to run it. Optional: no rule depends on it.
    virtual void ordered(const TaskName&) {}
};

// Counts violations of the rules. Ids of jobs are those of their submissions.
class Checker : public TaskObserver {
  public:
    Checker(Events& events, const config::Settings& settings) : events_(events), settings_(settings) {}

    // --- what is the case ---
    void submitted(const model::JobSpec& spec) { jobs_[spec.uid].spec = spec; }
    void arrives(const TaskName& task, const Place& place) override;
    void leaves(const TaskName& task, const std::string& machine) override;
    void completed(const TaskName& task) override { jobs_[task.first].done.insert(task.second); }
    bool all_done(const std::string& uid) const;
    std::size_t ever(const std::string& uid) const;  // tasks that were on a machine at some time
    std::size_t on_now(const std::string& uid) const;

    // --- what users are told ---
    void accepted(const std::string& uid) { jobs_[uid].accepted = true; }
    // `asked`: when the user sent the question. Answers overtake one another; what was asked before a status was told
    // may be answered with an older one.
    void told(const std::string& uid, const std::string& status, TimePoint asked);
    void told_unknown(const std::string& uid);  // 404, or 400 or 422 to a repetition
    void accepted_invalid(const std::string& uid) { record_violation("unsound", uid + " was accepted"); }
    std::size_t done_of(const std::string& uid) const {
        const auto it = jobs_.find(uid);
        return it == jobs_.end() ? 0 : it->second.done.size();
    }
    // Whether so many more tasks of the job's kind would keep its team within its limit.
    bool within_limit(const model::JobSpec& spec, std::size_t tasks) const;
    void left_waiting(const std::string& uid) { record_violation("left_waiting", uid); }
    void unanswered(const std::string& uid);  // no question about it was answered for long after all faults
    // Whether its user has been told that it is over.
    bool final_told(const std::string& uid) const {
        const auto it = jobs_.find(uid);
        return it != jobs_.end() && !it->second.final_status.empty();
    }
    void asked_to_cancel(const std::string& uid) { jobs_[uid].cancel_asked = true; }

    void check_deadlines();  // now and then: what may not last too long

    // Rule -> how often it was broken; a line on the first of each.
    const std::map<std::string, unsigned>& broken() const { return broken_; }
    const std::map<std::string, std::string>& first() const { return first_; }
    // Tasks that came to be on a machine though their user had been told for over a second that they are cancelled.
    std::size_t late_starts() const { return late_starts_; }
    std::size_t forgotten() const { return forgotten_.size(); }  // jobs
    // Jobs of which tasks were on machines when their users were told that they are cancelled, and the longest time
    // until the last such task was gone.
    std::size_t cancelled_running() const { return cancelled_running_; }
    Seconds longest_gone() const { return longest_gone_; }

  private:
    struct Job {
        model::JobSpec spec;
        bool accepted = false, cancel_asked = false;
        std::string final_status;  // done or aborted, once told
        TimePoint told_at{};
        std::set<std::uint32_t> done, ever;
        std::map<std::uint32_t, Place> on;
    };
    void record_violation(const std::string& rule, const std::string& what);

    Events& events_;
    const config::Settings& settings_;
    std::map<std::string, Job> jobs_;
    std::map<std::string, placement::Resources> use_;
    std::map<std::string, unsigned> broken_;
    std::map<std::string, std::string> first_;
    std::set<std::string> forgotten_;
    std::size_t cancelled_running_ = 0, late_starts_ = 0;
    Seconds longest_gone_{0};
};

}  // namespace flintdale::simulator
