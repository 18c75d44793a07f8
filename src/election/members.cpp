#include "election/members.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace flintdale::election {

using namespace std::chrono_literals;
using state::Outcome;
using state::RequestPriority;

namespace {

std::uint64_t format_in(const state::KeyValue& item) {
    if (!item.mod_revision || !item.value.is_object()) return 0;
    const auto* n = item.value.get_object().if_contains("format");
    return n && n->is_number() ? n->to_number<std::uint64_t>() : 0;
}

}  // namespace

Members::Members(state::Store& store, const config::Settings& settings, state::RecordFormat& record_format,
                 std::function<void(const quota::Table&)> teams)
    : store_(store),
      record_format_(record_format),
      teams_changed_(std::move(teams)),
      own_teams_(quota::table_of(settings.teams)),
      teams_(own_teams_),
      member_(settings.member),
      nodes_(settings.controllers) {
    names_.push_back(settings.member);
    for (const auto& peer : settings.peers) names_.push_back(peer.member);
}

namespace {

boost::json::object teams_record(const quota::Table& table) {
    boost::json::object out;
    for (const auto& [name, f] : table)
        out[name] = boost::json::array{f.limit.cpus, f.limit.gpus, f.guarantee.cpus, f.guarantee.gpus};
    return out;
}

// Nothing from a version that does not tell, or where it cannot be read.
std::optional<quota::Table> teams_in(const state::KeyValue& item) {
    const auto* o = item.mod_revision ? item.value.if_object() : nullptr;
    const auto* teams = o ? o->if_contains("teams") : nullptr;
    if (!teams || !teams->is_object()) return std::nullopt;
    quota::Table out;
    for (const auto& entry : teams->get_object()) {
        const auto* a = entry.value().if_array();
        const auto number = [&](std::size_t i) { return (*a)[i].is_number() ? (*a)[i].to_number<double>() : -1.0; };
        if (!a || a->size() != 4) return std::nullopt;
        const double f[4] = {number(0), number(1), number(2), number(3)};
        if (std::any_of(std::begin(f), std::end(f), [](double v) { return !(v >= 0); })) return std::nullopt;
        out[std::string(entry.key())] = {{f[0], f[1]}, {f[2], f[3]}};
    }
    return out;
}

}  // namespace

// Puts this controller's key in place. After a lost answer it is read again.
awaitable<bool> Members::enroll() {
    const std::string key = members_prefix + member_;
    const auto got = co_await store_.get(key, RequestPriority::leadership);
    if (got.outcome != Outcome::ok) co_return false;
    const auto known = teams_in(got.item);
    if (format_in(got.item) == state::newest_format && known && *known == own_teams_) co_return true;
    state::Txn txn;
    txn.conditions.push_back({key, got.item.mod_revision});
    boost::json::object value{{"format", state::newest_format}, {"teams", teams_record(own_teams_)}};
    txn.changes.push_back({key, std::move(value), 0});
    const auto result = co_await store_.commit(std::move(txn), RequestPriority::leadership);
    co_return result.outcome == Outcome::ok;
}

awaitable<void> Members::restore_enrollment() {
    for (;;) {
        const bool there = co_await enroll();
        if (there) co_return;
        co_await net::sleep_for(300ms);
    }
}

awaitable<bool> Members::all_there() {
    const auto page = co_await store_.range(members_prefix, std::string(), RequestPriority::leadership);
    if (page.outcome != Outcome::ok) co_return false;
    revision_ = page.revision;
    settle_teams(page.items);
    std::uint64_t common = state::newest_format;
    for (const auto& name : names_) {
        const auto it = std::find_if(page.items.begin(), page.items.end(),
                                     [&](const auto& item) { return item.key == members_prefix + name; });
        common = std::min(common, it == page.items.end() ? state::oldest_format : format_in(*it));
    }
    spdlog::info("event=members_enrolled enrolled={} of={} format={}", page.items.size(), names_.size(), common);
    // Without all their names there is no telling that all are there.
    if (names_.size() < nodes_ || common < state::newest_format) co_return false;
    record_format_.all_read(common);
    co_return true;
}

// A key stays when its controller is down, and with it the figures that this goes by: so the strictest holds until the
// last controller has come back with the new ones, and none that is cut off or stands still can know others.
void Members::settle_teams(const std::vector<state::KeyValue>& items) {
    auto table = own_teams_;
    for (const auto& name : names_)
        for (const auto& item : items)
            if (item.key == members_prefix + name)
                if (const auto theirs = teams_in(item)) table = quota::strictest(table, *theirs);
    if (table == teams_) return;
    teams_ = std::move(table);
    spdlog::info("event=quota_table_changed differs={}", teams_ != own_teams_);
    if (teams_changed_) teams_changed_(teams_);
}

awaitable<void> Members::run() {
    for (;;) {
        enrolled_ = co_await enroll();
        if (enrolled_) break;
        co_await net::sleep_for(300ms);
    }
    bool in_use = false;
    for (;;) {
        revision_ = 0;
        const bool there = co_await all_there();
        if (there && !std::exchange(in_use, true))
            spdlog::info("event=record_format_in_use format={}", record_format_.format());
        // Later it is the figures of teams that may change.
        while (revision_) {
            const auto seen = co_await store_.watch(members_prefix, revision_, 10s);
            if (seen.outcome != Outcome::ok || !seen.events.empty() || seen.revision < revision_) break;
            revision_ = seen.revision;
            if (!in_use) break;
        }
        co_await net::sleep_for(400ms);
    }
}

}  // namespace flintdale::election
