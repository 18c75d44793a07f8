// Writes the scheduler's changes to the state service, each batch on the condition that this term is still the newest.
// After a conflict or a lost response, it reads the keys again before the scheduler retries.
#pragma once
#include "app/term_context.hpp"

namespace flintdale::app {

class RecordCommitter {
  public:
    explicit RecordCommitter(TermContext& context) : context_(context) {}
    // Runs until the term ends.
    awaitable<void> run();

  private:
    // Writes one batch. Returns whether more may have to be written; false also if the term has ended.
    awaitable<bool> commit_next_batch();
    awaitable<void> recover_from_failure(scheduler::Batch batch, state::TxnResult result);
    awaitable<void> read_again(std::vector<std::string> keys);
    void log_failure(const state::TxnResult& result);

    TermContext& context_;
    state::Outcome last_outcome_ = state::Outcome::ok;
};

}  // namespace flintdale::app
