// Elects the leader. A controller claims the leadership by writing a key on a lease of the state service. The same
// transaction raises the term, whose record persists. Every write of a leader is conditioned on the mod revision of
// that record, so the writes of a leader fail once another controller has won a term.
#pragma once
#include <functional>
#include <optional>
#include <string>

#include "model/clock.hpp"
#include "state/store.hpp"

namespace flintdale::election {

using net::awaitable;

inline constexpr const char* leadership_prefix = "lead/";
inline constexpr const char* holder_key = "lead/holder";  // the claim; attached to the holder's lease
inline constexpr const char* term_key = "lead/term";      // the newest term; persists when the claim ends

struct Term {
    std::uint64_t number = 0;
    std::uint64_t mod_revision = 0;  // of term_key; every write of the leader is conditioned on it
    std::uint64_t previous = 0;      // the term that was on record before this one
    bool record_lost = false;        // a higher term than `previous` was seen: its record was lost
};

class Elector {
  public:
    struct Events {
        std::function<void(Term)> elected;
        std::function<void()> stepped_down;
    };

    // `time_of_day_ms`, if given: each new term is at least the time of day when it is claimed. So terms keep rising
    // even if all records of terms are lost and no controller has seen the earlier ones.
    Elector(net::Executor ex, state::Store& store, std::string member, model::Seconds lease, Events events,
            std::function<std::int64_t()> time_of_day_ms = {});

    // Campaigns and leads in a loop. Never returns.
    awaitable<void> run();

    // A term was seen in a peer's status, a worker's heartbeat, or a record. A term higher than this controller's own
    // ends its own at once. `leader`: the member that leads in it; empty if unknown.
    void observe_term(std::uint64_t term, const std::string& leader);
    // Requests a new read of the term's record, because this controller's term may be over.
    void verify_leadership();

    // Ends the term and revokes its lease, so that another controller can win the next one: this controller can renew
    // its claim but cannot do the leader's work. It then abstains from elections for a while, unless no other
    // controller claims the leadership.
    void resign(const char* why);
    // Ends the term. This controller claims the next one at once, unless another controller is faster.
    void restart_term(const char* why) { step_down(why); }

    bool leading() const { return leading_; }
    // The highest term seen.
    std::uint64_t term() const { return seen_term_; }
    // The member that leads in that term; empty if unknown.
    const std::string& leader() const { return leader_; }

  private:
    awaitable<void> campaign_and_lead(state::KeyValue holder, state::KeyValue term);
    awaitable<void> campaign_at_next_vacancy();
    // Renews the claim until the lease or the term is lost.
    awaitable<void> lead();
    awaitable<void> check_term();
    // Returns whether the election was won.
    awaitable<bool> campaign(state::KeyValue holder, state::KeyValue term);
    std::uint64_t next_term(const state::KeyValue& term) const;
    state::Txn claim(const state::KeyValue& holder, const state::KeyValue& term) const;
    // The mod revision of the term's record if this controller's claim was committed; 0 if not, or if that is unknown.
    awaitable<std::uint64_t> revision_of_own_claim();
    // Returns the term's record once the claim of another controller has ended; nullopt if that is uncertain.
    awaitable<std::optional<state::KeyValue>> wait_for_vacancy();
    // Applies one change of a leadership key. Returns whether the claim has ended.
    bool apply_change(const state::KeyValue& item, bool deleted, state::KeyValue& term);
    void step_down(const char* why);
    // Whether this controller does not campaign now because it has resigned. `own_claim`: the claim on record is its
    // own earlier one; otherwise the leadership is vacant.
    bool abstains(bool own_claim);

    net::Executor ex_;
    state::Store& store_;
    std::string member_;
    std::chrono::milliseconds lease_duration_;
    Events events_;
    std::function<std::int64_t()> time_of_day_ms_;
    net::Wakeup wakeup_;
    bool leading_ = false, verification_requested_ = false, resigned_ = false;
    model::TimePoint abstains_until_{};
    std::optional<model::TimePoint> vacant_since_;  // when a vacancy was first seen while abstaining
    std::uint64_t seen_term_ = 0, own_term_ = 0;
    std::uint64_t lease_ = 0;  // id of the lease that the claim is attached to
    std::string leader_;
};

}  // namespace flintdale::election
