// Records that only this controller holds, of a history that ended while it was out of reach: others rebuilt without
// its replica. What it alone had accepted or cancelled is put on record when it is back. Nobody else can have answered
// otherwise, for nobody else knew of it.
#pragma once
#include "recovery/recovery_context.hpp"

namespace flintdale::recovery {

class LateRecords {
  public:
    explicit LateRecords(RecoveryContext& context) : context_(context) {}

    // Whether an attempt to add the records is due.
    bool due() const;
    // Until all records are added, nobody here or elsewhere is certain that a job never existed.
    awaitable<void> add();
    // Drops the previous replica some time after its records were added: if data are lost again just after a
    // rebuilding, it is still the best there is.
    void drop_previous_replica_if_due();

  private:
    // Whether the present replica lacks what this record says.
    bool missing(const std::string& key) const;
    // The record ends a job that is open by the present replica.
    bool is_late_cancellation(const std::string& key) const;
    // False if some records were refused or had no answer.
    awaitable<bool> add_all();

    RecoveryContext& context_;
    model::TimePoint next_attempt_{}, keep_until_{};
};

}  // namespace flintdale::recovery
