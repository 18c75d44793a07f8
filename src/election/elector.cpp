#include "election/elector.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "election/record_fields.hpp"

namespace flintdale::election {

using namespace std::chrono_literals;
using state::Outcome;
using state::RequestPriority;
namespace json = boost::json;

namespace {

constexpr auto abstention_duration = 30s;        // after a resignation
constexpr auto abstention_max_vacancy = 3000ms;  // a longer vacancy shows that no other controller campaigns
constexpr auto retry_delay = 300ms;
constexpr auto grant_retry_delay = 200ms;
constexpr auto watch_duration = 10s;
constexpr auto watch_retry_delay = 400ms;
constexpr int renewals_per_lease = 4;

std::uint64_t term_number(const state::KeyValue& record) { return number_field(record, "n"); }
std::uint64_t lease_of(const state::KeyValue& record) { return number_field(record, "lease"); }
std::string member_of(const state::KeyValue& record) { return text_field(record, "member"); }

}  // namespace

Elector::Elector(net::Executor ex, state::Store& store, std::string member, model::Seconds lease, Events events,
                 std::function<std::int64_t()> time_of_day_ms)
    : ex_(ex),
      store_(store),
      member_(std::move(member)),
      lease_duration_(std::chrono::duration_cast<std::chrono::milliseconds>(lease)),
      events_(std::move(events)),
      time_of_day_ms_(std::move(time_of_day_ms)),
      wakeup_(ex) {}

void Elector::verify_leadership() {
    verification_requested_ = true;
    wakeup_.notify();
}

void Elector::step_down(const char* why) {
    if (!leading_) return;
    leading_ = false;
    leader_.clear();
    spdlog::info("event=stepped_down term={} why=\"{}\"", own_term_, why);
    events_.stepped_down();
    wakeup_.notify();
}

void Elector::resign(const char* why) {
    if (!leading_) return;
    resigned_ = true;
    vacant_since_.reset();
    abstains_until_ = model::Clock::now() + abstention_duration;
    step_down(why);
}

bool Elector::abstains(bool own_claim) {
    const auto now = model::Clock::now();
    if (now >= abstains_until_) return false;
    if (own_claim) return true;  // the claim of the resigned term has not ended yet
    if (!vacant_since_) vacant_since_ = now;
    return now - *vacant_since_ < abstention_max_vacancy;
}

void Elector::observe_term(std::uint64_t term, const std::string& leader) {
    if (term > seen_term_) {
        seen_term_ = term;
        if (leading_ && term > own_term_) step_down("a higher term is about");
        leader_ = leader;
    } else if (term == seen_term_ && !leading_ && !leader.empty()) {
        leader_ = leader;
    }
}

awaitable<void> Elector::run() {
    for (;;) {
        verification_requested_ = false;
        auto holder = co_await store_.get(holder_key, RequestPriority::leadership);
        auto term = co_await store_.get(term_key, RequestPriority::leadership);
        if (holder.outcome != Outcome::ok || term.outcome != Outcome::ok) {
            co_await net::sleep_for(retry_delay);
            continue;
        }
        observe_term(term_number(term.item), member_of(holder.item));
        const bool vacant = holder.item.mod_revision == 0;
        // While this controller does not lead, a claim under its own name was made by an earlier process, or by a
        // transaction whose response was lost.
        const bool own_claim = !vacant && member_of(holder.item) == member_;
        if (!vacant && !own_claim) {
            vacant_since_.reset();
            co_await campaign_at_next_vacancy();
        } else if (abstains(own_claim)) {
            co_await net::sleep_for(retry_delay);
        } else {
            co_await campaign_and_lead(std::move(holder.item), std::move(term.item));
        }
    }
}

// Claims the vacancy at once, with the term's record as the watch reported it. Older versions first read both keys
// again; so in a rolling upgrade a controller that is already upgraded tends to win the failover, as it should.
awaitable<void> Elector::campaign_at_next_vacancy() {
    auto last_term = co_await wait_for_vacancy();
    if (!last_term || abstains(false)) co_return;
    state::KeyValue no_holder;
    no_holder.key = holder_key;
    co_await campaign_and_lead(std::move(no_holder), std::move(*last_term));
}

awaitable<void> Elector::campaign_and_lead(state::KeyValue holder, state::KeyValue term) {
    const bool won = co_await campaign(std::move(holder), std::move(term));
    if (won) co_await lead();
}

std::uint64_t Elector::next_term(const state::KeyValue& term) const {
    const auto next = std::max(term_number(term), seen_term_) + 1;
    if (!time_of_day_ms_) return next;
    return std::max(next, static_cast<std::uint64_t>(time_of_day_ms_()));
}

state::Txn Elector::claim(const state::KeyValue& holder, const state::KeyValue& term) const {
    state::Txn txn;
    txn.conditions.push_back({holder_key, holder.mod_revision});
    txn.conditions.push_back({term_key, term.mod_revision});
    txn.changes.push_back({holder_key, json::object{{"member", member_}, {"lease", lease_}}, lease_});
    txn.changes.push_back({term_key, json::object{{"n", own_term_}, {"member", member_}, {"lease", lease_}}, 0});
    return txn;
}

awaitable<bool> Elector::campaign(state::KeyValue holder, state::KeyValue term) {
    auto granted = co_await store_.grant(lease_duration_);
    if (granted.outcome != Outcome::ok) {
        co_await net::sleep_for(grant_retry_delay);
        co_return false;
    }
    lease_ = granted.lease;
    own_term_ = next_term(term);
    const bool record_lost = seen_term_ > term_number(term);
    auto txn = claim(holder, term);
    const auto result = co_await store_.commit(std::move(txn), RequestPriority::leadership);
    std::uint64_t mod_revision = result.outcome == Outcome::ok ? result.revision : 0;
    if (result.outcome == Outcome::unknown) mod_revision = co_await revision_of_own_claim();
    if (!mod_revision) {
        spdlog::info("event=election_lost term={} outcome={}", own_term_, static_cast<int>(result.outcome));
        co_await store_.revoke(lease_);
        co_return false;
    }
    seen_term_ = std::max(seen_term_, own_term_);
    if (seen_term_ > own_term_) co_return false;
    leading_ = true;
    leader_ = member_;
    spdlog::info("event=elected term={} mod_revision={}", own_term_, mod_revision);
    Term won;
    won.number = own_term_;
    won.mod_revision = mod_revision;
    won.previous = term_number(term);
    won.record_lost = record_lost;
    events_.elected(won);
    co_return true;
}

// A claim whose response was lost may have been committed. It was if the term's record holds this claim's lease and
// term.
awaitable<std::uint64_t> Elector::revision_of_own_claim() {
    const auto found = co_await store_.get(term_key, RequestPriority::leadership);
    const bool own =
        found.outcome == Outcome::ok && lease_of(found.item) == lease_ && term_number(found.item) == own_term_;
    co_return own ? found.item.mod_revision : 0;
}

// An outage of the state service alone ends no term: after it, leases run for their full duration again, and every
// write is conditioned on the term anyway.
awaitable<void> Elector::lead() {
    while (leading_) {
        co_await wakeup_.wait(lease_duration_ / renewals_per_lease);
        if (!leading_) break;
        if (verification_requested_) co_await check_term();
        if (!leading_) break;
        const auto outcome = co_await store_.renew(lease_);
        // The lease expired while it could not be renewed. This term may still be the newest; then this controller
        // claims a new one.
        if (outcome == Outcome::no_lease && leading_) step_down("the lease ran out");
    }
    if (std::exchange(resigned_, false)) co_await store_.revoke(lease_);
}

awaitable<void> Elector::check_term() {
    verification_requested_ = false;
    const auto term = co_await store_.get(term_key, RequestPriority::leadership);
    if (term.outcome == Outcome::ok) observe_term(term_number(term.item), std::string());
}

// Both keys share a prefix, so one watch reports vacancies and new terms.
awaitable<std::optional<state::KeyValue>> Elector::wait_for_vacancy() {
    const auto current = co_await store_.range(leadership_prefix, std::string(), RequestPriority::leadership);
    if (current.outcome != Outcome::ok) {
        co_await net::sleep_for(retry_delay);
        co_return std::nullopt;
    }
    bool claimed = false;
    state::KeyValue term;
    for (const auto& item : current.items) {
        if (item.key == holder_key) claimed = true;
        if (item.key == term_key) term = item;
    }
    if (!claimed) co_return std::nullopt;
    std::uint64_t revision = current.revision;
    for (;;) {
        const auto changes = co_await store_.watch(leadership_prefix, revision, watch_duration);
        if (changes.outcome != Outcome::ok) {
            co_await net::sleep_for(watch_retry_delay);
            co_return std::nullopt;
        }
        // The state service was set back to an older state and would report no vacancy after `revision`.
        if (changes.revision < revision) co_return std::nullopt;
        revision = changes.revision;
        for (std::size_t i = 0; i < changes.events.size(); ++i)
            if (apply_change(changes.events[i], changes.deleted[i], term)) co_return term;
    }
}

bool Elector::apply_change(const state::KeyValue& item, bool deleted, state::KeyValue& term) {
    if (item.key == term_key && !deleted) {
        term = item;
        observe_term(term_number(item), member_of(item));
    }
    if (item.key != holder_key) return false;
    if (deleted) return true;
    observe_term(seen_term_, member_of(item));
    return false;
}

}  // namespace flintdale::election
