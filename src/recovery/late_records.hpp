// Adds records of a previous history that only this controller holds, because the records were rebuilt without its
// replica while it was unreachable. Jobs that only it accepted or cancelled are stored once it is back. No other
// controller can have given users a contradicting answer, because none knew of them.
#pragma once
#include "recovery/recovery_context.hpp"

namespace flintdale::recovery {

class LateRecords {
  public:
    explicit LateRecords(RecoveryContext& context) : context_(context) {}

    // Whether an attempt to add the records is due.
    bool due() const;
    // Makes one attempt. Until all records are added, no controller may state that an unknown job never existed.
    awaitable<void> add();
    // Drops the previous replica 60 s after its records were added: if data are lost again just after a rebuild, it is
    // still the best source.
    void drop_previous_replica_if_due();

  private:
    // Whether the current replica does not hold the job, or holds it open and this record is its outcome.
    bool missing(const std::string& key) const;
    // Whether this record is the outcome of a job that is open in the current replica.
    bool is_late_cancellation(const std::string& key) const;
    // False if some writes were refused or not answered.
    awaitable<bool> add_all();

    RecoveryContext& context_;
    model::TimePoint next_attempt_{}, keep_until_{};
};

}  // namespace flintdale::recovery
