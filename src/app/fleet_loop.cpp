#include "app/fleet_loop.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace flintdale::app {

using namespace std::chrono_literals;
using model::Clock;
using model::Seconds;
using state::Outcome;

namespace {
constexpr Seconds minimum_list_interval{5};
constexpr auto list_retry_delay = 2s;
constexpr auto scaling_interval = 1000ms;
constexpr auto scaling_interval_after_refusal = 50ms;
constexpr int max_launch_attempts = 30;
}  // namespace

awaitable<void> FleetLoop::run_listing() {
    const auto interval = model::to_clock(std::max(context_.settings.machine_list_lag, minimum_list_interval));
    while (!context_.stopped) {
        auto machines = co_await cloud_.machines();
        if (context_.stopped) break;
        if (machines && context_.loaded) context_.scheduler.machines_listed(*machines, Clock::now());
        co_await net::sleep_for(machines ? interval : list_retry_delay);
    }
}

awaitable<void> FleetLoop::run_scaling() {
    bool refused = false;
    while (!context_.stopped) {
        co_await net::sleep_for(refused ? scaling_interval_after_refusal : scaling_interval);
        if (context_.stopped || !context_.loaded) continue;
        co_await release_machines();
        if (context_.stopped) break;
        refused = co_await launch_machines();
    }
}

awaitable<FleetLoop::Leadership> FleetLoop::verify_leadership() {
    auto txn = context_.conditioned_on_term();
    const auto result = co_await context_.store.commit(std::move(txn), state::RequestPriority::leadership);
    if (result.outcome == Outcome::conflict) context_.environment.leadership.verify();
    if (result.outcome == Outcome::conflict || context_.stopped) co_return Leadership::lost;
    co_return result.outcome == Outcome::ok ? Leadership::confirmed : Leadership::unknown;
}

awaitable<void> FleetLoop::release_machines() {
    auto& scheduler = context_.scheduler;
    if (scheduler.scale_in(context_.now_checking_for_pause()).empty()) co_return;
    const auto leadership = co_await verify_leadership();
    if (leadership == Leadership::lost) co_return;
    auto releases = scheduler.scale_in(context_.now_checking_for_pause());
    // In an outage no other controller can win a term, and cancelled work on a machine that hangs must be gone in time
    // all the same. Should another controller win one after all, a machine may be released that it uses: work is lost
    // then, and no rule broken.
    if (leadership == Leadership::unknown) {
        if (context_.environment.leadership.others_reach_store()) co_return;
        std::erase_if(releases,
                      [](const scheduler::Release& release) { return release.why != scheduler::cancelled_work; });
    }
    scheduler.release_requested(releases);
    std::vector<std::string> names;
    names.reserve(releases.size());
    for (const auto& release : releases) names.push_back(release.machine);
    if (names.empty()) co_return;
    const bool done = co_await cloud_.terminate(names);
    if (!done || context_.stopped) co_return;
    scheduler.machines_released(names, Clock::now());
    context_.request_commit_and_planning();
}

void FleetLoop::plan_launches() {
    for (auto& instances : context_.scheduler.scale_out(context_.now_checking_for_pause())) {
        // Named after the term, so that no two leaders ever use the same name.
        auto name = std::to_string(context_.term_number) + "-" + std::to_string(++launches_);
        unanswered_.push_back({instances, std::move(name), 0});
    }
}

awaitable<bool> FleetLoop::launch_machines() {
    if (unanswered_.empty()) plan_launches();
    if (unanswered_.empty()) co_return false;
    const bool leading = co_await verify_leadership() == Leadership::confirmed;
    std::deque<LaunchRequest> due;
    due.swap(unanswered_);
    bool refused = false;
    for (auto& request : due) {
        if (!leading) {
            // What was never sent is planned anew; what was may have been granted, and must be asked for again.
            if (request.attempts > 0) unanswered_.push_back(std::move(request));
            continue;
        }
        ++request.attempts;
        const auto& pool = request.instances.pool;
        const auto result =
            co_await cloud_.launch(request.name, pool.type, pool.zone, pool.spot, request.instances.count);
        if (context_.stopped) co_return false;
        if (apply_launch_result(std::move(request), result)) refused = true;
    }
    co_return refused;
}

bool FleetLoop::apply_launch_result(LaunchRequest request, const cloud::LaunchResult& result) {
    const auto now = Clock::now();
    if (result.outcome == cloud::LaunchOutcome::unknown) {
        // Asked again under the same name: if it was granted, the answer names the same machines.
        if (request.attempts < max_launch_attempts) unanswered_.push_back(std::move(request));
        return false;
    }
    const auto& pool = request.instances.pool;
    const auto granted = static_cast<int>(result.machines.size());
    if (result.outcome == cloud::LaunchOutcome::granted) {
        spdlog::info("event=machines_launched request={} type={} zone={} spot={} asked={} got={}", request.name,
                     pool.type, pool.zone, pool.spot, request.instances.count, granted);
        context_.scheduler.machines_launched(pool, result.machines, now);
    } else {
        spdlog::info("event=launch_refused type={} zone={} spot={}", pool.type, pool.zone, pool.spot);
    }
    if (granted >= request.instances.count) return false;
    context_.scheduler.launch_refused(pool, now);
    return true;
}

}  // namespace flintdale::app
