// Fences machines that may still hold cancelled work while nobody who knows of the cancellation leads: the state
// service is out of reach, and the leader, if there is one, has not said that it heard. What such a machine holds ends
// with its lease, for a leader that does not know falls silent in time (lease_rule.hpp); but not if it hangs. So after
// half of cancel_s whoever knows asks each machine of the job, by the records as remembered, and has the cloud take
// back those that do not answer. That needs no leadership: a machine that is gone is gone for every leader, by the
// cloud's word.
//
// A leader that came late, with less time left than a report takes to be overdue, asks in the same way. And where all
// controllers have ended in an outage, nobody knows what was cancelled before: such a controller asks all machines that
// it has not heard, once it has waited for half of cancel_s.
//
// What is lost: other work on a machine that does not answer, which its lease or the next leader would mostly have
// ended as well; and no rule is touched. docs/design.md, Cancelled while the state service refuses.
#pragma once
#include <functional>
#include <map>
#include <set>

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
        // Whether somebody leads, or may by the records, who knows of all that was noted here until then.
        std::function<bool(model::TimePoint)> somebody_knows;
        // Machines that tasks of the job are placed on, by the records as they are remembered.
        std::function<std::set<std::string>(const std::string& uid)> machines_of;
        // Whether neither this life of the controller nor any that it hears has ever read the records.
        std::function<bool()> cut_off_from_store;
    };
    Fencer(net::Executor ex, cloud::Cloud& cloud, worker::Workers& workers, const config::Settings& settings,
           Callbacks callbacks);

    // The job was cancelled then, and that is known here from now on.
    void cancelled(const std::string& uid, model::TimePoint at);
    // A worker has reported.
    void heartbeat_received(const std::string& machine);
    awaitable<void> run();
    // One look: asks and fences what is due.
    awaitable<void> scan();
    std::size_t fenced() const { return fenced_; }

  private:
    struct Due {
        std::map<std::string, std::set<std::string>> jobs;  // machine -> jobs that it may hold
        model::TimePoint first{};                           // when the first of them was cancelled
    };
    Due due() const;
    // What a list shows that may hold anything, for all that anybody knows.
    Due unknown(const std::vector<model::ListedMachine>& listed) const;
    bool cut_off_from_store_for_long() const;
    awaitable<void> ask(std::string machine, std::string address, std::set<std::string> jobs);

    net::Executor ex_;
    cloud::Cloud& cloud_;
    worker::Workers& workers_;
    const config::Settings& settings_;
    Callbacks callbacks_;
    struct Cancelled {
        std::string uid;
        model::TimePoint noted;
    };
    std::multimap<model::TimePoint, Cancelled> cancelled_;  // by when they were, for as long as cancel_s
    std::map<std::string, std::set<std::string>> clear_;    // machine -> jobs that are known to be gone from it
    std::set<std::string> silent_;                          // machines that did not answer in this look
    std::map<std::string, model::TimePoint> heard_;         // while blind: machines, when they last reported
    model::TimePoint began_;
    std::size_t asking_ = 0, fenced_ = 0;
};

}  // namespace flintdale::app
