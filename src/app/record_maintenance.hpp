// The small tasks of a leader beside its main loops: removing records of jobs that are over, reading single keys that
// the scheduler asks for, and putting on record that the reconciliation with the machines is complete.
#pragma once
#include "app/term_context.hpp"

namespace flintdale::app {

class RecordMaintenance {
  public:
    explicit RecordMaintenance(TermContext& context) : context_(context) {}
    // Removes what jobs that are over have left on record, when nobody else has anything to write. Runs until the term
    // ends.
    awaitable<void> run_garbage_collection();
    // Reads what the watch does not report again: the outcomes of jobs that others depend on. It runs beside the
    // failover, which must not take longer the more there is to read. Runs until the term ends.
    awaitable<void> run_requested_reads();
    // Waits until every task that may be on a machine is known again, and puts that on record, so that later leaders
    // need not ask. Ends when that is done, or with the term.
    awaitable<void> run_reconciliation_end();

  private:
    TermContext& context_;
};

}  // namespace flintdale::app
