// Hints about machines that a leader records for its successor: cached images and quarantined machines. Heartbeats do
// not contain them. Without hints a new leader places tasks as if no machine held any image, and they fetch for minutes
// an image that another machine holds. Hints may be outdated or missing, and no rule depends on them. No I/O: app/
// reads and writes the records.
#pragma once
#include <map>
#include <span>

#include "state/record_format.hpp"
#include "state/store.hpp"
#include "wire/machine_hints.hpp"

namespace flintdale::scheduler {

inline constexpr const char* hints_prefix = "notes/";

class HandoverHints {
  public:
    explicit HandoverHints(const state::RecordFormat& record_format) : record_format_(record_format) {}

    // The records that differ from the last written ones, each within the limit on values, and deletions of records
    // that are no longer needed. The hints must be sorted by machine name.
    std::vector<state::Change> pages(std::span<const wire::MachineHint> hints);
    // The change has been committed.
    void written(const state::Change& page);
    // Decodes the records of an earlier leader, and remembers which of them exist. Unreadable records are skipped.
    std::vector<wire::MachineHint> read(const std::vector<state::KeyValue>& items);

  private:
    const state::RecordFormat& record_format_;
    std::size_t per_page_ = 512;                    // machines per record; halved until a record fits
    std::map<std::string, std::string> on_record_;  // value by key; empty if the value is unknown
};

}  // namespace flintdale::scheduler
