// Fences machines that may still run cancelled work while no controller that knows of the cancellation leads: the state
// service is unreachable, and the leader, if there is one, has not said that it received the cancellation. Tasks on
// such a machine normally end with its lease, for a leader that does not know of the cancellation stops answering in
// time (lease_rule.hpp); but not if the machine hangs. So after half of the cancel deadline each controller that knows
// of the cancellation probes every machine of the job, by the records as remembered, and has the cloud release those
// that do not answer. That needs no leadership: a released machine is gone for every leader, by the cloud's own list.
//
// A leader that came late, with less time left than a heartbeat takes to be overdue, probes in the same way. And where
// all controllers have ended in an outage, none knows what was cancelled before: such a controller probes all machines
// from which it has received no heartbeat, once it has waited for half of the cancel deadline.
//
// The cost: other work on a machine that does not answer, which its lease or the next leader would mostly have ended as
// well; no rule is broken. docs/design.md, Cancelled while the state service refuses.
#pragma once
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cloud/client.hpp"
#include "config/settings.hpp"
#include "model/clock.hpp"
#include "model/machine.hpp"
#include "worker/client.hpp"

namespace flintdale::app {

using net::awaitable;

class Fencer {
  public:
    struct Callbacks {
        // Whether a controller leads, or may be elected by the records, that knows of all cancellations noted here
        // until then.
        std::function<bool(model::TimePoint noted)> cancellations_are_handled;
        // Machines that tasks of the job are placed on, by the records as they are remembered.
        std::function<std::set<std::string>(const std::string& uid)> machines_of;
        // Whether neither this process of the controller nor any peer that it hears has ever read the records.
        std::function<bool()> cut_off_from_store;
    };
    Fencer(net::Executor ex, cloud::Cloud& cloud, worker::Workers& workers, const config::Settings& settings,
           Callbacks callbacks);

    // The job was cancelled at that time, and that is known here from now on.
    void cancelled(const std::string& uid, model::TimePoint at);
    // A worker has sent a heartbeat.
    void heartbeat_received(const std::string& machine);
    // Scans again and again. Never ends.
    awaitable<void> run();
    // Probes and fences once what is due.
    awaitable<void> scan();
    // Machines fenced so far.
    std::size_t fenced() const { return fenced_; }

  private:
    using JobsByMachine = std::map<std::string, std::set<std::string>>;  // jobs that a machine may run
    using Addresses = std::map<std::string, std::string>;                // by machine
    struct Candidates {
        JobsByMachine jobs;
        model::TimePoint first_cancelled{};  // when the first of the jobs was
    };
    struct Cancellation {
        std::string uid;
        model::TimePoint noted;  // when this controller learned of it
    };

    void forget_expired_cancellations();
    // Machines that may run jobs whose cancellation no controller handles.
    Candidates machines_with_cancelled_jobs() const;
    // Machines that may run anything, for all that any controller knows.
    Candidates machines_without_heartbeat(const std::vector<model::ListedMachine>& listed) const;
    bool cut_off_from_store_for_long() const;
    // What is still to be fenced after probing: a controller that knows of the cancellations may lead by now.
    JobsByMachine still_due(Candidates candidates, bool cut_off, const std::set<std::string>& unresponsive_before);

    // Without addresses, of a list that did not come, it probes nothing.
    awaitable<void> probe_all(JobsByMachine candidates, std::optional<Addresses> addresses);
    awaitable<void> probe(std::string machine, std::string address, std::set<std::string> jobs);
    awaitable<void> release_unresponsive(JobsByMachine jobs);

    net::Executor ex_;
    cloud::Cloud& cloud_;
    worker::Workers& workers_;
    const config::Settings& settings_;
    Callbacks callbacks_;
    std::multimap<model::TimePoint, Cancellation> cancellations_;  // by when; for as long as the cancel deadline
    JobsByMachine cleared_;                                        // jobs that are known to be gone from a machine
    std::set<std::string> unresponsive_;                           // machines that did not answer in the last scan
    std::map<std::string, model::TimePoint> last_heartbeats_;      // of machines, while cut off from the store
    model::TimePoint started_at_;
    std::size_t probes_under_way_ = 0, fenced_ = 0;
};

}  // namespace flintdale::app
