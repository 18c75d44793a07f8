// What the recovery package calls in the rest of the controller.
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
    // The records are complete, and this term may rely on them. `unsettled`: machines may run tasks without a record.
    std::function<void(election::Term, bool unsettled)> begin_term;
    // The current term began before the loss and must end; another one has to be won.
    std::function<void(const char* why)> restart_term;
    // How much the outcomes that are passed on cover.
    enum class OutcomeCoverage : std::uint8_t {
        after_gap,  // changes may have been missed before this read
        changes,    // changes since the read before
        all,        // every outcome that any replica holds
    };
    // A read of the outcomes, sent at `began`, returned these.
    std::function<void(const std::vector<state::KeyValue>&, model::TimePoint began, OutcomeCoverage coverage)>
        outcomes_read;
    // The records are complete again, and may differ from those before.
    std::function<void()> records_rebuilt;
    // The highest term that this controller has seen.
    std::function<std::uint64_t()> highest_seen_term;
    // Of this controller; another one after each start.
    std::uint64_t incarnation = 0;
};

}  // namespace flintdale::recovery
