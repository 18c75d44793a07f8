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
    // Replaces the marker whose mod revision the given one carries. Returns the new mod revision, or 0 if the marker
    // has to be read again: another one stands there, or there was no answer.
    awaitable<std::uint64_t> replace(state::GenerationMarker marker);
    // The same, with further changes in the same transaction, which come before the marker's.
    awaitable<std::uint64_t> replace_with(state::GenerationMarker marker, std::vector<state::Change> changes);

    // Hold while this marker stands and this controller's term lasts. Cannot hold if it has no term.
    std::vector<state::Condition> leader_conditions(const state::GenerationMarker& marker) const;

    // A marker of that generation with a new identity.
    state::GenerationMarker make_marker(std::uint64_t generation) const;

  private:
    RecoveryContext& context_;
};

// Whether a history was known, when this marker was asked for, that it cannot belong to. What became known while the
// answer was on its way must not be in `known`: the marker may have been made, or replaced, meanwhile. Whatever is
// concluded is written on the condition that the marker still stands.
bool contradicts(const state::GenerationMarker& marker, const std::vector<History>& known);

}  // namespace flintdale::recovery
