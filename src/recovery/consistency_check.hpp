// Asks the state service what this controller remembers to be there, and says what the answer shows. Requests overtake
// one another, and the memory goes on while one is under way: an answer shows the service as it stood at some moment
// after the request was sent, so it may be held only against what was known before that and is unchanged since. Every
// comparison of records goes through here (or through GuardedStore, for what the rest of the process asks): the mark is
// taken inside, before the request leaves, so that nobody can take it too late.
// What the first version did instead declared losses on healthy days: docs/incidents/loss-without-a-loss.md.
#pragma once
#include <functional>

#include "recovery/record_replica.hpp"

namespace flintdale::recovery {

using net::awaitable;

class ConsistencyCheck {
  public:
    // `newest`: the highest revision of this history that anybody has told of.
    ConsistencyCheck(state::Store& store, const RecordReplica& replica, std::function<std::uint64_t()> newest)
        : store_(store), replica_(replica), newest_(std::move(newest)) {}

    struct Page {
        state::RangeResult read;
        bool went_back = false;  // shows a revision below one that was known when it was asked for
        // Of all records of jobs: remembered then, unchanged since, and absent or older. To be looked at again.
        std::vector<std::string> missing;
    };
    awaitable<Page> read_page(std::string prefix, std::string after, state::RequestPriority priority) const;

    struct Changes {
        state::WatchResult seen;
        bool went_back = false;
    };
    awaitable<Changes> read_changes(std::string prefix) const;

    // The very record, read again now. Gone: at `revision` it had the stamp `there` (0: absent), which is older than
    // the one remembered, and nothing that removes records in good order had happened to its job. Whether it is
    // remembered still, and how, is to be judged by a memory that was told of everything up to that revision.
    struct Finding {
        enum class Verdict : std::uint8_t { unclear, sound, lost } verdict = Verdict::unclear;
        std::string key;
        std::uint64_t present = 0, expected = 0, revision = 0;
        bool damaged = false;  // there, with its stamp, and no longer what was written
    };
    awaitable<Finding> recheck(std::string key, state::RequestPriority priority) const;

  private:
    state::Store& store_;
    const RecordReplica& replica_;
    std::function<std::uint64_t()> newest_;
};

}  // namespace flintdale::recovery
