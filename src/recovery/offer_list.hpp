// The stored list of a controller's replica offers: see ReplicaOffers. Lists of earlier versions can be read too.
#pragma once
#include <boost/json.hpp>
#include <cstdint>
#include <set>
#include <string>

namespace flintdale::recovery {

struct OfferList {
    std::uint64_t made_for = 0;           // mod revision of the marker in answer to which the list was written
    std::uint64_t last_led = 0;           // TermHistory::last_led of the controller
    std::set<std::uint64_t> seen_terms;   // TermHistory::seen of the controller, including its earlier incarnations
    bool reconciliation_pending = false;  // RecoveryContext::reconciliation_pending() of the controller
    boost::json::array offers;            // in their stored form; see Offer
    std::uint64_t mod_revision = 0;       // of the list's key, 0 if it is absent; not part of the record
};

boost::json::object offer_list_record(const OfferList& list);
// Fields that are absent or damaged are left empty.
OfferList parse_offer_list(const boost::json::object& record);

// One offered replica: the history and revision of its contents, and the keys of its pages.
struct Offer {
    std::uint64_t generation = 0, revision = 0;
    std::string id;
    bool complete = false;
    std::uint64_t pages = 0;
    std::string page_prefix;  // a page's key is this prefix and its number; empty in lists of earlier versions
};

boost::json::object offer_record(const Offer& offer);
Offer parse_offer(const boost::json::object& record);

}  // namespace flintdale::recovery
