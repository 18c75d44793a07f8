// Carries out faults: each kind by a small function of its own, found in a table. When which fault comes is decided in
// fault_schedule.hpp.
#pragma once
#include <functional>
#include <optional>
#include <vector>

#include "simulator/controllers.hpp"
#include "simulator/fault.hpp"
#include "simulator/odd_requests.hpp"
#include "simulator/users.hpp"

namespace flintdale::simulator {

class FaultInjector {
  public:
    FaultInjector(Events& events, const Scenario& scenario, const config::Settings& settings, KeyValueStore& store,
                  Controllers& controllers, Fleet& fleet, Users& users, OddRequests& odd_requests, RunResult& result);

    // Begins the fault now, and plans its end.
    void inject(const Fault& fault);
    // The controller that led when the store was first taken from it alone, while that fault lasts.
    std::optional<std::size_t> isolated_leader() const { return isolated_leader_; }

    // Called just before the store loses data.
    std::function<void()> data_lost;

  private:
    using Handler = void (FaultInjector::*)(const Fault&);
    static Handler handler_of(FaultKind kind);

    void erase_store(const Fault& fault);
    void roll_back_store(const Fault& fault);
    void erase_keys(const Fault& fault);
    void revert_keys(const Fault& fault);
    void corrupt_keys(const Fault& fault);
    void begin_data_loss();
    void begin_store_outage(const Fault& fault);
    void refuse_store(const Fault& fault);
    void partition_store(const Fault& fault);
    void delay_commits(const Fault& fault);
    void expire_leases(const Fault& fault);
    void crash_controllers(const Fault& fault);
    void freeze_controllers(const Fault& fault);
    void isolate_controllers(const Fault& fault);
    void cut_workers(const Fault& fault);
    void cut_peers(const Fault& fault);
    void cut_zone(const Fault& fault);
    void delay_messages(const Fault& fault);
    void begin_cloud_outage(const Fault& fault);
    void kill_machines(const Fault& fault);
    void hang_machines(const Fault& fault);
    void cut_machines(const Fault& fault);
    void lose_answers(const Fault& fault);
    void lose_heartbeats(const Fault& fault);
    void repeat_heartbeats(const Fault& fault);
    void begin_burst(const Fault& fault);
    void cancel_running(const Fault& fault);
    void cancel_at_completion(const Fault& fault);
    void send_odd_requests(const Fault& fault);

    std::vector<std::size_t> targets(const Fault& fault) const;
    // Breaks that link of the fault's targets for its duration.
    void break_link(const Fault& fault, Controllers::Link link);
    void at_end_of(const Fault& fault, std::function<void()> action) {
        events_.after(fault.duration, std::move(action));
    }
    void record(const Fault& fault);
    void note_isolated_leader(const Fault& fault);
    // Whether workers were with a leader cut off from the store when an outage for all began.
    void note_workers_of_isolated_leader(const Fault& fault);
    // Asks the controller every few seconds whether it is ready.
    void probe_readiness(std::size_t node, TimePoint until);

    Events& events_;
    const Scenario& scenario_;
    const config::Settings& settings_;
    KeyValueStore& store_;
    Controllers& controllers_;
    Fleet& fleet_;
    Users& users_;
    OddRequests& odd_requests_;
    RunResult& result_;
    std::optional<std::size_t> isolated_leader_;
    TimePoint isolated_since_{};
};

}  // namespace flintdale::simulator
