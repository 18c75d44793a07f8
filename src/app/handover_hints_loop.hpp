// Reads the hints about machines that the previous leader recorded, in parallel with the failover, and then records
// such hints for the next leader.
#pragma once
#include "app/term_context.hpp"
#include "scheduler/handover_hints.hpp"

namespace flintdale::app {

class HandoverHintsLoop {
  public:
    explicit HandoverHintsLoop(TermContext& context) : context_(context), hints_(context.record_format) {}
    // Runs until the term ends.
    awaitable<void> run();

  private:
    // Writes the pages that have changed; stops at the first that cannot be written.
    awaitable<void> write_changed_pages();

    TermContext& context_;
    scheduler::HandoverHints hints_;
};

}  // namespace flintdale::app
