// Reads the records of jobs when a term begins, checks them against what this controller remembers, and then watches
// them for changes. It tells the scheduler what it reads, and writes nothing.
#pragma once
#include "app/term_context.hpp"

namespace flintdale::app {

class RecordWatcher {
  public:
    explicit RecordWatcher(TermContext& context) : context_(context) {}
    // Runs until the term ends.
    awaitable<void> run();

  private:
    // Reads all records of open work; false if that has to be repeated, or the term has ended.
    awaitable<bool> load();
    awaitable<bool> apply_existing_outcomes();
    awaitable<bool> check_remembered_jobs();
    void apply_outcome(const std::string& uid);
    // Tells the scheduler of the changes. False if this term has missed a record and must end.
    bool apply_changes(const state::WatchResult& changes, TermContext::TimePoint now);

    TermContext& context_;
    std::uint64_t watched_revision_ = 0;
};

}  // namespace flintdale::app
