// What the parts of the scheduler share for one term. Each part holds a reference to it and owns what only it needs.
// Plain data: the rules are in the parts.
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

// The time so many seconds later, in the clock's own resolution.
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
    std::uint64_t term_revision;   // of the key of the term, on which every write is conditioned
    TimePoint term_began;          // pauses of this process do not count
    bool inherited_tasks = false;  // tasks were placed on record when this term began
    // The records may lack the last placements, and not every machine has shown yet what it runs.
    bool awaiting_reconciliation = false;
    TimePoint last_shortage{};  // when a job last found no room in its turn

    fleet::MachineInventory inventory;
    JobTable jobs;
    DependencyGraph dependencies;
    quota::QuotaAccounting quota;
    RecordQueue record_queue;
    RecordGarbage garbage;
    std::array<std::size_t, 4> placed_array_tasks{};  // by the priority of the submission
};

}  // namespace flintdale::scheduler
