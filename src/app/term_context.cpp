#include "app/term_context.hpp"

#include <spdlog/spdlog.h>

namespace flintdale::app {

using namespace std::chrono_literals;
using model::Clock;
using model::Seconds;

namespace {
constexpr auto pause_threshold = 2500ms;  // between two calls of loops that run at least once a second
constexpr auto read_retry_delay = 150ms;
}  // namespace

TermContext::TermContext(net::Executor executor, state::Store& state_store, const config::Settings& cluster_settings,
                         const config::OperatorSettings& operator_settings, const state::RecordFormat& format,
                         election::Term term, LeaderTermEnvironment term_environment)
    : store(state_store),
      settings(cluster_settings),
      record_format(format),
      environment(std::move(term_environment)),
      term_number(term.number),
      scheduler(cluster_settings, operator_settings, format, term.number, term.mod_revision, Clock::now()),
      commit_wakeup(executor),
      planning_wakeup(executor),
      last_active_(Clock::now()) {}

model::TimePoint TermContext::now_checking_for_pause() {
    const auto now = Clock::now();
    if (const auto gap = now - last_active_; gap > pause_threshold) {
        spdlog::info("event=process_paused seconds={:.1f}", Seconds(gap).count());
        scheduler.process_paused(gap);
        environment.leadership.verify();
    }
    last_active_ = now;
    return now;
}

void TermContext::request_commit_and_planning() {
    commit_wakeup.notify();
    request_planning();
}

void TermContext::request_planning() {
    planning_requested = true;
    planning_wakeup.notify();
}

void TermContext::stop() {
    stopped = true;
    commit_wakeup.notify();
    planning_wakeup.notify();
}

state::Txn TermContext::conditioned_on_term() const {
    state::Txn txn;
    txn.conditions.push_back({election::term_key, scheduler.term_revision()});
    return txn;
}

awaitable<std::optional<RecordRange>> TermContext::read_all(std::string prefix) {
    RecordRange range;
    std::string after;
    for (;;) {
        auto page = co_await store.range(prefix, after, state::RequestPriority::leadership);
        if (stopped) co_return std::nullopt;
        if (page.outcome != state::Outcome::ok) {
            co_await net::sleep_for(read_retry_delay);
            if (stopped) co_return std::nullopt;
            continue;
        }
        if (!range.revision) range.revision = page.revision;
        for (auto& item : page.items) range.items.push_back(std::move(item));
        if (!page.more || page.items.empty()) break;
        after = range.items.back().key;
    }
    co_return std::optional<RecordRange>(std::move(range));
}

}  // namespace flintdale::app
