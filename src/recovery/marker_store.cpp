#include "recovery/marker_store.hpp"

#include <algorithm>

namespace flintdale::recovery {

using state::GenerationMarker;
using state::RequestPriority;

awaitable<state::GetResult> MarkerStore::read() {
    return context_.store.get(state::marker_key, RequestPriority::leadership);
}

awaitable<std::uint64_t> MarkerStore::replace(GenerationMarker marker) {
    return replace_with(std::move(marker), std::vector<state::Change>());
}

awaitable<std::uint64_t> MarkerStore::replace_with(GenerationMarker marker, std::vector<state::Change> changes) {
    state::Txn txn;
    if (marker.term)
        txn.conditions = leader_conditions(marker);
    else
        txn.conditions.push_back({state::marker_key, marker.mod_revision});
    txn.changes = std::move(changes);
    txn.changes.push_back({state::marker_key, state::marker_record(marker), 0});
    const auto result = co_await context_.store.commit(std::move(txn), RequestPriority::leadership);
    co_return result.outcome == state::Outcome::ok ? result.revision : 0;
}

std::vector<state::Condition> MarkerStore::leader_conditions(const GenerationMarker& marker) const {
    const auto& term = context_.leadership.term;
    std::vector<state::Condition> conditions;
    conditions.push_back({state::marker_key, marker.mod_revision});
    conditions.push_back({election::term_key, term ? term->mod_revision : 0});
    return conditions;
}

GenerationMarker MarkerStore::make_marker(std::uint64_t generation) const {
    GenerationMarker marker;
    marker.generation = generation;
    marker.id = context_.settings.member + "-" + std::to_string(context_.callbacks.time_of_day_ms());
    return marker;
}

bool contradicts(const GenerationMarker& marker, const std::vector<History>& known) {
    return std::any_of(known.begin(), known.end(), [&](const History& history) {
        if (history.generation != marker.generation) return history.generation > marker.generation;
        return !history.id.empty() && history.id != marker.id;
    });
}

}  // namespace flintdale::recovery
