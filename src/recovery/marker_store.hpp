// Reads and replaces the generation marker. A replacement is conditioned on the marker that it was derived from and,
// where a leader makes it, on the leader's term.
#pragma once
#include <vector>

#include "recovery/recovery_context.hpp"

namespace flintdale::recovery {

class MarkerStore {
  public:
    explicit MarkerStore(RecoveryContext& context) : context_(context) {}

    awaitable<state::GetResult> read();
    // Writes the marker if the stored one still has `marker.mod_revision`. Returns the new mod revision, or 0 if the
    // marker has to be read again: it was replaced meanwhile, or the request failed.
    awaitable<std::uint64_t> replace(state::GenerationMarker marker);
    // The same, with further changes in the same transaction, ordered before the marker's.
    awaitable<std::uint64_t> replace_with(state::GenerationMarker marker, std::vector<state::Change> changes);

    // Conditions that hold while this marker is unchanged and this controller's term lasts. They cannot hold without a
    // term.
    std::vector<state::Condition> leader_conditions(const state::GenerationMarker& marker) const;

    // A marker of that generation with a new id.
    state::GenerationMarker make_marker(std::uint64_t generation) const;

  private:
    RecoveryContext& context_;
};

// Whether the marker contradicts a known history: one of a later generation, or another one of the same generation.
// `known` must be taken before the marker is requested, because the marker may be created or replaced while the request
// is in flight. Any write that follows from the result is conditioned on the marker being unchanged.
bool contradicts(const state::GenerationMarker& marker, const std::vector<History>& known);

}  // namespace flintdale::recovery
