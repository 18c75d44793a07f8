// After a loss every controller offers its replica to the one that rebuilds: it writes the records page by page, and
// then a list that names the pages. The one that rebuilds gathers the offers.
#pragma once
#include <optional>
#include <vector>

#include "recovery/marker_store.hpp"
#include "recovery/offer_list.hpp"

namespace flintdale::recovery {

// Everything that was offered.
struct GatheredOffers {
    std::vector<ReplicaContents> sources;
    std::vector<std::string> missing;  // members that made no offer in time
    bool placements_known = false;     // the replica of the last leader is among the sources
};

class ReplicaOffers {
  public:
    ReplicaOffers(RecoveryContext& context, const MarkerStore& markers) : context_(context), markers_(markers) {}

    // Offers what this controller holds and the one that rebuilds may not. That one itself offers all of its replica
    // before it waits for others: if all controllers end meanwhile, the next one finds it. False if the store did not
    // take it, or the marker was replaced.
    awaitable<bool> publish(state::GenerationMarker marker);
    // The same, unless it was done for this very marker.
    awaitable<void> publish_once(state::GenerationMarker marker);
    // Waits for the offers of the others, within time limits. Nothing if the term was lost.
    awaitable<std::optional<GatheredOffers>> gather(state::GenerationMarker marker);

    // The offers are no longer needed, once the term has begun.
    void schedule_removal() { removal_due_ = true; }
    awaitable<void> remove_if_due(state::GenerationMarker marker);

  private:
    using ItemsByKey = std::map<std::string, const state::KeyValue*>;
    // What the last list of this controller holds: of an earlier incarnation, it is all that is left of that replica.
    awaitable<std::optional<OfferList>> previous_list();
    awaitable<bool> write_pages(std::vector<std::string> pages, std::string prefix, std::uint64_t marker_revision);
    // The replicas of this controller. Of the history `of`, only what is newer than `revision`.
    std::vector<ReplicaContents> own_sources(const std::string& of, std::uint64_t revision) const;
    // The offers that were made for this marker; nothing while one has still to be waited for.
    std::optional<GatheredOffers> evaluate(const state::GenerationMarker& marker,
                                           const std::vector<state::KeyValue>& items, bool last_attempt) const;
    bool must_wait_for(const std::string& member) const;
    std::vector<std::string> all_members() const;

    RecoveryContext& context_;
    const MarkerStore& markers_;
    std::string published_for_;  // the marker's identity and mod revision
    bool removal_due_ = false;
};

}  // namespace flintdale::recovery
