#include "election/elector.hpp"

#include <spdlog/spdlog.h>

namespace flintdale::election {

using namespace std::chrono_literals;
using state::Outcome;
using state::RequestPriority;
namespace json = boost::json;

namespace {

constexpr auto abstention = 30s;      // after it has resigned
constexpr auto nobody_else = 3000ms;  // that a vacancy lasts before one that abstains stands after all

std::uint64_t term_number(const state::KeyValue& item) {
    if (!item.mod_revision || !item.value.is_object()) return 0;
    const auto* n = item.value.get_object().if_contains("n");
    return n && n->is_number() ? n->to_number<std::uint64_t>() : 0;
}

std::string text_in(const state::KeyValue& item, std::string_view field) {
    if (!item.mod_revision || !item.value.is_object()) return {};
    const auto* v = item.value.get_object().if_contains(field);
    return v && v->is_string() ? std::string(v->get_string()) : std::string();
}

std::uint64_t lease_in(const state::KeyValue& item) {
    if (!item.mod_revision || !item.value.is_object()) return 0;
    const auto* v = item.value.get_object().if_contains("lease");
    return v && v->is_number() ? v->to_number<std::uint64_t>() : 0;
}

}  // namespace

Elector::Elector(net::Executor ex, state::Store& store, std::string member, model::Seconds lease, Events events,
                 std::function<std::int64_t()> time_of_day_ms)
    : ex_(ex),
      store_(store),
      member_(std::move(member)),
      life_(std::chrono::duration_cast<std::chrono::milliseconds>(lease)),
      events_(std::move(events)),
      time_of_day_ms_(std::move(time_of_day_ms)),
      wake_(ex) {}

void Elector::depose(const char* why) {
    if (!leading_) return;
    leading_ = false;
    leader_.clear();
    spdlog::info("event=stepped_down term={} why=\"{}\"", own_term_, why);
    events_.deposed();
    wake_.notify();
}

void Elector::resign(const char* why) {
    if (!leading_) return;
    resigned_ = true;
    vacant_since_.reset();
    abstains_until_ = model::Clock::now() + abstention;
    depose(why);
}

bool Elector::abstains(bool own) {
    const auto now = model::Clock::now();
    if (now >= abstains_until_) return false;
    if (own) return true;  // the claim that was given up has not ended yet
    if (!vacant_since_) vacant_since_ = now;
    return now - *vacant_since_ < nobody_else;
}

void Elector::observe_term(std::uint64_t term, const std::string& leader) {
    if (term > seen_term_) {
        seen_term_ = term;
        if (leading_ && term > own_term_) depose("a higher term is about");
        leader_ = leader;
    } else if (term == seen_term_ && !leading_ && !leader.empty()) {
        leader_ = leader;
    }
}

awaitable<void> Elector::run() {
    for (;;) {
        doubted_ = false;
        auto holder = co_await store_.get(holder_key, RequestPriority::leadership);
        auto term = co_await store_.get(term_key, RequestPriority::leadership);
        if (holder.outcome != Outcome::ok || term.outcome != Outcome::ok) {
            co_await net::sleep_for(300ms);
            continue;
        }
        observe_term(term_number(term.item), text_in(holder.item, "member"));
        const bool vacant = holder.item.mod_revision == 0;
        // A claim under our own name, while we do not lead, is that of our previous life or of a lost answer.
        const bool own = !vacant && text_in(holder.item, "member") == member_;
        if (vacant || own) {
            if (abstains(own)) {
                co_await net::sleep_for(300ms);
                continue;
            }
            if (co_await campaign(holder.item, term.item)) co_await lead();
            continue;
        }
        vacant_since_.reset();
        // Whoever waits for the vacancy claims it at once, by what the watch has told of the term: a hand-over in an
        // upgrade should go to a controller that has its turn behind it, and older versions read both keys anew first.
        const auto last = co_await wait_for_vacancy();
        state::KeyValue nobody;
        nobody.key = holder_key;
        if (last && !abstains(false) && co_await campaign(nobody, *last)) co_await lead();
    }
}

awaitable<bool> Elector::campaign(const state::KeyValue& holder, const state::KeyValue& term) {
    auto granted = co_await store_.grant(life_);
    if (granted.outcome != Outcome::ok) {
        co_await net::sleep_for(200ms);
        co_return false;
    }
    lease_ = granted.lease;
    own_term_ = std::max(term_number(term), seen_term_) + 1;
    if (time_of_day_ms_) own_term_ = std::max(own_term_, static_cast<std::uint64_t>(time_of_day_ms_()));
    const bool gap = seen_term_ > term_number(term);
    state::Txn txn;
    txn.conditions.push_back({holder_key, holder.mod_revision});
    txn.conditions.push_back({term_key, term.mod_revision});
    txn.changes.push_back({holder_key, json::object{{"member", member_}, {"lease", lease_}}, lease_});
    txn.changes.push_back({term_key, json::object{{"n", own_term_}, {"member", member_}, {"lease", lease_}}, 0});
    auto result = co_await store_.commit(std::move(txn), RequestPriority::leadership);
    std::uint64_t mod_revision = result.outcome == Outcome::ok ? result.revision : 0;
    if (result.outcome == Outcome::unknown) {
        // It may have gone through: the lease number in the term's record tells whether it was this claim.
        auto again = co_await store_.get(term_key, RequestPriority::leadership);
        if (again.outcome == Outcome::ok && lease_in(again.item) == lease_ && term_number(again.item) == own_term_)
            mod_revision = again.item.mod_revision;
    }
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

// Renews until the lease or the term is lost. An outage alone deposes nobody: leases have their full time again
// after it, and writes are conditioned on the term anyway.
awaitable<void> Elector::lead() {
    while (leading_) {
        co_await wake_.wait(life_ / 4);
        if (!leading_) break;
        if (doubted_) {
            doubted_ = false;
            auto term = co_await store_.get(term_key, RequestPriority::leadership);
            if (term.outcome == Outcome::ok) observe_term(term_number(term.item), std::string());
            if (!leading_) break;
        }
        const auto outcome = co_await store_.renew(lease_);
        if (outcome == Outcome::no_lease && leading_) {
            // Lost while we could not renew. The term may still be ours; claim it afresh if nobody else has.
            depose("the lease ran out");
        }
    }
    if (std::exchange(resigned_, false)) co_await store_.revoke(lease_);
}

awaitable<std::optional<state::KeyValue>> Elector::wait_for_vacancy() {
    // Both keys share a prefix, so one watch tells of a vacancy and of a new term alike.
    auto now = co_await store_.range("lead/", std::string(), RequestPriority::leadership);
    if (now.outcome != Outcome::ok) {
        co_await net::sleep_for(300ms);
        co_return std::nullopt;
    }
    bool held = false;
    state::KeyValue term;
    for (const auto& item : now.items) {
        held = held || item.key == holder_key;
        if (item.key == term_key) term = item;
    }
    if (!held) co_return std::nullopt;
    std::uint64_t from = now.revision;
    for (;;) {
        auto seen = co_await store_.watch("lead/", from, 10s);
        if (seen.outcome != Outcome::ok) {
            co_await net::sleep_for(400ms);
            co_return std::nullopt;
        }
        // A service that was set back would never tell of a vacancy after that revision.
        if (seen.revision < from) co_return std::nullopt;
        from = seen.revision;
        for (std::size_t i = 0; i < seen.events.size(); ++i) {
            const auto& e = seen.events[i];
            if (e.key == term_key && !seen.deleted[i]) {
                term = e;
                observe_term(term_number(e), text_in(e, "member"));
            }
            if (e.key == holder_key && seen.deleted[i]) co_return term;
            if (e.key == holder_key) observe_term(seen_term_, text_in(e, "member"));
        }
    }
}

}  // namespace flintdale::election
