// The state that all loops of one leader term share: the scheduler, the state service, the wakeups of the commit loop
// and the planning loop, and whether the term has read the records and is still running. LeaderTerm owns it.
#pragma once
#include <optional>

#include "app/leader_term_environment.hpp"
#include "config/settings.hpp"
#include "election/elector.hpp"
#include "model/clock.hpp"
#include "net/asio.hpp"
#include "scheduler/scheduler.hpp"
#include "state/store.hpp"

namespace flintdale::app {

using net::awaitable;

// All records under a prefix, and the revision of the first page: a watch from that revision misses no change.
struct RecordRange {
    std::vector<state::KeyValue> items;
    std::uint64_t revision = 0;
};

class TermContext {
  public:
    using TimePoint = model::TimePoint;

    TermContext(net::Executor executor, state::Store& state_store, const config::Settings& cluster_settings,
                const config::OperatorSettings& operator_settings, const state::RecordFormat& format,
                election::Term term, LeaderTermEnvironment term_environment);

    // The current time, for a caller that is about to act on earlier observations. The clock advances while the process
    // is paused, so after a gap a missing heartbeat is no evidence about its machine, and another controller may lead.
    // The loops call this at least once a second; the first call after a gap reports the pause to the scheduler and has
    // the leadership verified.
    TimePoint now_checking_for_pause();

    // Wakes the commit loop and the planning loop after a change.
    void request_commit_and_planning();
    void request_planning();
    // Ends all loops, each at its next step.
    void stop();

    // A transaction that fails unless this term is still the newest on record.
    state::Txn conditioned_on_term() const;
    // Reads all keys with that prefix, and retries until the state service responds. Returns nullopt if the term ends
    // meanwhile.
    awaitable<std::optional<RecordRange>> read_all(std::string prefix);

    state::Store& store;
    const config::Settings& settings;
    const state::RecordFormat& record_format;
    LeaderTermEnvironment environment;
    std::uint64_t term_number;
    scheduler::Scheduler scheduler;
    net::Wakeup commit_wakeup, planning_wakeup;
    bool stopped = false;
    bool loaded = false;              // the records have been read
    bool planning_requested = false;  // something changed since the last pass
    TimePoint loaded_at{};
    // Start of the last read or watch that showed all cancellations on record up to that time.
    TimePoint cancellations_read_at{};

  private:
    TimePoint last_active_;
};

}  // namespace flintdale::app
