// After a loss, every controller offers its replica to the rebuilding controller: it writes the records to the store in
// pages, and then a list that refers to the pages. The rebuilding controller gathers these offers.
#pragma once
#include <optional>
#include <vector>

#include "recovery/marker_store.hpp"
#include "recovery/offer_list.hpp"

namespace flintdale::recovery {

// The replicas of all members that made an offer.
struct GatheredOffers {
    std::vector<ReplicaContents> sources;
    std::vector<std::string> missing;  // members that made no offer in time
    bool placements_known = false;     // the replica of the last leader is among the sources
};

class ReplicaOffers {
  public:
    ReplicaOffers(RecoveryContext& context, const MarkerStore& markers) : context_(context), markers_(markers) {}

    // Offers the records of this controller that the rebuilder may not hold. The rebuilder itself offers its entire
    // replica before it waits for other members, so that the next rebuilder finds it even if all controllers fail
    // meanwhile. False if a request failed or the marker was replaced.
    awaitable<bool> publish(state::GenerationMarker marker);
    // The same, unless it was already done for this marker.
    awaitable<void> publish_once(state::GenerationMarker marker);
    // Waits for the offers of the other members, within time limits. Nullopt if the term was lost.
    awaitable<std::optional<GatheredOffers>> gather(state::GenerationMarker marker);

    // Lets remove_if_due() remove all offers, which are not needed once the term has begun.
    void schedule_removal() { removal_due_ = true; }
    awaitable<void> remove_if_due(state::GenerationMarker marker);

  private:
    using ItemsByKey = std::map<std::string, const state::KeyValue*>;
    // The stored list of this controller. Offers of an earlier incarnation in it are the only remaining copies of that
    // incarnation's replica. Nullopt if it could not be read.
    awaitable<std::optional<OfferList>> previous_list();
    awaitable<bool> write_pages(std::vector<std::string> pages, std::string prefix, std::uint64_t marker_revision);
    // The contents of this controller's replicas. Of a replica of the history `base_history`, only the records newer
    // than `revision`.
    std::vector<ReplicaContents> own_sources(const std::string& base_history, std::uint64_t revision) const;
    // The offers made for this marker; nullopt while a member's offer has to be waited for.
    std::optional<GatheredOffers> evaluate(const state::GenerationMarker& marker,
                                           const std::vector<state::KeyValue>& items, bool last_attempt) const;
    bool must_wait_for(const std::string& member) const;
    std::vector<std::string> all_members() const;

    RecoveryContext& context_;
    const MarkerStore& markers_;
    std::string published_for_;  // id and mod revision of the marker of the last publish_once()
    bool removal_due_ = false;
};

}  // namespace flintdale::recovery
