#include "simulator/fault.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace flintdale::simulator {

namespace {
using KindName = std::pair<FaultKind, std::string_view>;
constexpr std::array kind_names{
    KindName{FaultKind::store_erased, "wipe"},
    KindName{FaultKind::store_rolled_back, "set_back"},
    KindName{FaultKind::keys_erased, "lose"},
    KindName{FaultKind::keys_reverted, "age"},
    KindName{FaultKind::keys_corrupted, "garble"},
    KindName{FaultKind::store_outage, "outage"},
    KindName{FaultKind::store_refuses, "refused"},
    KindName{FaultKind::store_partitioned, "cut_state"},
    KindName{FaultKind::late_commits, "late_writes"},
    KindName{FaultKind::leases_expire, "end_claims"},
    KindName{FaultKind::controller_crash, "crash"},
    KindName{FaultKind::controller_freeze, "freeze"},
    KindName{FaultKind::controller_isolated, "isolate"},
    KindName{FaultKind::workers_cut, "cut_workers"},
    KindName{FaultKind::peers_cut, "cut_peers"},
    KindName{FaultKind::zone_cut, "cut_zone"},
    KindName{FaultKind::delayed_messages, "held"},
    KindName{FaultKind::cloud_outage, "cloud_down"},
    KindName{FaultKind::machines_die, "machines_die"},
    KindName{FaultKind::machines_hang, "machines_hang"},
    KindName{FaultKind::machines_cut, "machines_cut"},
    KindName{FaultKind::answers_lost, "machines_deaf"},
    KindName{FaultKind::heartbeats_lost, "machines_mute"},
    KindName{FaultKind::repeated_heartbeats, "late_reports"},
    KindName{FaultKind::arrival_burst, "burst"},
    KindName{FaultKind::cancel_running, "cancel_now"},
    KindName{FaultKind::cancel_at_completion, "cancel_at_end"},
    KindName{FaultKind::odd_requests, "odd_requests"},
};

using TriggerName = std::pair<FaultTrigger, std::string_view>;
constexpr std::array trigger_names{
    TriggerName{FaultTrigger::none, ""},
    TriggerName{FaultTrigger::previous_fault_began, "begun"},
    TriggerName{FaultTrigger::leader_elected, "elected"},
    TriggerName{FaultTrigger::running_job_cancelled, "cancelled"},
};

template <class Names>
auto find_by_name(const Names& names, std::string_view name) -> std::optional<typename Names::value_type::first_type> {
    const auto found =
        std::find_if(names.begin(), names.end(), [&](const auto& entry) { return entry.second == name; });
    if (found == names.end()) return std::nullopt;
    return found->first;
}
}  // namespace

std::string_view to_string(FaultKind kind) {
    const auto found =
        std::find_if(kind_names.begin(), kind_names.end(), [&](const KindName& entry) { return entry.first == kind; });
    return found == kind_names.end() ? "" : found->second;
}

std::optional<FaultKind> fault_kind_from(std::string_view name) { return find_by_name(kind_names, name); }

std::optional<FaultTrigger> fault_trigger_from(std::string_view name) { return find_by_name(trigger_names, name); }

}  // namespace flintdale::simulator
