#include "recovery/replica_offers.hpp"

#include <spdlog/spdlog.h>

#include "recovery/record_keys.hpp"
#include "recovery/record_pages.hpp"
#include "recovery/store_scan.hpp"

namespace flintdale::recovery {

using model::Clock;
using state::GenerationMarker;
using state::Outcome;
using state::RequestPriority;

namespace {

constexpr auto peer_alive_for = std::chrono::seconds(3);  // a peer whose status arrived within this time is waited for
constexpr auto min_wait = std::chrono::seconds(3);        // for all other members, after the loss was noticed
constexpr auto max_wait = std::chrono::seconds(20);
constexpr std::size_t max_kept_offers = 6;  // of earlier incarnations of one controller

std::string list_key(const std::string& member) { return offers_prefix + member; }

Offer offer_of(const ReplicaContents& source, std::size_t pages, std::string page_prefix) {
    Offer offer;
    offer.generation = source.generation;
    offer.id = source.id;
    offer.revision = source.revision;
    offer.complete = source.complete;
    offer.pages = pages;
    offer.page_prefix = std::move(page_prefix);
    return offer;
}

// Reads the pages of the offer at index `number` of the list. If a page is missing or damaged, the result is
// incomplete.
ReplicaContents read_offer(const std::string& member, std::size_t number, const boost::json::value& entry,
                           const std::map<std::string, const state::KeyValue*>& items) {
    ReplicaContents contents;
    contents.from = member;
    const auto* record = entry.if_object();
    if (!record) return contents;
    const auto offer = parse_offer(*record);
    contents.generation = offer.generation;
    contents.revision = offer.revision;
    contents.id = offer.id;
    contents.complete = offer.complete;
    // An earlier version did not store the prefix.
    const auto prefix =
        offer.page_prefix.empty() ? list_key(member) + "/" + std::to_string(number) + "." : offer.page_prefix;
    for (std::uint64_t n = 0; n < offer.pages; ++n) {
        const auto page = items.find(prefix + std::to_string(n));
        try {
            if (page == items.end()) throw wire::DecodeError("page is missing");
            for (auto& r : decode_page(*page->second))
                contents.records.emplace(std::move(r.key), Record{r.mod_revision, std::move(r.text)});
        } catch (const std::exception& e) {
            spdlog::error("event=replica_offer_unreadable member={} page={} why=\"{}\"", member, n, e.what());
            contents.complete = false;
        }
    }
    return contents;
}

}  // namespace

std::vector<ReplicaContents> ReplicaOffers::own_sources(const std::string& base_history, std::uint64_t revision) const {
    const auto* previous = context_.previous_replica ? &*context_.previous_replica : nullptr;
    std::vector<ReplicaContents> sources;
    for (const auto* replica : {&std::as_const(context_.replica), previous}) {
        if (!replica || !replica->generation()) continue;
        const bool only_newer = !base_history.empty() && replica->id() == base_history;
        sources.push_back(replica->source(context_.settings.member, only_newer ? revision : 0));
    }
    return sources;
}

awaitable<void> ReplicaOffers::publish_once(GenerationMarker marker) {
    const auto identity = marker.id + std::to_string(marker.mod_revision);
    if (published_for_ == identity) co_return;
    const bool published = co_await publish(std::move(marker));
    if (published) published_for_ = identity;
}

awaitable<bool> ReplicaOffers::publish(GenerationMarker marker) {
    auto list = co_await previous_list();
    if (!list) co_return false;
    const bool rebuilds = marker.rebuilder == context_.settings.member;
    for (const auto& source : own_sources(rebuilds ? std::string() : marker.base_history, marker.base_revision)) {
        if (source.records.empty() && !source.complete) continue;
        // The prefix contains the incarnation: delayed writes of an earlier incarnation must not overwrite these pages.
        const auto prefix = list_key(context_.settings.member) + "/" + std::to_string(context_.callbacks.incarnation) +
                            "." + std::to_string(list->offers.size()) + ".";
        auto pages = encode_pages(source, context_.record_format);
        const auto offer = offer_of(source, pages.size(), prefix);
        const bool written = co_await write_pages(std::move(pages), prefix, marker.mod_revision);
        if (!written) co_return false;
        list->offers.emplace_back(offer_record(offer));
        spdlog::info("event=replica_offered records={} pages={} revision={}", source.records.size(), offer.pages,
                     source.revision);
    }
    list->made_for = marker.mod_revision;
    list->reconciliation_pending = context_.reconciliation_pending();
    const auto key = list_key(context_.settings.member);
    state::Txn txn;
    txn.conditions.push_back({state::marker_key, marker.mod_revision});
    txn.conditions.push_back(
        {key, list->mod_revision});  // so that a delayed write of an earlier incarnation's list fails
    txn.changes.push_back({key, offer_list_record(*list), 0});
    const auto result = co_await context_.store.commit(std::move(txn), RequestPriority::user);
    co_return result.outcome == Outcome::ok;
}

awaitable<std::optional<OfferList>> ReplicaOffers::previous_list() {
    const auto before = co_await context_.store.get(list_key(context_.settings.member), RequestPriority::user);
    if (before.outcome != Outcome::ok) co_return std::nullopt;
    const auto* record = before.item.mod_revision ? before.item.value.if_object() : nullptr;
    auto list = record ? parse_offer_list(*record) : OfferList();
    list.mod_revision = before.item.mod_revision;
    if (context_.terms.last_led) list.last_led = context_.terms.last_led;
    list.seen_terms.insert(context_.terms.seen.begin(), context_.terms.seen.end());
    if (list.offers.size() > max_kept_offers) list.offers.resize(max_kept_offers);
    co_return std::optional(std::move(list));
}

awaitable<bool> ReplicaOffers::write_pages(std::vector<std::string> pages, std::string prefix,
                                           std::uint64_t marker_revision) {
    for (std::size_t n = 0; n < pages.size(); ++n) {
        state::Txn txn;
        txn.conditions.push_back({state::marker_key, marker_revision});
        txn.changes.push_back({prefix + std::to_string(n), boost::json::string(pages[n]), 0});
        const auto result = co_await context_.store.commit(std::move(txn), RequestPriority::user);
        if (result.outcome != Outcome::ok) co_return false;
    }
    co_return true;
}

awaitable<std::optional<GatheredOffers>> ReplicaOffers::gather(GenerationMarker marker) {
    const auto deadline = Clock::now() + max_wait;
    for (;;) {
        const bool last_attempt = Clock::now() >= deadline;
        const auto items = co_await read_all(context_.store, offers_prefix);
        spdlog::debug("event=replica_offers_listed keys={}", items ? items->size() : 0);
        if (!context_.leadership.term) co_return std::nullopt;
        if (items)
            if (auto gathered = evaluate(marker, *items, last_attempt)) co_return gathered;
        co_await context_.wakeup.wait(standby_interval);
    }
}

std::vector<std::string> ReplicaOffers::all_members() const {
    std::vector<std::string> members{context_.settings.member};
    for (const auto& peer : context_.settings.peers) members.push_back(peer.member);
    return members;
}

bool ReplicaOffers::must_wait_for(const std::string& member) const {
    const auto peer = context_.peers.find(member);
    const bool alive = peer != context_.peers.end() && Clock::now() - peer->second.received_at < peer_alive_for;
    return alive || Clock::now() - context_.loss_noticed_at < min_wait;
}

std::optional<GatheredOffers> ReplicaOffers::evaluate(const GenerationMarker& marker,
                                                      const std::vector<state::KeyValue>& items,
                                                      bool last_attempt) const {
    GatheredOffers gathered;
    gathered.sources = own_sources({}, 0);
    ItemsByKey by_key;
    for (const auto& item : items) by_key[item.key] = &item;
    auto seen_terms = context_.terms.seen;
    std::set<std::uint64_t> led_terms{context_.terms.last_led};
    bool reconciliation_pending = context_.reconciliation_pending();
    for (const auto& member : all_members()) {
        const auto found = by_key.find(list_key(member));
        const auto* record = found == by_key.end() ? nullptr : found->second->value.if_object();
        const auto list = record ? parse_offer_list(*record) : OfferList();
        if (member != context_.settings.member && (!record || list.made_for != marker.mod_revision)) {
            if (!last_attempt && must_wait_for(member)) return std::nullopt;
            gathered.missing.push_back(member);
        }
        if (!record) continue;
        // Offers made to another rebuilder or by an earlier incarnation are still valid.
        seen_terms.insert(list.seen_terms.begin(), list.seen_terms.end());
        led_terms.insert(list.last_led);
        reconciliation_pending = reconciliation_pending || list.reconciliation_pending;
        for (std::size_t n = 0; n < list.offers.size(); ++n)
            gathered.sources.push_back(read_offer(member, n, list.offers[n], by_key));
    }
    // The terms that rebuilt were won after the loss was declared and have placed no task, but members that noticed the
    // loss late list them as seen.
    for (const auto term : marker.rebuilders) seen_terms.erase(term);
    gathered.placements_known =
        !seen_terms.empty() && led_terms.contains(*seen_terms.rbegin()) && !reconciliation_pending;
    return gathered;
}

awaitable<void> ReplicaOffers::remove_if_due(GenerationMarker marker) {
    if (!std::exchange(removal_due_, false)) co_return;
    co_await remove_all(context_, offers_prefix, markers_.leader_conditions(marker));
}

}  // namespace flintdale::recovery
