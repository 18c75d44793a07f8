// Compares the store with the replica. Requests are not answered in order, and the replica changes while a request is
// in flight. An answer shows the store at some moment after the request was sent, so it may be compared only with
// records that the replica held before that and that are unchanged since. All comparisons of the recovery package are
// made here, so that the replica's position is always taken before the request is sent (GuardedStore does the same for
// the rest of the process). Comparing with later state once declared losses on healthy clusters:
// docs/incidents/loss-without-a-loss.md.
#pragma once
#include <functional>

#include "recovery/record_replica.hpp"

namespace flintdale::recovery {

using net::awaitable;

class ConsistencyCheck {
  public:
    // `newest` returns the highest revision of this history that this controller or a peer knows of.
    ConsistencyCheck(state::Store& store, const RecordReplica& replica, std::function<std::uint64_t()> newest)
        : store_(store), replica_(replica), newest_(std::move(newest)) {}

    // One page of the items under a prefix.
    struct Page {
        state::RangeResult read;
        bool rolled_back = false;  // its revision is below one that was known when the request was sent
        // Keys of job records that the replica held when the request was sent and holds unchanged, but that the page
        // shows absent, older or damaged. To be checked with recheck().
        std::vector<std::string> missing;
    };
    // Reads the items after the key `after`.
    awaitable<Page> read_page(std::string prefix, std::string after, state::RequestPriority priority) const;

    // The changes since the replica's revision.
    struct Changes {
        state::WatchResult seen;
        bool rolled_back = false;
    };
    awaitable<Changes> read_changes(std::string prefix) const;

    // The result of reading one record again. Lost: at `revision`, the record had the mod revision `present` (0:
    // absent), which is older than the expected one (or it is damaged), and its job had no outcome, which would have
    // permitted its removal. The caller must then check whether it is still expected, with a replica that has caught up
    // to `revision`.
    struct Finding {
        enum class Verdict : std::uint8_t { inconclusive, intact, lost } verdict = Verdict::inconclusive;
        std::string key;
        std::uint64_t present = 0, expected = 0, revision = 0;
        bool damaged = false;  // the value is unreadable, although the replica holds a readable one
    };
    awaitable<Finding> recheck(std::string key, state::RequestPriority priority) const;

  private:
    state::Store& store_;
    const RecordReplica& replica_;
    std::function<std::uint64_t()> newest_;
};

}  // namespace flintdale::recovery
