// What a leader records about the machines for the next one: which images they hold, and which are quarantined. No
// heartbeat tells this, and a leader that does not know it places everything as if no machine held any image: tasks
// then fetch for minutes what another machine holds already. Hints are advice: they may be old or missing, and no rule
// depends on them. No I/O: the records are carried by app/.
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

    // The records that differ from what was last written, each within the limit on values, and deletions of those that
    // are no longer needed. The hints must be in the order of the machines' names.
    std::vector<state::Change> pages(std::span<const wire::MachineHint> notes);
    // That change is on record now.
    void written(const state::Change& page);
    // The hints in a former leader's records; also notes which records there are. Unreadable ones are left out.
    std::vector<wire::MachineHint> read(const std::vector<state::KeyValue>& items);

  private:
    const state::RecordFormat& record_format_;
    std::size_t per_page_ = 512;                    // machines; halved until a page fits
    std::map<std::string, std::string> on_record_;  // text of each record; empty where it is not known
};

}  // namespace flintdale::scheduler
