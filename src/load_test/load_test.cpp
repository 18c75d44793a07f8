#include "load_test/load_test.hpp"

#include <fmt/format.h>
#include <unistd.h>

#include <cmath>
#include <iostream>

#include "model/job.hpp"

namespace flintdale::load_test {

using namespace std::chrono_literals;
using model::Clock;
namespace asio = net::asio;
namespace json = boost::json;

namespace {

constexpr auto clock_step = 5ms;
constexpr auto watch_step = 1s;
constexpr int watches_a_line = 5;
constexpr double day_s = 86'400;
constexpr double boot_from = 0.6, boot_to = 1.5;  // times the type's boot time

}  // namespace

LoadTest::LoadTest(net::Executor ex, const Plan& plan, const Programs& programs)
    : ex_(ex),
      plan_(plan),
      settings_(config::parse_settings(plan.settings_text(0), "settings")),
      events_(plan.seed, Clock::now()),
      start_(events_.now()),
      rentals_(events_, settings_, plan.scenario,
               [&plan](const std::string&, std::uint64_t number) {
                   const auto address = plan.addresses.worker(number);
                   return address.host + ":" + std::to_string(address.port);
               }),
      checker_(settings_, start_),
      deployment_(ex, plan, programs.daemon, programs.directory),
      workers_(ex, plan, programs.hollow, programs.directory, [this](const Progress& p) { heard(p); }),
      state_(ex, events_, settings_.store_limits, plan.addresses.state()),
      cloud_(ex, events_, rentals_, plan.scenario, settings_,
             {[this](const simulator::Rented& m) {
                  workers_.send(m.zone, AddMachine{m.name, m.address, m.type->name, m.zone, m.spot,
                                                   m.type->boot * events_.uniform(boot_from, boot_to)});
              },
              [this](const simulator::Rented& m) { workers_.send(m.zone, RemoveMachine{m.name}); }}),
      users_(ex, plan, events_, checker_, [this](const model::JobSpec& spec, Seconds runs) {
          workers_.send_all(UploadJob{spec, runs});
      }) {}

void LoadTest::fail(const std::string& why) {
    std::cerr << "flintdale_load_test: " << why << '\n';
    failures_.push_back(why);
    over_ = true;
}

void LoadTest::add_machines() {
    const auto& types = plan_.scenario.types;
    for (std::size_t i = 0; i < plan_.workers; ++i) {
        const auto& type = types[i % types.size()];
        const auto& m = rentals_.add(type, type.zones[i / types.size() % type.zones.size()], false);
        const Seconds boots_in(events_.uniform(0, plan_.ramp.count()));
        workers_.send(m.zone, AddMachine{m.name, m.address, type.name, m.zone, m.spot, boots_in});
    }
}

awaitable<void> LoadTest::until(Seconds since_start) {
    while (!over_ && Clock::now() - start_ < since_start) co_await net::sleep_for(50ms);
}

awaitable<void> LoadTest::play() {
    state_.start();
    cloud_.start();
    workers_.start();
    deployment_.start_all();
    add_machines();
    users_.start();
    asio::co_spawn(ex_, clock_loop(), asio::detached);
    asio::co_spawn(ex_, failure_loop(), asio::detached);
    asio::co_spawn(ex_, watch_loop(), asio::detached);
    co_await until(plan_.window_from);
    window_start_ = co_await snapshot();
    co_await until(plan_.window_from + plan_.window);
    window_end_ = co_await snapshot();
    if (plan_.kill_leader_at.count() > 0) {
        co_await until(plan_.kill_leader_at);
        if (!over_) co_await kill_leader();
    }
    co_await until(plan_.length);
    last_ = co_await snapshot();
    over_ = true;
    // What has happened until now is told within a moment.
    const auto end = Clock::now();
    for (int i = 0; i < 100 && workers_.told_until() < end; ++i) co_await net::sleep_for(20ms);
    checker_.settle(std::min(workers_.told_until(), end));
}

awaitable<void> LoadTest::kill_leader() {
    const auto name = state_.leader();
    const auto& members = plan_.scenario.members;
    const auto at = std::find(members.begin(), members.end(), name);
    if (at == members.end()) {
        fail("nobody leads when the leader is to be killed");
        co_return;
    }
    const auto n = static_cast<std::size_t>(at - members.begin());
    for (const auto& news : tokens_) token_at_kill_ = std::max(token_at_kill_, news.fencing_token);
    killed_at_ = Clock::now();
    deployment_.kill(n);
    std::cerr << fmt::format("{:6.1f} s: {} led and is killed\n", Seconds(*killed_at_ - start_).count(), name);
    co_await net::sleep_for(model::to_clock(plan_.controller_back));
    deployment_.start(n);
}

awaitable<void> LoadTest::clock_loop() {
    while (!over_) {
        events_.advance_to(Clock::now());
        checker_.settle(std::min(workers_.told_until(), Clock::now()));
        co_await net::sleep_for(clock_step);
    }
}

awaitable<void> LoadTest::failure_loop() {
    const double a_day = plan_.restarts_a_day + plan_.deaths_a_day;
    if (a_day <= 0) co_return;
    co_await net::sleep_for(model::to_clock(plan_.ramp));
    while (!over_) {
        const double a_second = a_day * static_cast<double>(plan_.workers) / day_s;
        const Seconds gap(-std::log(1 - events_.uniform(0, 1)) / a_second);
        co_await net::sleep_for(model::to_clock(gap));
        if (!over_) fail_one(events_.chance(plan_.deaths_a_day / a_day));
    }
}

void LoadTest::fail_one(bool dies) {
    const auto& all = rentals_.all();
    if (all.empty()) return;
    auto it = all.begin();
    std::advance(it, static_cast<std::ptrdiff_t>(events_.pick(all.size())));
    const auto& m = it->second;
    if (!m.up || m.dead) return;
    ++(dies ? died_ : restarted_);
    if (dies) {
        workers_.send(m.zone, KillMachine{m.name});
        rentals_.died(m.name);
    } else {
        workers_.send(m.zone, RestartWorker{m.name});
    }
}

std::size_t LoadTest::memory_in_use() const {
    const auto own = usage_of(getpid());
    std::size_t out = own ? own->resident_bytes : 0;
    for (std::size_t n = 0; n < plan_.controllers; ++n)
        if (const auto usage = deployment_.usage(n)) out += usage->resident_bytes;
    for (const auto& usage : workers_.usage()) out += usage.resident_bytes;
    return out;
}

awaitable<void> LoadTest::watch_loop() {
    for (int n = 0; !over_; ++n) {
        co_await net::sleep_for(watch_step);
        if (over_) co_return;
        for (const auto& name : deployment_.ended_by_themselves()) fail(name + " ended by itself");
        if (!workers_.all_running()) fail("a worker process ended");
        const auto memory = memory_in_use();
        if (memory > memory_bound()) fail(fmt::format("over half of the machine's memory: {} MB", memory >> 20));
        if (n % watches_a_line != 0 || over_) continue;
        const auto sample = co_await workers_.sample();
        if (!sample) continue;
        const auto& c = sample->counts;
        std::cerr << fmt::format(
            "{:6.1f} s: {} of {} workers connected, {} reports ({} answered, {} sent on, {} 503, {} silent), {} tasks "
            "started, {} jobs accepted, {} done, leader {}, {} MB{}\n",
            Seconds(Clock::now() - start_).count(), c.connected, plan_.workers, c.reports, c.answered, c.redirected,
            c.unavailable, c.unanswered, c.started, users_.counts().accepted, users_.counts().done, state_.leader(),
            memory >> 20, checker_.checker().broken().empty() ? "" : ", RULES BROKEN");
    }
}

void LoadTest::heard(const Progress& progress) {
    for (const auto& name : progress.came_up) rentals_.came_up(name);
    for (const auto& news : progress.tokens) tokens_.push_back(news);
    for (const auto& e : progress.events) {
        using Kind = TaskEvent::Kind;
        if (e.kind == Kind::ordered)
            users_.ordered(e.task.first, e.at);
        else if (e.kind == Kind::arrives)
            checker_.at(e.at, [e](simulator::Checker& c) { c.arrives(e.task, e.place); });
        else if (e.kind == Kind::leaves)
            checker_.at(e.at, [e](simulator::Checker& c) { c.leaves(e.task, e.place.machine); });
        else
            checker_.at(e.at, [e](simulator::Checker& c) { c.completed(e.task); });
    }
}

awaitable<std::optional<LoadTest::Snapshot>> LoadTest::snapshot() {
    auto sample = co_await workers_.sample();
    if (!sample) {
        fail("a worker process gives no sample");
        co_return std::nullopt;
    }
    Snapshot s;
    s.at = Clock::now();
    s.workers = std::move(*sample);
    for (std::size_t n = 0; n < plan_.controllers; ++n) s.controllers.push_back(deployment_.usage(n));
    s.hollow = workers_.usage();
    s.state = state_.counts();
    s.state_traffic = state_.traffic();
    s.cloud_traffic = cloud_.traffic();
    s.users = users_.counts();
    s.link_bytes = deployment_.link_bytes();
    s.leader = state_.leader();
    co_return std::optional<Snapshot>(std::move(s));
}

}  // namespace flintdale::load_test
