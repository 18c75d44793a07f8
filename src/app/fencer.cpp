#include "app/fencer.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "model/machine.hpp"
#include "model/task.hpp"
#include "scheduler/lease_rule.hpp"

namespace flintdale::app {

using namespace std::chrono_literals;
using model::Clock;
using model::Seconds;

namespace {
constexpr auto look_gap = 1s;
// Before machines are given up: time for a list of them and two questions to each.
constexpr Seconds ask_before{7};
// The same for a controller that knows nothing, and the seconds for which it may have been away.
constexpr Seconds blind_before{12};
constexpr std::size_t most_asked = 200;       // at once: sockets are scarce
constexpr std::size_t most_released = 100;    // of a call
constexpr const char* anything = "anything";  // what a machine may hold of which nobody knows
}  // namespace

Fencer::Fencer(net::Executor ex, cloud::Cloud& cloud, worker::Workers& workers, const config::Settings& settings,
               Callbacks callbacks)
    : ex_(ex),
      cloud_(cloud),
      workers_(workers),
      settings_(settings),
      callbacks_(std::move(callbacks)),
      began_(Clock::now()) {}

void Fencer::cancelled(const std::string& uid, model::TimePoint at) {
    cancelled_.emplace(at, Cancelled{uid, Clock::now()});
}

awaitable<void> Fencer::run() {
    for (;;) {
        co_await net::sleep_for(look_gap);
        co_await scan();
    }
}

Fencer::Due Fencer::due() const {
    Due out;
    const auto now = Clock::now();
    for (const auto& [at, job] : cancelled_) {
        const auto& uid = job.uid;
        if (now < at + model::to_clock(scheduler::give_up_silent_after(settings_) - ask_before)) break;
        if (callbacks_.somebody_knows(job.noted)) continue;
        for (const auto& machine : callbacks_.machines_of(uid)) {
            if (const auto it = clear_.find(machine); it != clear_.end() && it->second.contains(uid)) continue;
            if (out.jobs.empty()) out.first = at;
            out.jobs[machine].insert(uid);
        }
    }
    return out;
}

void Fencer::heartbeat_received(const std::string& machine) {
    if (callbacks_.cut_off_from_store()) heard_[machine] = Clock::now();
}

// Whatever was cancelled was so before this life began. Leaders return such machines after half of cancel_s, so what is
// left has that long at most; and leases that nobody renews run out meanwhile.
bool Fencer::cut_off_from_store_for_long() const {
    return callbacks_.cut_off_from_store() &&
           Clock::now() - began_ > model::to_clock(scheduler::give_up_silent_after(settings_) - blind_before);
}

Fencer::Due Fencer::unknown(const std::vector<model::ListedMachine>& listed) const {
    Due out;
    for (const auto& m : listed) {
        const auto it = heard_.find(m.name);
        const bool lately = it != heard_.end() && Clock::now() - it->second < model::to_clock(settings_.worker_lease);
        if (m.status == model::MachineStatus::running && !lately) out.jobs[m.name].insert(anything);
    }
    return out;
}

awaitable<void> Fencer::scan() {
    const auto now = Clock::now();
    while (!cancelled_.empty() && now - cancelled_.begin()->first > model::to_clock(settings_.cancel_deadline))
        cancelled_.erase(cancelled_.begin());
    if (!callbacks_.cut_off_from_store()) heard_.clear();
    auto found = due();
    if (found.jobs.empty() && !cut_off_from_store_for_long()) {
        clear_.clear();
        silent_.clear();
        co_return;
    }
    const auto listed = co_await cloud_.machines();
    std::map<std::string, std::string> addresses;
    if (listed)
        for (const auto& m : *listed)
            if (m.status != model::MachineStatus::failed) addresses[m.name] = m.addr;
    const bool cut_off_from_store = listed && cut_off_from_store_for_long();
    if (cut_off_from_store) found = unknown(*listed);
    const auto silent_before = std::exchange(silent_, {});
    for (auto& [machine, jobs] : found.jobs) {
        while (asking_ >= most_asked) co_await net::sleep_for(20ms);
        // One that the list does not show may be younger than it, or gone: to return it costs nothing.
        if (listed && !addresses.contains(machine)) {
            silent_.insert(machine);
            continue;
        }
        if (!listed) continue;
        ++asking_;
        net::asio::co_spawn(ex_, ask(machine, addresses[machine], jobs), net::asio::detached);
    }
    while (asking_ > 0) co_await net::sleep_for(20ms);
    // Somebody who knows may lead by now; and what has not been silent for long is asked once more.
    if (cut_off_from_store) {
        if (!cut_off_from_store_for_long()) co_return;
        std::erase_if(found.jobs, [&](const auto& entry) { return !silent_before.contains(entry.first); });
    } else {
        found = due();
        const bool early = Clock::now() < found.first + model::to_clock(scheduler::give_up_silent_after(settings_));
        if (found.jobs.empty() || early) co_return;
    }
    std::vector<std::string> names;
    for (const auto& [machine, jobs] : found.jobs)
        if (silent_.contains(machine)) names.push_back(machine);
    for (std::size_t at = 0; at < names.size(); at += most_released) {
        const auto from = names.begin() + static_cast<std::ptrdiff_t>(at);
        std::vector<std::string> some(from,
                                      from + static_cast<std::ptrdiff_t>(std::min(names.size() - at, most_released)));
        for (const auto& name : some)
            spdlog::info("event=machine_fenced machine={} jobs={} first={}", name, found.jobs[name].size(),
                         *found.jobs[name].begin());
        const bool gone = co_await cloud_.release(some);
        if (!gone) continue;
        fenced_ += some.size();
        for (const auto& name : some) clear_[name].merge(found.jobs[name]);
    }
}

// A worker that answers does not hang: what it still shows ends with its lease.
awaitable<void> Fencer::ask(std::string machine, std::string address, std::set<std::string> jobs) {
    const auto report = co_await workers_.status(std::move(address));
    --asking_;
    if (!report) {
        silent_.insert(machine);
        co_return;
    }
    for (const auto& t : report->tasks)
        if (t.status != model::TaskStatus::exited) jobs.erase(t.id.uid);
    clear_[machine].merge(jobs);
}

}  // namespace flintdale::app
