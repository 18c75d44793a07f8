#include "app/leader_term.hpp"

#include <spdlog/spdlog.h>

#include "model/heartbeat.hpp"
#include "model/machine.hpp"
#include "recovery/recovery_coordinator.hpp"
#include "scheduler/lease_rule.hpp"

namespace flintdale::app {

using namespace std::chrono_literals;
using model::Clock;
using model::Seconds;
using state::Outcome;
using state::RequestPriority;

namespace {
constexpr std::chrono::milliseconds follow_hold{1000};
constexpr auto follow_gap = 120ms;
constexpr auto plan_gap = 200ms;
constexpr auto tidy_gap = 500ms;
constexpr auto missing_gap = 100ms, missing_again = 300ms;
constexpr auto hints_gap = 10s;
constexpr auto hold_step = 60ms;
constexpr auto hold_for_plan = 420ms, hold_for_write = 1200ms;  // that an answer to a worker may wait for work
constexpr int max_tries = 30;
constexpr auto stall = 2500ms;  // between two turns of loops that are due within one second
}  // namespace

LeaderTerm::LeaderTerm(net::Executor ex, state::Store& store, cloud::Cloud& cloud, const config::Settings& settings,
                       const config::OperatorSettings& operator_settings, const state::RecordFormat& record_format,
                       election::Term term, bool unsettled, Callbacks callbacks)
    : ex_(ex),
      store_(store),
      cloud_(cloud),
      settings_(settings),
      record_format_(record_format),
      callbacks_(std::move(callbacks)),
      term_(term.number),
      scheduler_(settings, operator_settings, record_format, term.number, term.mod_revision, Clock::now()),
      hints_(record_format),
      commit_(ex),
      plan_(ex),
      last_awake_(Clock::now()) {
    if (unsettled) scheduler_.expect_unrecorded_tasks();
}

namespace {
// Keeps the term alive for as long as one of its loops runs.
awaitable<void> run_loop(std::shared_ptr<LeaderTerm> keep, awaitable<void> loop) {
    try {
        co_await std::move(loop);
    } catch (const std::exception& e) {
        spdlog::error("event=loop_failed why=\"{}\"", e.what());
        std::abort();  // a controller that goes on without one of its loops would be worse than none
    }
    (void)keep;
}
}  // namespace

void LeaderTerm::start(const std::vector<model::MachineType>& types) {
    if (!types.empty()) scheduler_.set_machine_types(types);
    auto self = shared_from_this();
    net::asio::co_spawn(ex_, run_loop(self, learn_loop()), net::asio::detached);
    net::asio::co_spawn(ex_, run_loop(self, commit_loop()), net::asio::detached);
    net::asio::co_spawn(ex_, run_loop(self, tick_loop()), net::asio::detached);
    net::asio::co_spawn(ex_, run_loop(self, list_loop()), net::asio::detached);
    net::asio::co_spawn(ex_, run_loop(self, cloud_loop()), net::asio::detached);
    net::asio::co_spawn(ex_, run_loop(self, tidy_loop()), net::asio::detached);
    net::asio::co_spawn(ex_, run_loop(self, missing_loop()), net::asio::detached);
    net::asio::co_spawn(ex_, run_loop(self, hints_loop()), net::asio::detached);
    if (scheduler_.awaiting_reconciliation())
        net::asio::co_spawn(ex_, run_loop(self, settle_loop()), net::asio::detached);
}

void LeaderTerm::stop() {
    stopped_ = true;
    commit_.notify();
    plan_.notify();
}

void LeaderTerm::catalog(const std::vector<model::MachineType>& types) { scheduler_.set_machine_types(types); }

bool LeaderTerm::entitled(TimePoint now) const {
    if (!loaded_ || stopped_) return false;
    return scheduler::may_answer(settings_, now, fresh_) ||
           scheduler::may_answer(settings_, now, callbacks_.cancellations_known_until(fresh_));
}

// The time, for whoever is about to act on what was believed before. The clock runs on while a process stands still, so
// after a gap what was not heard says nothing about machines, and somebody else may lead by now. The loops call this at
// least once a second; whichever runs first after a gap finds it.
model::TimePoint LeaderTerm::awake() {
    const auto now = Clock::now();
    if (const auto gap = now - last_awake_; gap > stall) {
        spdlog::info("event=process_paused seconds={:.1f}", Seconds(gap).count());
        scheduler_.process_paused(gap);
        callbacks_.doubt();
    }
    last_awake_ = now;
    return now;
}

awaitable<LeaderTerm::Commands> LeaderTerm::report(model::Heartbeat r) {
    auto self = shared_from_this();
    for (int i = 0; i < 25 && !loaded_ && !stopped_; ++i) co_await net::sleep_for(100ms);
    auto decision = decide(r);
    if (!decision.wait) co_return std::move(decision.commands);
    co_return co_await await_runs(std::move(r), std::move(decision));
}

LeaderTerm::Decision LeaderTerm::decide(const model::Heartbeat& r) {
    Decision out;
    const auto now = awake();
    if (!entitled(now)) return out;
    const bool was_dirty = scheduler_.dirty();
    out.commands = scheduler_.handle_heartbeat(r, now);
    if (scheduler_.take_loss_evidence()) callbacks_.loss("a worker holds an attempt that is not on record", true);
    if (!out.commands) return out;
    if (scheduler_.dirty()) {
        if (!was_dirty) commit_.notify();
        stir_ = true;
        plan_.notify();
    }
    out.passes = scheduler_.passes();
    out.wait =
        out.commands->empty() && scheduler_.expected_work(r, out.passes) != scheduler::Scheduler::Prospect::nothing;
    return out;
}

// Commands travel in answers only, and the next report may be seconds away: where this one has made room, or a
// placement is just being written, the answer waits a moment to carry the run. Workers wait for four seconds.
awaitable<LeaderTerm::Commands> LeaderTerm::await_runs(model::Heartbeat r, Decision decision) {
    auto self = shared_from_this();
    using Prospect = scheduler::Scheduler::Prospect;
    for (auto held = 0ms; decision.commands->empty(); held += hold_step) {
        const auto prospect = scheduler_.expected_work(r, decision.passes);
        if (prospect == Prospect::nothing || held >= (prospect == Prospect::a_write ? hold_for_write : hold_for_plan))
            break;
        co_await net::sleep_for(hold_step);
        if (!entitled(Clock::now())) co_return std::nullopt;
        *decision.commands = scheduler_.pending_runs(r);
    }
    co_return std::move(decision.commands);
}

void LeaderTerm::job_changed(const state::KeyValue& item) {
    if (!loaded_ || stopped_) return;
    if (scheduler_.job_changed(item, Clock::now(), callbacks_.time_of_day_ms())) wake();
}

void LeaderTerm::cancelled_elsewhere(const std::string& uid) {
    if (!loaded_ || stopped_) return;
    if (scheduler_.cancelled_by_peer(uid, Clock::now())) wake();
}

// Something changed: write what must be written, and plan again.
void LeaderTerm::wake() {
    commit_.notify();
    stir_ = true;
    plan_.notify();
}

awaitable<std::optional<LeaderTerm::Everything>> LeaderTerm::read_all(std::string prefix) {
    Everything out;
    std::string after;
    for (;;) {
        auto page = co_await store_.range(prefix, after, RequestPriority::leadership);
        if (stopped_) co_return std::nullopt;
        if (page.outcome != Outcome::ok) {
            co_await net::sleep_for(150ms);
            if (stopped_) co_return std::nullopt;
            continue;
        }
        if (!out.revision) out.revision = page.revision;
        for (auto& item : page.items) out.items.push_back(std::move(item));
        if (!page.more || page.items.empty()) break;
        after = out.items.back().key;
    }
    co_return std::optional<Everything>(std::move(out));
}

awaitable<bool> LeaderTerm::load() {
    const auto began = Clock::now();
    const auto work = co_await read_all(scheduler::work_prefix);
    if (!work) co_return false;
    scheduler_.load(work->items, Clock::now(), callbacks_.time_of_day_ms());
    const bool sound = co_await check_open_jobs();
    if (!sound) {
        co_await net::sleep_for(100ms);
        co_return false;
    }
    // A job may have been cancelled after its outcome was looked for, and the word of it have come while this was still
    // being read: the watch tells it too, but not in an outage that begins now, and cancellations_known_until goes by
    // it.
    for (const auto& uid : scheduler_.open_jobs())
        if (callbacks_.told_cancelled(uid)) scheduler_.cancelled_by_peer(uid, Clock::now());
    followed_ = work->revision;
    fresh_ = began;
    if (!loaded_) loaded_at_ = Clock::now();
    if (!loaded_) spdlog::info("event=term_loaded term={} records={}", term_, work->items.size());
    loaded_ = true;
    stir_ = true;
    commit_.notify();
    co_return true;
}

// What looks open may be of jobs that are over: their outcomes tell.
awaitable<bool> LeaderTerm::check_open_jobs() {
    const auto open = scheduler_.open_jobs();
    std::size_t most = 0;
    for (std::size_t at = 0; at < open.size(); at += most) {
        state::TxnResult result;
        do {
            most = record_format_.conditions();  // which may fall from one try to the next
            state::Txn txn;
            for (std::size_t i = at; i < std::min(open.size(), at + most); ++i)
                txn.conditions.push_back({scheduler::outcome_key(open[i]), 0});
            result = co_await store_.commit(std::move(txn), RequestPriority::leadership);
            if (stopped_) co_return false;
            if (result.outcome != Outcome::ok && result.outcome != Outcome::conflict) co_await net::sleep_for(150ms);
        } while (result.outcome != Outcome::ok && result.outcome != Outcome::conflict);
        // Many are over after a swarm of small jobs, and to read each outcome took seconds of a hand-over.
        for (std::size_t i = at; i < std::min(open.size(), at + most); ++i)
            if (std::find(result.failed.begin(), result.failed.end(), scheduler::outcome_key(open[i])) !=
                result.failed.end())
                ended(open[i]);
    }
    co_return co_await check_remembered();
}

void LeaderTerm::ended(const std::string& uid) {
    scheduler_.job_over(uid, Clock::now(), callbacks_.cancelled_for(uid));
    callbacks_.over_already(uid);
}

bool LeaderTerm::heard_out() const {
    return loaded_ && Clock::now() - loaded_at_ > model::to_clock(settings_.heartbeat_interval * 1.25 + Seconds(3));
}

// What is remembered to be open is on record, or over by now. Where it is neither, the store passes the answer on to
// the keeper and not here; a job that is remembered to be over and lacks its outcome has been found by the look before.
awaitable<bool> LeaderTerm::check_remembered() {
    std::vector<std::string> asked;
    for (auto& uid : callbacks_.open())
        if (!scheduler_.knows(uid)) asked.push_back(std::move(uid));
    for (std::size_t at = 0; at < asked.size();) {
        state::Txn txn;
        for (; at < asked.size() && txn.conditions.size() + 2 <= record_format_.conditions(); ++at) {
            txn.conditions.push_back({scheduler::outcome_key(asked[at]), 0});
            txn.conditions.push_back({scheduler::work_key(asked[at], 0), 0});
        }
        const auto result = co_await store_.commit(std::move(txn), RequestPriority::leadership);
        if (stopped_ || (result.outcome != Outcome::ok && result.outcome != Outcome::conflict)) co_return false;
    }
    co_return true;
}

awaitable<void> LeaderTerm::reread(const std::vector<std::string>& keys) {
    for (const auto& key : keys)
        for (;;) {
            auto got = co_await store_.get(key, RequestPriority::leadership);
            if (stopped_) co_return;
            if (got.outcome == Outcome::ok) {
                if (got.item.mod_revision) callbacks_.seen(got.item);
                scheduler_.record_reread(got.item, Clock::now());
                break;
            }
            co_await net::sleep_for(200ms);
            if (stopped_) co_return;
        }
}

awaitable<void> LeaderTerm::learn_loop() {
    while (!stopped_ && !co_await load()) {
    }
    while (!stopped_) {
        const auto began = Clock::now();
        auto seen = co_await store_.watch(scheduler::jobs_prefix, followed_, follow_hold);
        if (stopped_) break;
        if (seen.outcome == Outcome::too_old) {
            co_await load();
            continue;
        }
        if (seen.outcome != Outcome::ok) {
            co_await net::sleep_for(200ms);
            continue;
        }
        fresh_ = began;
        followed_ = std::max(followed_, seen.revision);
        const auto now = Clock::now();
        const auto wall = callbacks_.time_of_day_ms();
        bool news = false;
        for (std::size_t i = 0; i < seen.events.size(); ++i)
            if (!seen.deleted[i]) callbacks_.seen(seen.events[i]);
        for (std::size_t i = 0; i < seen.events.size(); ++i) {
            // A record that was gone when this term read all, and was put back since, may name places where tasks are.
            if (!seen.deleted[i] && scheduler_.is_behind(seen.events[i], callbacks_.over)) {
                callbacks_.again("a record came back that this term has not read");
                co_return;
            }
        }
        for (std::size_t i = 0; i < seen.events.size(); ++i)
            news = (!seen.deleted[i] && scheduler_.job_changed(seen.events[i], now, wall)) || news;
        if (news) wake();
        if (seen.events.empty()) continue;
        // Our own writes end a watch as well, and each watch is a request.
        if (const auto next = began + follow_gap; next > now) co_await net::sleep_for(next - now);
    }
}

awaitable<void> LeaderTerm::commit_loop() {
    auto last_outcome = Outcome::ok;
    while (!stopped_) {
        co_await commit_.wait(1s);
        while (!stopped_ && loaded_) {
            // In small portions: a large one would use up the writes of a second and keep users waiting for as long.
            auto batch = scheduler_.next_batch(store_.write_portion(), callbacks_.time_of_day_ms());
            if (batch.empty()) break;
            state::Txn txn = batch.txn;
            const auto result = co_await store_.commit(std::move(txn), RequestPriority::bookkeeping);
            if (stopped_) co_return;
            if (result.outcome == Outcome::ok) {
                last_outcome = Outcome::ok;
                if (scheduler_.batch_committed(batch, result.revision, Clock::now())) {
                    stir_ = true;  // what waited for that may start
                    plan_.notify();
                }
                continue;
            }
            if (result.outcome == Outcome::conflict &&
                std::find(result.failed.begin(), result.failed.end(), election::term_key) != result.failed.end()) {
                spdlog::info("event=term_superseded term={}", term_);
                callbacks_.doubt();
                scheduler_.batch_failed(batch);
                co_await net::sleep_for(200ms);
                continue;
            }
            // In an outage one line tells enough.
            spdlog::log(result.outcome == last_outcome ? spdlog::level::debug : spdlog::level::info,
                        "event=write_failed outcome={} failed={}", static_cast<int>(result.outcome),
                        result.failed.size());
            last_outcome = result.outcome;
            if (result.outcome == Outcome::too_large) {
                scheduler_.batch_rejected(batch, Clock::now());
                co_await net::sleep_for(150ms);
                continue;
            }
            if (result.outcome == Outcome::refused) {
                co_await net::sleep_for(150ms);
            } else {
                // Our own late or lost write may stand; its stamps are what the next one must be conditioned on.
                co_await reread(result.outcome == Outcome::conflict ? result.failed : batch.keys);
            }
            if (stopped_) co_return;
            scheduler_.batch_failed(batch);
        }
    }
}

// Removes what jobs that are over have left on record, when nobody else has anything to write.
awaitable<void> LeaderTerm::tidy_loop() {
    while (!stopped_) {
        co_await net::sleep_for(tidy_gap);
        if (stopped_ || !loaded_) continue;
        auto txn = scheduler_.take_garbage(store_.write_portion());
        if (txn.changes.empty()) continue;
        auto sent = txn;
        const auto result = co_await store_.commit(std::move(sent), RequestPriority::garbage_collection);
        // After a conflict they are somebody else's; a later leader finds what nobody has removed.
        if (result.outcome != Outcome::ok && result.outcome != Outcome::conflict) scheduler_.garbage_kept(txn);
    }
}

// Reads what the watch will not tell again: how jobs ended that others wait for. It does so beside the hand-over, which
// must not take longer the more there is to read.
awaitable<void> LeaderTerm::missing_loop() {
    while (!stopped_) {
        co_await net::sleep_for(missing_gap);
        if (stopped_ || !loaded_) continue;
        const auto keys = scheduler_.keys_to_read();
        for (const auto& key : keys) {
            auto got = co_await store_.get(key, RequestPriority::bookkeeping);
            if (stopped_) co_return;
            if (got.outcome != Outcome::ok) break;
            if (scheduler_.job_changed(got.item, Clock::now())) wake();
        }
        if (!keys.empty()) co_await net::sleep_for(missing_again);
    }
}

// Reads what the leader before has noted of the machines, beside the hand-over, and then keeps notes for the next one.
awaitable<void> LeaderTerm::hints_loop() {
    const auto former = co_await read_all(scheduler::hints_prefix);
    if (!former) co_return;
    scheduler_.inventory().recall(hints_.read(former->items));
    while (!stopped_) {
        co_await net::sleep_for(hints_gap);
        if (stopped_ || !loaded_) continue;
        const auto notes = scheduler_.inventory().notes();
        for (const auto& page : hints_.pages(notes)) {
            state::Txn txn;
            txn.conditions.push_back({election::term_key, scheduler_.term_revision()});
            txn.changes.push_back(page);
            const auto result = co_await store_.commit(std::move(txn), RequestPriority::bookkeeping);
            if (stopped_) co_return;
            if (result.outcome != Outcome::ok) break;  // the next round tries again
            hints_.written(page);
        }
    }
}

// Once all that may be on machines is known again, the leaders after this one need not ask.
awaitable<void> LeaderTerm::settle_loop() {
    while (!stopped_ && scheduler_.awaiting_reconciliation()) co_await net::sleep_for(1s);
    while (!stopped_) {
        state::Txn txn;
        txn.conditions.push_back({election::term_key, scheduler_.term_revision()});
        txn.changes.push_back({recovery::unsettled_key, std::nullopt, 0});
        const auto result = co_await store_.commit(std::move(txn), RequestPriority::bookkeeping);
        if (result.outcome == Outcome::ok) callbacks_.settled();
        if (result.outcome == Outcome::ok || result.outcome == Outcome::conflict) co_return;
        co_await net::sleep_for(300ms);
    }
}

// A leader that was cut off or stood still may have a successor, and must not rent or return machines on what it
// remembers: once it returned all that its successor was using. Asked before every call that changes the fleet.
awaitable<LeaderTerm::Leads> LeaderTerm::still_leading() {
    state::Txn txn;
    txn.conditions.push_back({election::term_key, scheduler_.term_revision()});
    const auto result = co_await store_.commit(std::move(txn), RequestPriority::leadership);
    if (result.outcome == Outcome::conflict) callbacks_.doubt();
    if (result.outcome == Outcome::conflict || stopped_) co_return Leads::no;
    co_return result.outcome == Outcome::ok ? Leads::yes : Leads::unknown;
}

// Plans when something changed, at most every plan_gap, and when a window closes.
awaitable<void> LeaderTerm::tick_loop() {
    auto next_full = Clock::now(), next_summary = next_full, next_improve = next_full;
    while (!stopped_) {
        co_await plan_.wait(500ms);
        if (stopped_) break;
        const auto now = awake();
        if (loaded_ && (stir_ || now >= next_full)) {
            stir_ = false;
            if (now >= next_full) next_full = now + 500ms;
            if (scheduler_.place(now)) commit_.notify();
            if (scheduler_.dirty()) commit_.notify();
        }
        if (loaded_ && now >= next_improve) {
            next_improve = now + 1s;
            scheduler_.relocate(now);
            if (scheduler_.dirty()) commit_.notify();
        }
        if (now >= next_summary && spdlog::should_log(spdlog::level::debug)) {
            next_summary = now + 10s;
            spdlog::debug("event=load {}", scheduler_.summary(now));
        }
        co_await net::sleep_for(plan_gap);
    }
}

awaitable<void> LeaderTerm::list_loop() {
    const auto gap = model::to_clock(std::max(settings_.machine_list_lag, Seconds(5)));
    while (!stopped_) {
        auto list = co_await cloud_.machines();
        if (stopped_) break;
        if (list && loaded_) scheduler_.machines_listed(*list, Clock::now());
        co_await net::sleep_for(list ? gap : 2s);
    }
}

awaitable<void> LeaderTerm::cloud_loop() {
    bool again = false;
    while (!stopped_) {
        co_await net::sleep_for(again ? 50ms : 1000ms);
        if (stopped_ || !loaded_) continue;
        co_await return_machines();
        if (stopped_) break;
        again = co_await rent_machines();
    }
}

awaitable<void> LeaderTerm::return_machines() {
    if (scheduler_.scale_in(awake()).empty()) co_return;
    const auto leading = co_await still_leading();
    if (leading == Leads::no) co_return;
    auto leaving = scheduler_.scale_in(awake());
    // In an outage nobody else can win a term, and cancelled work on a machine that hangs must be gone in time all the
    // same. If somebody could after all, a machine is returned that he uses: work is lost, and no rule broken.
    if (leading == Leads::unknown) {
        if (callbacks_.others_reach_state()) co_return;
        std::erase_if(leaving, [](const scheduler::Release& r) { return r.why != scheduler::cancelled_work; });
    }
    scheduler_.release_requested(leaving);
    std::vector<std::string> names;
    names.reserve(leaving.size());
    for (const auto& r : leaving) names.push_back(r.machine);
    if (names.empty()) co_return;
    const bool done = co_await cloud_.release(names);
    if (!done || stopped_) co_return;
    scheduler_.machines_released(names, Clock::now());
    wake();
}

// Rents what is wanted, first of all what an earlier request left unclear. True if a refusal leaves a need that
// another pool may meet at once.
awaitable<bool> LeaderTerm::rent_machines() {
    if (unclear_.empty())
        for (auto& order : scheduler_.scale_out(awake())) {
            // Named after the term, so that no two leaders ever use the same name.
            unclear_.push_back({order, std::to_string(term_) + "-" + std::to_string(++rents_), 0});
        }
    if (unclear_.empty()) co_return false;
    const bool leading = co_await still_leading() == Leads::yes;
    std::deque<Rental> due;
    due.swap(unclear_);
    bool again = false;
    for (auto& rental : due) {
        if (!leading) {
            // What was never sent is planned anew; what was may have been granted, and must be asked for again.
            if (rental.tries > 0) unclear_.push_back(std::move(rental));
            continue;
        }
        const auto& pool = rental.order.pool;
        ++rental.tries;
        const auto result = co_await cloud_.rent(rental.name, pool.type, pool.zone, pool.spot, rental.order.count);
        if (stopped_) co_return false;
        const auto now = Clock::now();
        const auto got = static_cast<int>(result.machines.size());
        if (result.outcome == cloud::Rent::granted) {
            spdlog::info("event=machines_launched request={} type={} zone={} spot={} asked={} got={}", rental.name,
                         pool.type, pool.zone, pool.spot, rental.order.count, got);
            scheduler_.machines_launched(pool, result.machines, now);
        } else if (result.outcome == cloud::Rent::unclear) {
            // Asked again under the same name: if it was granted, the same machines are named.
            if (rental.tries < max_tries) unclear_.push_back(std::move(rental));
            continue;
        } else {
            spdlog::info("event=launch_refused type={} zone={} spot={}", pool.type, pool.zone, pool.spot);
        }
        if (got < rental.order.count) {
            scheduler_.launch_refused(pool, now);
            again = true;
        }
    }
    co_return again;
}

}  // namespace flintdale::app
