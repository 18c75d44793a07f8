// Compares the store with the replica. Requests overtake one another, and the replica changes while one is under way:
// an answer shows the store as it stood at some moment after the request was sent, so it may be compared only with what
// was known before that and is unchanged since. Every comparison of records goes through here (or through GuardedStore,
// for what the rest of the process asks): the mark is taken inside, before the request leaves, so that nobody can take
// it too late. The first version declared losses on healthy days: docs/incidents/loss-without-a-loss.md.
#pragma once
#include <functional>

#include "recovery/record_replica.hpp"

namespace flintdale::recovery {

using net::awaitable;

class ConsistencyCheck {
  public:
    // `newest`: the highest revision of this history that this controller or a peer knows of.
    ConsistencyCheck(state::Store& store, const RecordReplica& replica, std::function<std::uint64_t()> newest)
        : store_(store), replica_(replica), newest_(std::move(newest)) {}

    // Part of the items under a prefix.
    struct Page {
        state::RangeResult read;
        bool went_back = false;  // its revision is below one that was known when the request was sent
        // Keys of jobs that were held then, are unchanged since, and are absent or older. To be read again.
        std::vector<std::string> missing;
    };
    // Reads the items after a key.
    awaitable<Page> read_page(std::string prefix, std::string after, state::RequestPriority priority) const;

    // What changed since the replica's revision.
    struct Changes {
        state::WatchResult seen;
        bool went_back = false;
    };
    awaitable<Changes> read_changes(std::string prefix) const;

    // What a second read of one record has shown. Lost: at `revision` it had the mod revision `present` (0: absent),
    // which is older than the expected one, and nothing that removes records in good order had happened to its job.
    // Whether it is still expected must be judged by a replica that holds everything up to that revision.
    struct Finding {
        enum class Verdict : std::uint8_t { unclear, sound, lost } verdict = Verdict::unclear;
        std::string key;
        std::uint64_t present = 0, expected = 0, revision = 0;
        bool damaged = false;  // present under its mod revision, with an unreadable value
    };
    awaitable<Finding> recheck(std::string key, state::RequestPriority priority) const;

  private:
    state::Store& store_;
    const RecordReplica& replica_;
    std::function<std::uint64_t()> newest_;
};

}  // namespace flintdale::recovery
