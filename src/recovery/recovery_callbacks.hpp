// Functions of the rest of the controller that the recovery package calls.
#pragma once
#include <functional>
#include <vector>

#include "election/elector.hpp"
#include "model/clock.hpp"
#include "state/store.hpp"

namespace flintdale::recovery {

// All functions must be set. They are called on the controller's thread and must not block.
struct RecoveryCallbacks {
    // Milliseconds since the epoch, by the wall clock.
    std::function<std::int64_t()> time_of_day_ms;
    // The records are complete, and this term may rely on them. `reconciliation_pending`: machines may run tasks that
    // no record names.
    std::function<void(election::Term, bool reconciliation_pending)> begin_term;
    // The current term began before the loss. It must end, and a new one has to be won.
    std::function<void(const char* why)> restart_term;
    // Which outcomes a call of outcomes_read() covers.
    enum class OutcomeCoverage : std::uint8_t {
        after_gap,  // outcomes may have been missed before this read
        changes,    // outcomes changed since the previous read
        all,        // every outcome that any replica holds
    };
    // A read that was sent at `began` returned these outcomes.
    std::function<void(const std::vector<state::KeyValue>&, model::TimePoint began, OutcomeCoverage coverage)>
        outcomes_read;
    // The records are complete again after a loss, and may differ from those before.
    std::function<void()> records_rebuilt;
    // The highest term that this controller has seen.
    std::function<std::uint64_t()> highest_seen_term;
    // The incarnation of this controller process; different after each start.
    std::uint64_t incarnation = 0;
};

}  // namespace flintdale::recovery
