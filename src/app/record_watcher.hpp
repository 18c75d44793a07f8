// Reads the job records when a term begins, checks them against those that this controller remembers, and then watches
// them for changes. It passes the records to the scheduler, and writes none.
#pragma once
#include "app/term_context.hpp"

namespace flintdale::app {

class RecordWatcher {
  public:
    explicit RecordWatcher(TermContext& context) : context_(context) {}
    // Runs until the term ends.
    awaitable<void> run();

  private:
    // Reads all records of open work. Returns false if that has to be repeated, or the term has ended.
    awaitable<bool> load();
    awaitable<bool> apply_existing_outcomes();
    awaitable<bool> check_remembered_jobs();
    void apply_outcome(const std::string& uid);
    // Passes the changes to the scheduler. Returns false if this term has missed a record and must end.
    bool apply_changes(const state::WatchResult& changes, TermContext::TimePoint now);

    TermContext& context_;
    std::uint64_t watched_revision_ = 0;
};

}  // namespace flintdale::app
