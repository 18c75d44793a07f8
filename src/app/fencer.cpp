#include "app/fencer.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include "model/heartbeat.hpp"
#include "model/task.hpp"
#include "scheduler/lease_rule.hpp"

namespace flintdale::app {

using namespace std::chrono_literals;
using model::Clock;
using model::Seconds;

namespace {

constexpr auto scan_interval = 1s;
constexpr auto probe_poll_interval = 20ms;
// Before machines are fenced: time for a list of them and two probes of each.
constexpr Seconds probing_time{7};
// The same for a controller that knows nothing, and the seconds for which it may have been away.
constexpr Seconds probing_time_when_cut_off{12};
constexpr std::size_t max_probes_under_way = 200;  // sockets are scarce
constexpr std::size_t max_released_per_call = 100;
// Stands for the jobs of a machine of which no controller knows.
constexpr const char* any_job = "anything";

Clock::duration fencing_delay(const config::Settings& settings, Seconds earlier = Seconds(0)) {
    return model::to_clock(scheduler::give_up_silent_after(settings) - earlier);
}

}  // namespace

Fencer::Fencer(net::Executor ex, cloud::Cloud& cloud, worker::Workers& workers, const config::Settings& settings,
               Callbacks callbacks)
    : ex_(ex),
      cloud_(cloud),
      workers_(workers),
      settings_(settings),
      callbacks_(std::move(callbacks)),
      started_at_(Clock::now()) {}

void Fencer::cancelled(const std::string& uid, model::TimePoint at) {
    cancellations_.emplace(at, Cancellation{uid, Clock::now()});
}

void Fencer::heartbeat_received(const std::string& machine) {
    if (callbacks_.cut_off_from_store()) last_heartbeats_[machine] = Clock::now();
}

awaitable<void> Fencer::run() {
    for (;;) {
        co_await net::sleep_for(scan_interval);
        co_await scan();
    }
}

void Fencer::forget_expired_cancellations() {
    const auto now = Clock::now();
    const auto deadline = model::to_clock(settings_.cancel_deadline);
    while (!cancellations_.empty() && now - cancellations_.begin()->first > deadline)
        cancellations_.erase(cancellations_.begin());
}

Fencer::Candidates Fencer::machines_with_cancelled_jobs() const {
    Candidates candidates;
    const auto now = Clock::now();
    for (const auto& [cancelled_at, cancellation] : cancellations_) {
        const auto& uid = cancellation.uid;
        if (now < cancelled_at + fencing_delay(settings_, probing_time)) break;
        if (callbacks_.cancellations_are_handled(cancellation.noted)) continue;
        for (const auto& machine : callbacks_.machines_of(uid)) {
            const auto cleared = cleared_.find(machine);
            if (cleared != cleared_.end() && cleared->second.contains(uid)) continue;
            if (candidates.jobs.empty()) candidates.first_cancelled = cancelled_at;
            candidates.jobs[machine].insert(uid);
        }
    }
    return candidates;
}

// Whatever was cancelled was so before this process began. Leaders release such machines after half of the cancel
// deadline, so what is left has that long at most; and leases that no controller renews run out meanwhile.
bool Fencer::cut_off_from_store_for_long() const {
    return callbacks_.cut_off_from_store() &&
           Clock::now() - started_at_ > fencing_delay(settings_, probing_time_when_cut_off);
}

Fencer::Candidates Fencer::machines_without_heartbeat(const std::vector<model::ListedMachine>& listed) const {
    Candidates candidates;
    for (const auto& machine : listed) {
        const auto last = last_heartbeats_.find(machine.name);
        const bool has_lease =
            last != last_heartbeats_.end() && Clock::now() - last->second < model::to_clock(settings_.worker_lease);
        if (machine.status == model::MachineStatus::running && !has_lease)
            candidates.jobs[machine.name].insert(any_job);
    }
    return candidates;
}

awaitable<void> Fencer::scan() {
    forget_expired_cancellations();
    if (!callbacks_.cut_off_from_store()) last_heartbeats_.clear();
    auto candidates = machines_with_cancelled_jobs();
    if (candidates.jobs.empty() && !cut_off_from_store_for_long()) {
        cleared_.clear();
        unresponsive_.clear();
        co_return;
    }
    const auto listed = co_await cloud_.machines();
    std::optional<Addresses> addresses;
    if (listed) {
        addresses.emplace();
        for (const auto& machine : *listed)
            if (machine.status != model::MachineStatus::failed) (*addresses)[machine.name] = machine.addr;
    }
    const bool cut_off = listed && cut_off_from_store_for_long();
    if (cut_off) candidates = machines_without_heartbeat(*listed);
    const auto unresponsive_before = std::exchange(unresponsive_, {});
    co_await probe_all(candidates.jobs, std::move(addresses));
    auto due = still_due(std::move(candidates), cut_off, unresponsive_before);
    co_await release_unresponsive(std::move(due));
}

Fencer::JobsByMachine Fencer::still_due(Candidates candidates, bool cut_off,
                                        const std::set<std::string>& unresponsive_before) {
    if (cut_off) {
        if (!cut_off_from_store_for_long()) return {};
        // A machine that has not been silent for long is probed once more.
        std::erase_if(candidates.jobs, [&](const auto& entry) { return !unresponsive_before.contains(entry.first); });
        return std::move(candidates.jobs);
    }
    candidates = machines_with_cancelled_jobs();
    const bool early = Clock::now() < candidates.first_cancelled + fencing_delay(settings_);
    return early ? JobsByMachine{} : std::move(candidates.jobs);
}

// Waits by polling: the probes are many, and each ends within seconds.
awaitable<void> Fencer::probe_all(JobsByMachine candidates, std::optional<Addresses> addresses) {
    for (const auto& [machine, jobs] : candidates) {
        while (probes_under_way_ >= max_probes_under_way) co_await net::sleep_for(probe_poll_interval);
        if (!addresses) continue;
        const auto address = addresses->find(machine);
        // A machine that the list does not show may be younger than the list, or gone: to release it costs nothing.
        if (address == addresses->end()) {
            unresponsive_.insert(machine);
            continue;
        }
        ++probes_under_way_;
        net::asio::co_spawn(ex_, probe(machine, address->second, jobs), net::asio::detached);
    }
    while (probes_under_way_ > 0) co_await net::sleep_for(probe_poll_interval);
}

// A worker that answers does not hang: the tasks that it still reports end with its lease.
awaitable<void> Fencer::probe(std::string machine, std::string address, std::set<std::string> jobs) {
    const auto heartbeat = co_await workers_.status(std::move(address));
    --probes_under_way_;
    if (!heartbeat) {
        unresponsive_.insert(machine);
        co_return;
    }
    for (const auto& task : heartbeat->tasks)
        if (task.status != model::TaskStatus::exited) jobs.erase(task.id.uid);
    cleared_[machine].merge(jobs);
}

awaitable<void> Fencer::release_unresponsive(JobsByMachine jobs) {
    std::vector<std::string> names;
    for (const auto& [machine, uids] : jobs)
        if (unresponsive_.contains(machine)) names.push_back(machine);
    for (std::size_t first = 0; first < names.size(); first += max_released_per_call) {
        const auto count = std::min(names.size() - first, max_released_per_call);
        const auto begin = std::next(names.begin(), static_cast<std::ptrdiff_t>(first));
        const std::vector<std::string> portion(begin, std::next(begin, static_cast<std::ptrdiff_t>(count)));
        for (const auto& name : portion)
            spdlog::info("event=machine_fenced machine={} jobs={} first={}", name, jobs[name].size(),
                         *jobs[name].begin());
        const bool released = co_await cloud_.terminate(portion);
        if (!released) continue;
        fenced_ += portion.size();
        for (const auto& name : portion) cleared_[name].merge(jobs[name]);
    }
}

}  // namespace flintdale::app
