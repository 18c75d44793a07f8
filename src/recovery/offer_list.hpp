// The record that lists a controller's replica offers. Records of earlier versions are read too.
#pragma once
#include <boost/json.hpp>
#include <cstdint>
#include <set>
#include <string>

namespace flintdale::recovery {

struct OfferList {
    std::uint64_t made_for = 0;          // mod revision of the marker that it was made for
    std::uint64_t last_led = 0;          // see TermHistory
    std::set<std::uint64_t> seen_terms;  // see TermHistory
    bool unsettled = false;              // see RecoveryContext::unsettled()
    boost::json::array offers;           // kept as they are on record; see Offer
    std::uint64_t mod_revision = 0;      // of the list's key, 0 if it is absent; not part of the record
};

boost::json::object offer_list_record(const OfferList& list);
// Fields that are absent or damaged stay empty.
OfferList parse_offer_list(const boost::json::object& record);

// One replica that is offered: what it is, and where its pages are.
struct Offer {
    std::uint64_t generation = 0, revision = 0;
    std::string id;
    bool complete = false;
    std::uint64_t pages = 0;
    std::string page_prefix;  // each page's key is this and its number; empty in records of earlier versions
};

boost::json::object offer_record(const Offer& offer);
Offer parse_offer(const boost::json::object& record);

}  // namespace flintdale::recovery
