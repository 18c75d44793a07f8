// Records of jobs that are over, kept until there is nothing better to write than their removal.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "scheduler/job.hpp"
#include "state/store.hpp"

namespace flintdale::scheduler {

class RecordGarbage {
  public:
    void add(const std::string& key, std::uint64_t mod_revision) { records_.push_back({key, mod_revision}); }
    // Takes up to so many records out and returns the transaction that removes them, conditioned on their revisions.
    // The caller adds the term's condition. Empty if there is nothing to remove.
    state::Txn take(std::size_t most);
    // The transaction was not committed: its records are garbage still.
    void restore(const state::Txn& txn);

  private:
    std::vector<OldRecord> records_;  // the last one is removed first
};

}  // namespace flintdale::scheduler
