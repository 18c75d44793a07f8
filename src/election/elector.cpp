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

constexpr auto abstention = 30s;                       // after it has resigned
constexpr auto vacancy_that_ends_abstention = 3000ms;  // for then no other controller stands
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
    abstains_until_ = model::Clock::now() + abstention;
    step_down(why);
}

bool Elector::abstains(bool own_claim) {
    const auto now = model::Clock::now();
    if (now >= abstains_until_) return false;
    if (own_claim) return true;  // the claim that was given up has not ended yet
    if (!vacant_since_) vacant_since_ = now;
    return now - *vacant_since_ < vacancy_that_ends_abstention;
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
        // A claim under this controller's own name, while it does not lead, is that of an earlier process or of a lost
        // answer.
        const bool own_claim = !vacant && member_of(holder.item) == member_;
        if (!vacant && !own_claim) {
            vacant_since_.reset();
            co_await stand_at_next_vacancy();
        } else if (abstains(own_claim)) {
            co_await net::sleep_for(retry_delay);
        } else {
            co_await stand_for_election(std::move(holder.item), std::move(term.item));
        }
    }
}

// Whoever waits for the vacancy claims it at once, by what the watch has reported of the term: a failover in a rolling
// upgrade should go to a controller that is upgraded already, and older versions read both keys again first.
awaitable<void> Elector::stand_at_next_vacancy() {
    auto last_term = co_await wait_for_vacancy();
    if (!last_term || abstains(false)) co_return;
    state::KeyValue no_holder;
    no_holder.key = holder_key;
    co_await stand_for_election(std::move(no_holder), std::move(*last_term));
}

awaitable<void> Elector::stand_for_election(state::KeyValue holder, state::KeyValue term) {
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
    const bool gap = seen_term_ > term_number(term);
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
    won.gap = gap;
    events_.elected(won);
    co_return true;
}

// A claim without an answer may have gone through: the lease in the term's record tells whether it was this one.
awaitable<std::uint64_t> Elector::revision_of_own_claim() {
    const auto found = co_await store_.get(term_key, RequestPriority::leadership);
    const bool own =
        found.outcome == Outcome::ok && lease_of(found.item) == lease_ && term_number(found.item) == own_term_;
    co_return own ? found.item.mod_revision : 0;
}

// An outage alone ends no term: leases have their full time again after it, and writes are conditioned on the term
// anyway.
awaitable<void> Elector::lead() {
    while (leading_) {
        co_await wakeup_.wait(lease_duration_ / renewals_per_lease);
        if (!leading_) break;
        if (verification_requested_) co_await check_term();
        if (!leading_) break;
        const auto outcome = co_await store_.renew(lease_);
        // The lease expired while it could not be renewed. The term may still be the newest; it is claimed afresh if no
        // other controller has won one.
        if (outcome == Outcome::no_lease && leading_) step_down("the lease ran out");
    }
    if (std::exchange(resigned_, false)) co_await store_.revoke(lease_);
}

awaitable<void> Elector::check_term() {
    verification_requested_ = false;
    const auto term = co_await store_.get(term_key, RequestPriority::leadership);
    if (term.outcome == Outcome::ok) observe_term(term_number(term.item), std::string());
}

// Both keys share a prefix, so one watch reports a vacancy and a new term alike.
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
        // A service that was set back would never report a vacancy after that revision.
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
