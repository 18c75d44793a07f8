// The state that the parts of the scheduler share for one term. Each part holds a reference to it, and owns the state
// that no other part needs. Plain data: the rules are in the parts.
#pragma once
#include <array>

#include "config/settings.hpp"
#include "fleet/machine_inventory.hpp"
#include "model/clock.hpp"
#include "placement/planner.hpp"
#include "quota/quota_accounting.hpp"
#include "scheduler/dependency_graph.hpp"
#include "scheduler/job_table.hpp"
#include "scheduler/record_garbage.hpp"
#include "scheduler/record_queue.hpp"
#include "state/record_format.hpp"

namespace flintdale::scheduler {

// The time `s` after `t`, in the resolution of the clock.
inline TimePoint after(TimePoint t, Seconds s) { return t + model::to_clock(s); }

struct SchedulerState {
    SchedulerState(const config::Settings& settings, const config::OperatorSettings& operator_settings,
                   const state::RecordFormat& record_format, std::uint64_t term, std::uint64_t term_revision,
                   TimePoint now)
        : settings(settings),
          operator_settings(operator_settings),
          record_format(record_format),
          rules{operator_settings.memory_margin, operator_settings.machine_type_groups},
          term(term),
          term_revision(term_revision),
          term_began(now),
          quota(quota::table_of(settings.teams)) {}

    const config::Settings& settings;
    const config::OperatorSettings& operator_settings;
    const state::RecordFormat& record_format;
    placement::Rules rules;

    std::uint64_t term;
    std::uint64_t term_revision;   // modification revision of the term's key; a condition of every write
    TimePoint term_began;          // moved forward by pauses of this process
    bool inherited_tasks = false;  // the records showed placed tasks when this term began
    // The records may lack the last placements, and some machines have not yet reported their tasks under this term.
    bool awaiting_reconciliation = false;
    TimePoint last_shortage{};  // when a job last found no room in a placement pass

    fleet::MachineInventory inventory;
    JobTable jobs;
    DependencyGraph dependencies;
    quota::QuotaAccounting quota;
    RecordQueue record_queue;
    RecordGarbage garbage;
    std::array<std::size_t, 4> placed_array_tasks{};  // by the priority in the job's submission
};

}  // namespace flintdale::scheduler
