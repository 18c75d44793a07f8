#include "recovery/offer_list.hpp"

#include "recovery/record_keys.hpp"

namespace flintdale::recovery {

namespace json = boost::json;

namespace {

bool bool_field(const json::object& record, std::string_view field) {
    const auto* value = record.if_contains(field);
    return value && value->is_bool() && value->get_bool();
}

std::string string_field(const json::object& record, std::string_view field) {
    const auto* value = record.if_contains(field);
    return value && value->is_string() ? std::string(value->get_string()) : std::string();
}

std::set<std::uint64_t> seen_terms(const json::object& record) {
    std::set<std::uint64_t> terms;
    // An earlier version stored only the highest term.
    if (const auto highest = number_field(record, "saw")) terms.insert(highest);
    if (const auto* seen = record.if_contains("seen"); seen && seen->is_array())
        for (const auto& term : seen->get_array())
            if (term.is_number()) terms.insert(term.to_number<std::uint64_t>());
    return terms;
}

}  // namespace

json::object offer_list_record(const OfferList& list) {
    return {{"for", list.made_for},
            {"led", list.last_led},
            {"seen", json::array(list.seen_terms.begin(), list.seen_terms.end())},
            {"unsettled", list.reconciliation_pending},
            {"sources", list.offers}};
}

OfferList parse_offer_list(const json::object& record) {
    OfferList list;
    list.made_for = number_field(record, "for");
    list.last_led = number_field(record, "led");
    list.seen_terms = seen_terms(record);
    list.reconciliation_pending = bool_field(record, "unsettled");
    if (const auto* offers = record.if_contains("sources"); offers && offers->is_array())
        list.offers = offers->get_array();
    return list;
}

json::object offer_record(const Offer& offer) {
    return {{"generation", offer.generation}, {"id", offer.id},       {"revision", offer.revision},
            {"whole", offer.complete},        {"pages", offer.pages}, {"at", offer.page_prefix}};
}

Offer parse_offer(const json::object& record) {
    Offer offer;
    offer.generation = number_field(record, "generation");
    offer.revision = number_field(record, "revision");
    offer.id = string_field(record, "id");
    offer.complete = bool_field(record, "whole");
    offer.pages = number_field(record, "pages");
    offer.page_prefix = string_field(record, "at");
    return offer;
}

}  // namespace flintdale::recovery
