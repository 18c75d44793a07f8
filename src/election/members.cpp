#include "election/members.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace flintdale::election {

using namespace std::chrono_literals;
using state::Outcome;
using state::Urgency;

namespace {

std::uint64_t format_in(const state::Item& item) {
    if (!item.stamp || !item.value.is_object()) return 0;
    const auto* n = item.value.get_object().if_contains("format");
    return n && n->is_number() ? n->to_number<std::uint64_t>() : 0;
}

}  // namespace

Members::Members(state::Store& store, const config::Settings& settings, state::Form& form)
    : store_(store), form_(form), member_(settings.member), nodes_(settings.nodes) {
    names_.push_back(settings.member);
    for (const auto& peer : settings.peers) names_.push_back(peer.member);
}

// Puts this controller's key in place. After a lost answer it is read again.
awaitable<bool> Members::enroll() {
    const std::string key = members_prefix + member_;
    const auto got = co_await store_.get(key, Urgency::leadership);
    if (got.outcome != Outcome::ok) co_return false;
    if (format_in(got.item) == state::newest_format) co_return true;
    state::Txn txn;
    txn.conditions.push_back({key, got.item.stamp});
    boost::json::object value{{"format", state::newest_format}};
    txn.changes.push_back({key, std::move(value), 0});
    const auto result = co_await store_.commit(std::move(txn), Urgency::leadership);
    co_return result.outcome == Outcome::ok;
}

awaitable<void> Members::enroll_again() {
    for (;;) {
        const bool there = co_await enroll();
        if (there) co_return;
        co_await net::sleep_for(300ms);
    }
}

awaitable<bool> Members::all_there() {
    const auto page = co_await store_.range(members_prefix, std::string(), Urgency::leadership);
    if (page.outcome != Outcome::ok) co_return false;
    revision_ = page.revision;
    std::uint64_t common = state::newest_format;
    for (const auto& name : names_) {
        const auto it = std::find_if(page.items.begin(), page.items.end(),
                                     [&](const auto& item) { return item.key == members_prefix + name; });
        common = std::min(common, it == page.items.end() ? state::oldest_format : format_in(*it));
    }
    spdlog::info("event=members enrolled={} of={} format={}", page.items.size(), names_.size(), common);
    // Without all their names there is no telling that all are there.
    if (names_.size() < nodes_ || common < state::newest_format) co_return false;
    form_.all_read(common);
    co_return true;
}

awaitable<void> Members::run() {
    for (;;) {
        enrolled_ = co_await enroll();
        if (enrolled_) break;
        co_await net::sleep_for(300ms);
    }
    for (;;) {
        revision_ = 0;
        const bool there = co_await all_there();
        if (there) break;
        if (revision_) {
            const auto seen = co_await store_.follow(members_prefix, revision_, 10s);
            if (seen.outcome == Outcome::ok) continue;
        }
        co_await net::sleep_for(400ms);
    }
    spdlog::info("event=format_in_use format={}", form_.format());
}

}  // namespace flintdale::election
