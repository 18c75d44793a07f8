// Fences machines that may still run cancelled work while no leader handles the cancellation: the state service is
// unreachable, and the leader, if there is one, has not confirmed that it received the cancellation.
//
// Tasks on such a machine normally end with its lease, because a leader that does not know the cancellation stops
// answering in time (scheduler/lease_rule.hpp). On a machine that hangs they do not. So after half of the cancel
// deadline each controller that knows the cancellation probes every machine of the job, by its replica of the records,
// and has the cloud release those that do not respond. That needs no leadership: a released machine disappears from the
// cloud's list, which every leader reads.
//
// Machines are probed in two more cases. A new leader probes those of a job that is due sooner than a missing heartbeat
// would be overdue. If all controllers have ended during an outage, none knows the earlier cancellations; then a
// controller waits for half of the cancel deadline and probes all machines from which it has received no heartbeat.
//
// The cost is other work on an unresponsive machine. The lease or the next leader would mostly have ended that work as
// well, and no guarantee is broken. See docs/design.md, "Cancelled while the state service refuses".
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
        // Whether a controller that knows all cancellations noted here until `noted` leads, or may be elected through
        // the state service.
        std::function<bool(model::TimePoint noted)> cancellations_are_handled;
        // Machines on which tasks of the job are placed, by this controller's replica of the records.
        std::function<std::set<std::string>(const std::string& uid)> machines_of;
        // Whether the state service is unreachable, and neither this process nor any peer with a recent status has read
        // the records.
        std::function<bool()> cut_off_from_store;
    };
    Fencer(net::Executor ex, cloud::Cloud& cloud, worker::Workers& workers, const config::Settings& settings,
           Callbacks callbacks);

    // The job was cancelled at time `at`; this controller has just learned of it.
    void cancelled(const std::string& uid, model::TimePoint at);
    // The worker on this machine has sent a heartbeat.
    void heartbeat_received(const std::string& machine);
    // Scans once a second. Never returns.
    awaitable<void> run();
    // Probes the machines that are due, once, and fences those that do not respond.
    awaitable<void> scan();
    // Machines fenced so far.
    std::size_t fenced() const { return fenced_; }

  private:
    using JobsByMachine = std::map<std::string, std::set<std::string>>;  // jobs that a machine may run
    using Addresses = std::map<std::string, std::string>;                // by machine
    struct Candidates {
        JobsByMachine jobs;
        model::TimePoint first_cancelled{};  // the earliest cancellation among the jobs
    };
    struct Cancellation {
        std::string uid;
        model::TimePoint noted;  // when this controller learned of it
    };

    void forget_expired_cancellations();
    // Machines that may run jobs whose cancellation no controller handles.
    Candidates machines_with_cancelled_jobs() const;
    // Running machines without a valid lease here. No controller knows their jobs.
    Candidates machines_without_heartbeat(const std::vector<model::ListedMachine>& listed) const;
    bool cut_off_from_store_for_long() const;
    // The machines still to be fenced after probing: a controller that knows the cancellations may lead by now.
    JobsByMachine machines_still_due(Candidates candidates, bool cut_off,
                                     const std::set<std::string>& unresponsive_before);

    // Probes nothing if `addresses` is nullopt, because the cloud's list could not be read.
    awaitable<void> probe_all(JobsByMachine candidates, std::optional<Addresses> addresses);
    awaitable<void> probe(std::string machine, std::string address, std::set<std::string> jobs);
    awaitable<void> release_unresponsive(JobsByMachine jobs);

    net::Executor ex_;
    cloud::Cloud& cloud_;
    worker::Workers& workers_;
    const config::Settings& settings_;
    Callbacks callbacks_;
    std::multimap<model::TimePoint, Cancellation>
        cancellations_;                                        // by time of cancellation; kept for the cancel deadline
    JobsByMachine cleared_;                                    // jobs that are known to have ended on a machine
    std::set<std::string> unresponsive_;                       // machines that did not answer in the last scan
    std::map<std::string, model::TimePoint> last_heartbeats_;  // of machines, while cut off from the store
    model::TimePoint started_at_;
    std::size_t probes_under_way_ = 0, fenced_ = 0;
};

}  // namespace flintdale::app
