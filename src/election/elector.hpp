// Elects the leader. A key on a lease of the state service is the claim to leadership; the transaction that writes it
// also raises the term, whose record persists. Every write of a leader is conditioned on the term's revision, so a
// leader that has lost its claim can change nothing.
#pragma once
#include <functional>
#include <optional>
#include <string>

#include "model/clock.hpp"
#include "state/store.hpp"

namespace flintdale::election {

using net::awaitable;

inline constexpr const char* leadership_prefix = "lead/";
inline constexpr const char* holder_key = "lead/holder";  // the claim, on a lease
inline constexpr const char* term_key = "lead/term";      // the newest term; stays when the claim ends

struct Term {
    std::uint64_t number = 0;
    std::uint64_t mod_revision = 0;  // of term_key: what every write of the leader is conditioned on
    std::uint64_t previous = 0;      // the term that was on record before
    bool gap = false;                // a higher term was seen than the one on record: that record was lost
};

class Elector {
  public:
    struct Events {
        std::function<void(Term)> elected;
        std::function<void()> stepped_down;
    };

    // `time_of_day_ms`, if given, keeps terms above every one that came before, even if all records of terms are lost
    // and no controller remembers them: each number is at least the time of day when it was claimed.
    Elector(net::Executor ex, state::Store& store, std::string member, model::Seconds lease, Events events,
            std::function<std::int64_t()> time_of_day_ms = {});

    // Stands for election and leads, again and again. Never ends.
    awaitable<void> run();

    // A term was seen: in a peer's status, a worker's heartbeat, or a record. A higher one ends this controller's own
    // at once. `leader`: who leads in it; empty if that is not known.
    void observe_term(std::uint64_t term, const std::string& leader);
    // Something suggests that this controller's term may be over: reads the term's record again soon.
    void verify_leadership();

    // Gives the term up, so that another controller can win the next one: this one can renew its claim but not do the
    // work. It does not stand again for a while, unless no other controller does.
    void resign(const char* why);
    // Ends the term, and claims the next one at once unless another controller does.
    void restart_term(const char* why) { step_down(why); }

    bool leading() const { return leading_; }
    // The highest term seen.
    std::uint64_t term() const { return seen_term_; }
    // Who leads in it; empty if that is not known.
    const std::string& leader() const { return leader_; }

  private:
    awaitable<void> stand_for_election(state::KeyValue holder, state::KeyValue term);
    awaitable<void> stand_at_next_vacancy();
    // Renews the claim until the lease or the term is lost.
    awaitable<void> lead();
    awaitable<void> check_term();
    // True if the election was won.
    awaitable<bool> campaign(state::KeyValue holder, state::KeyValue term);
    std::uint64_t next_term(const state::KeyValue& term) const;
    state::Txn claim(const state::KeyValue& holder, const state::KeyValue& term) const;
    // The revision of the term's record if this controller's claim stands; 0 if it does not, or that is not certain.
    awaitable<std::uint64_t> revision_of_own_claim();
    // Returns the term's record when the claim of another controller has ended; nothing if that is not certain.
    awaitable<std::optional<state::KeyValue>> wait_for_vacancy();
    // Applies one change. True if the claim has ended.
    bool apply_change(const state::KeyValue& item, bool deleted, state::KeyValue& term);
    void step_down(const char* why);
    // Whether this controller leaves a vacancy, or its own earlier claim, to the others for now.
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
    std::optional<model::TimePoint> vacant_since_;  // while it abstains
    std::uint64_t seen_term_ = 0, own_term_ = 0;
    std::uint64_t lease_ = 0;  // id of the claim's lease
    std::string leader_;
};

}  // namespace flintdale::election
