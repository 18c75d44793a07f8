// Records of jobs that are over. They are removed with the lowest priority of all writes.
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
    // Takes out at most `max_records` records and returns the transaction that removes them, conditioned on their
    // revisions. The caller adds the condition on the term. Empty if there is no garbage.
    state::Txn take(std::size_t max_records);
    // The transaction was not committed, so its records are added again.
    void restore(const state::Txn& txn);

  private:
    std::vector<OldRecord> records_;  // removed from the back
};

}  // namespace flintdale::scheduler
