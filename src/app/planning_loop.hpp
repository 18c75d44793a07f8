// Runs the scheduler's passes: placement when something changed and at least twice a second, relocation every second.
#pragma once
#include "app/term_context.hpp"

namespace flintdale::app {

class PlanningLoop {
  public:
    explicit PlanningLoop(TermContext& context) : context_(context) {}
    // Runs until the term ends.
    awaitable<void> run();

  private:
    void place_if_due(TermContext::TimePoint now);
    void relocate_if_due(TermContext::TimePoint now);
    void log_summary_if_due(TermContext::TimePoint now);

    TermContext& context_;
    TermContext::TimePoint next_placement_{}, next_relocation_{}, next_summary_{};
};

}  // namespace flintdale::app
