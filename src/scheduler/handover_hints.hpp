// What a leader writes down for the next one about the machines: which images they hold, and which are at fault. No
// report tells this, and a leader that does not know it places everything as if no machine held any image: tasks then
// fetch for minutes what lies on the machine beside. Notes are advice: they may be old or missing, and no rule rests on
// them. Pure: the pages are carried by app/.
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

    // The pages that differ from what was last written, each within the limit on values, and pages that are no longer
    // needed as deletions. Machines are in the order of their names.
    std::vector<state::Change> pages(std::span<const wire::MachineHint> notes);
    // That page is on record now.
    void written(const state::Change& page);
    // What a former leader wrote: its notes, and which pages there are. What cannot be read is left out.
    std::vector<wire::MachineHint> read(const std::vector<state::KeyValue>& items);

  private:
    const state::RecordFormat& record_format_;
    std::size_t per_page_ = 512;                    // machines; halved until a page fits
    std::map<std::string, std::string> on_record_;  // text of each page; empty where it is not known
};

}  // namespace flintdale::scheduler
