// A leader's background tasks beside its main loops: removing records of jobs that are over, reading single keys that
// the scheduler requests, and recording that the reconciliation with the machines is complete.
#pragma once
#include "app/term_context.hpp"

namespace flintdale::app {

class RecordMaintenance {
  public:
    explicit RecordMaintenance(TermContext& context) : context_(context) {}
    // Removes what jobs that are over have left on record, at the lowest request priority, below all other writes. Runs
    // until the term ends.
    awaitable<void> run_garbage_collection();
    // Reads records that the watch does not report again: the outcomes of jobs that other jobs depend on. This is a
    // loop of its own, so that a failover does not take longer when there is more to read. Runs until the term ends.
    awaitable<void> run_requested_reads();
    // Waits until every task that may be on a machine is known again, and records that, so that later leaders need not
    // repeat the reconciliation. Ends when that is done, or with the term.
    awaitable<void> run_reconciliation_end();

  private:
    TermContext& context_;
};

}  // namespace flintdale::app
