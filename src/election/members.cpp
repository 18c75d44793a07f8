#include "election/members.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "election/quota_table_record.hpp"
#include "election/record_fields.hpp"

namespace flintdale::election {

using namespace std::chrono_literals;
using state::Outcome;
using state::RequestPriority;

namespace {

constexpr auto enroll_retry_delay = 300ms;
constexpr auto read_interval = 400ms;
constexpr auto watch_duration = 10s;

std::string member_key(const std::string& member) { return members_prefix + member; }

std::uint64_t format_in(const state::KeyValue& record) { return number_field(record, "format"); }

const state::KeyValue* find(const std::vector<state::KeyValue>& records, const std::string& key) {
    const auto it = std::find_if(records.begin(), records.end(), [&](const auto& record) { return record.key == key; });
    return it == records.end() ? nullptr : &*it;
}

}  // namespace

Members::Members(state::Store& store, const config::Settings& settings, state::RecordFormat& record_format,
                 std::function<void(const quota::Table&)> quota_changed)
    : store_(store),
      record_format_(record_format),
      quota_changed_(std::move(quota_changed)),
      own_table_(quota::table_of(settings.teams)),
      table_(own_table_),
      member_(settings.member),
      controller_count_(settings.controllers) {
    names_.push_back(settings.member);
    for (const auto& peer : settings.peers) names_.push_back(peer.member);
}

// If the response to the commit is lost, the next attempt reads whether the key was written.
awaitable<bool> Members::enroll() {
    const auto key = member_key(member_);
    const auto found = co_await store_.get(key, RequestPriority::leadership);
    if (found.outcome != Outcome::ok) co_return false;
    const auto recorded = quota_table_in(found.item);
    if (format_in(found.item) == state::newest_format && recorded && *recorded == own_table_) co_return true;
    state::Txn txn;
    txn.conditions.push_back({key, found.item.mod_revision});
    boost::json::object value{{"format", state::newest_format}, {"teams", encode_quota_table(own_table_)}};
    txn.changes.push_back({key, std::move(value), 0});
    const auto result = co_await store_.commit(std::move(txn), RequestPriority::leadership);
    co_return result.outcome == Outcome::ok;
}

awaitable<void> Members::enroll_with_retries() {
    for (;;) {
        const bool done = co_await enroll();
        if (done) co_return;
        co_await net::sleep_for(enroll_retry_delay);
    }
}

awaitable<void> Members::restore_enrollment() { co_await enroll_with_retries(); }

awaitable<bool> Members::all_read_newest_format() {
    const auto page = co_await store_.range(members_prefix, std::string(), RequestPriority::leadership);
    if (page.outcome != Outcome::ok) co_return false;
    revision_ = page.revision;
    update_quota_table(page.items);
    const auto common = common_format(page.items);
    spdlog::info("event=members_enrolled enrolled={} of={} format={}", page.items.size(), names_.size(), common);
    // If the settings do not name every controller, it is unknown whether all have enrolled.
    if (names_.size() < controller_count_ || common < state::newest_format) co_return false;
    record_format_.set_supported_format(common);
    co_return true;
}

std::uint64_t Members::common_format(const std::vector<state::KeyValue>& members) const {
    std::uint64_t common = state::newest_format;
    for (const auto& name : names_) {
        const auto* record = find(members, member_key(name));
        common = std::min(common, record ? format_in(*record) : std::uint64_t{state::oldest_format});
    }
    return common;
}

// A controller's key, and the quota table in it, persists while the controller is down. So the strictest combination
// applies until the last controller has restarted with the new table, and a controller that is cut off or paused cannot
// be using a table that is not on record.
void Members::update_quota_table(const std::vector<state::KeyValue>& members) {
    auto table = own_table_;
    for (const auto& name : names_) {
        const auto* record = find(members, member_key(name));
        const auto recorded = record ? quota_table_in(*record) : std::nullopt;
        if (recorded) table = quota::strictest(table, *recorded);
    }
    if (table == table_) return;
    table_ = std::move(table);
    spdlog::info("event=quota_table_changed differs={}", table_ != own_table_);
    if (quota_changed_) quota_changed_(table_);
}

awaitable<void> Members::run() {
    co_await enroll_with_retries();
    enrolled_ = true;
    bool format_in_use = false;
    for (;;) {
        revision_ = 0;
        const bool all = co_await all_read_newest_format();
        if (all && !std::exchange(format_in_use, true))
            spdlog::info("event=record_format_in_use format={}", record_format_.format());
        co_await wait_for_change(format_in_use);
        co_await net::sleep_for(read_interval);
    }
}

// Once the newest format is in use, only the quota tables can still change.
awaitable<void> Members::wait_for_change(bool format_in_use) {
    while (revision_) {
        const auto changes = co_await store_.watch(members_prefix, revision_, watch_duration);
        if (changes.outcome != Outcome::ok || !changes.events.empty() || changes.revision < revision_) co_return;
        revision_ = changes.revision;
        if (!format_in_use) co_return;
    }
}

}  // namespace flintdale::election
