// What this controller has lately read of jobs, so that most questions need no more than a comparison. It holds so many
// of them and drops what was not asked for the longest; what is missing is read again. Nobody relies on an entry being
// there still: whoever asks keeps the evidence that his own check returned (docs/incidents/cache-emptied-in-use.md).
#pragma once
#include <boost/multi_index/hashed_index.hpp>
#include <boost/multi_index/member.hpp>
#include <boost/multi_index/sequenced_index.hpp>
#include <boost/multi_index_container.hpp>
#include <memory>
#include <string>
#include <vector>

#include "model/job.hpp"
#include "state/store.hpp"

namespace flintdale::api {

struct KnownJob {
    model::JobState state = model::JobState::open;
    model::JobSize size;
    std::vector<std::string> dependencies;  // of an open job
    bool over() const { return state != model::JobState::open; }
};
// Of a job that was accepted. It stays as it is for as long as somebody holds it.
using JobEvidence = std::shared_ptr<const KnownJob>;

// What a record says of its job; nothing, with a line in the log, if it cannot be read.
std::optional<KnownJob> known_from(const state::KeyValue& record);

class KnownJobs {
  public:
    explicit KnownJobs(std::size_t most) : most_(most) {}

    // Null if it is not at hand.
    JobEvidence find(const std::string& uid);
    // The newer of this and what is known: answers overtake one another on their way here, and a job only ever moves
    // forward.
    JobEvidence learn(const std::string& uid, KnownJob job);
    // The records were rebuilt: what they say of jobs that are not over has to be read again.
    void forget_open();
    std::size_t size() const { return entries_.size(); }

  private:
    struct Entry {
        std::string uid;
        JobEvidence job;
    };
    // The last that was asked for comes first.
    boost::multi_index_container<
        Entry, boost::multi_index::indexed_by<
                   boost::multi_index::sequenced<>,
                   boost::multi_index::hashed_unique<boost::multi_index::member<Entry, std::string, &Entry::uid>>>>
        entries_;
    std::size_t most_;
};

}  // namespace flintdale::api
