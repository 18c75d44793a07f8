#include "app/leader_term.hpp"

#include <spdlog/spdlog.h>

#include "scheduler/lease_rule.hpp"

namespace flintdale::app {

using namespace std::chrono_literals;
using model::Clock;
using model::Seconds;

namespace {

constexpr auto load_poll_interval = 100ms;
constexpr int load_polls = 25;
constexpr auto run_commands_poll_interval = 60ms;
// How long a response to a worker may be held for a placement pass, or for the write of a placement.
constexpr auto max_wait_for_plan = 420ms, max_wait_for_write = 1200ms;
// A heartbeat is overdue this many heartbeat intervals, and the margin, after the records were read.
constexpr double overdue_intervals = 1.25;
constexpr Seconds overdue_margin{3};

// Keeps the term alive for as long as one of its loops runs.
awaitable<void> run_loop(std::shared_ptr<LeaderTerm> term, awaitable<void> loop) {
    try {
        co_await std::move(loop);
    } catch (const std::exception& e) {
        spdlog::error("event=loop_failed why=\"{}\"", e.what());
        std::abort();  // continuing without one of the loops would be worse than ending the process
    }
    (void)term;
}

}  // namespace

LeaderTerm::LeaderTerm(net::Executor executor, state::Store& store, cloud::Cloud& cloud,
                       const config::Settings& settings, const config::OperatorSettings& operator_settings,
                       const state::RecordFormat& record_format, election::Term term, bool unrecorded_tasks,
                       LeaderTermEnvironment environment)
    : executor_(executor),
      context_(executor, store, settings, operator_settings, record_format, term, std::move(environment)),
      record_watcher_(context_),
      record_committer_(context_),
      planning_(context_),
      fleet_(context_, cloud),
      maintenance_(context_),
      hints_(context_) {
    if (unrecorded_tasks) context_.scheduler.expect_unrecorded_tasks();
}

void LeaderTerm::spawn(awaitable<void> loop) {
    net::asio::co_spawn(executor_, run_loop(shared_from_this(), std::move(loop)), net::asio::detached);
}

void LeaderTerm::start(const std::vector<model::MachineType>& types) {
    if (!types.empty()) set_machine_types(types);
    spawn(record_watcher_.run());
    spawn(record_committer_.run());
    spawn(planning_.run());
    spawn(fleet_.run_listing());
    spawn(fleet_.run_scaling());
    spawn(maintenance_.run_garbage_collection());
    spawn(maintenance_.run_requested_reads());
    spawn(hints_.run());
    if (context_.scheduler.awaiting_reconciliation()) spawn(maintenance_.run_reconciliation_end());
}

void LeaderTerm::set_machine_types(const std::vector<model::MachineType>& types) {
    context_.scheduler.set_machine_types(types);
}

// The lease rule (scheduler/lease_rule.hpp): a leader that may have missed a cancellation stops answering early enough
// that the cancelled work ends by its deadline.
bool LeaderTerm::may_answer(model::TimePoint now) const {
    if (!context_.loaded || context_.stopped) return false;
    const auto read_at = context_.cancellations_read_at;
    return scheduler::may_answer(context_.settings, now, read_at) ||
           scheduler::may_answer(context_.settings, now, context_.environment.cancellations.all_known_until(read_at));
}

bool LeaderTerm::missing_heartbeats_are_overdue() const {
    const auto overdue = model::to_clock(context_.settings.heartbeat_interval * overdue_intervals + overdue_margin);
    return context_.loaded && Clock::now() - context_.loaded_at > overdue;
}

awaitable<LeaderTerm::Commands> LeaderTerm::handle_heartbeat(model::Heartbeat heartbeat) {
    auto self = shared_from_this();
    for (int i = 0; i < load_polls && !context_.loaded && !context_.stopped; ++i)
        co_await net::sleep_for(load_poll_interval);
    auto decision = decide(heartbeat);
    if (!decision.run_commands_expected) co_return std::move(decision.commands);
    co_return co_await await_run_commands(std::move(heartbeat), std::move(decision));
}

LeaderTerm::Decision LeaderTerm::decide(const model::Heartbeat& heartbeat) {
    Decision decision;
    auto& scheduler = context_.scheduler;
    const auto now = context_.now_checking_for_pause();
    if (!may_answer(now)) return decision;
    const bool was_dirty = scheduler.dirty();
    decision.commands = scheduler.handle_heartbeat(heartbeat, now);
    if (scheduler.take_loss_evidence())
        context_.environment.remembered.suspect_loss("a worker holds an attempt that is not on record");
    if (!decision.commands) return decision;
    if (scheduler.dirty()) {
        if (!was_dirty) context_.commit_wakeup.notify();
        context_.request_planning();
    }
    decision.passes = scheduler.passes();
    decision.run_commands_expected =
        decision.commands->empty() &&
        scheduler.expected_work(heartbeat, decision.passes) != scheduler::Scheduler::ExpectedWork::none;
    return decision;
}

// Commands are sent only in responses to heartbeats, and the next heartbeat may be seconds away. So if this heartbeat
// freed capacity, or a placement is being written, the response is held briefly to include the run command. Workers
// wait four seconds for a response. This polls, because a placement pass and the end of its write are many steps of the
// scheduler, each for many machines at once.
awaitable<LeaderTerm::Commands> LeaderTerm::await_run_commands(model::Heartbeat heartbeat, Decision decision) {
    auto self = shared_from_this();
    using ExpectedWork = scheduler::Scheduler::ExpectedWork;
    for (auto waited = 0ms; decision.commands->empty(); waited += run_commands_poll_interval) {
        const auto expected = context_.scheduler.expected_work(heartbeat, decision.passes);
        if (expected == ExpectedWork::none) break;
        if (waited >= (expected == ExpectedWork::record_write ? max_wait_for_write : max_wait_for_plan)) break;
        co_await net::sleep_for(run_commands_poll_interval);
        if (!may_answer(Clock::now())) co_return std::nullopt;
        *decision.commands = context_.scheduler.pending_runs(heartbeat);
    }
    co_return std::move(decision.commands);
}

void LeaderTerm::job_changed(const state::KeyValue& record) {
    if (!context_.loaded || context_.stopped) return;
    const bool changed = context_.scheduler.job_changed(record, Clock::now(), context_.environment.time_of_day_ms());
    if (changed) context_.request_commit_and_planning();
}

void LeaderTerm::cancelled_elsewhere(const std::string& uid) {
    if (!context_.loaded || context_.stopped) return;
    if (context_.scheduler.cancelled_by_peer(uid, Clock::now())) context_.request_commit_and_planning();
}

}  // namespace flintdale::app
