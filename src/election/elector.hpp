// Who leads. A key on a lease of the state service elects, and the same transaction raises the persistent term.
#pragma once
#include <functional>
#include <optional>

#include "model/clock.hpp"
#include "state/store.hpp"

namespace flintdale::election {

using net::awaitable;

inline constexpr const char* holder_key = "lead/holder";
inline constexpr const char* term_key = "lead/term";

struct Term {
    std::uint64_t number = 0, mod_revision = 0;  // stamp of term_key: what every write of the leader is conditioned on
    std::uint64_t previous = 0;                  // the term that was on record before
    bool gap = false;                            // a term was seen that is not on record: it was lost
};

class Elector {
  public:
    struct Events {
        std::function<void(Term)> elected;
        std::function<void()> deposed;
    };

    // `time_of_day_ms`, if given, keeps terms above every one that came before it, even if all records of terms are
    // lost and nobody remembers them: each number is at least the time of day when it was claimed.
    Elector(net::Executor ex, state::Store& store, std::string member, model::Seconds lease, Events events,
            std::function<std::int64_t()> time_of_day_ms = {});

    awaitable<void> run();

    // CancellationReport of a term from anywhere (a peer, a worker, a failed transaction). A higher one ends our own at
    // once.
    void observe_term(std::uint64_t term, const std::string& leader);
    // A condition on the term's stamp failed: find out what happened.
    void verify_leadership() { doubted_ = true, wake_.notify(); }

    // Gives the term up, so that another controller can win the next one: this one can renew its claim but not do the
    // work. It does not stand again for a while, unless nobody else does.
    void resign(const char* why);
    // Ends the term, and claims the next one at once if nobody else does.
    void restart_term(const char* why) { depose(why); }

    bool leading() const { return leading_; }
    std::uint64_t term() const { return seen_term_; }
    const std::string& leader() const { return leader_; }

  private:
    awaitable<void> lead();
    awaitable<bool> campaign(const state::KeyValue& holder, const state::KeyValue& term);
    // Returns the term's record when the claim of another has ended; nothing if that is not certain.
    awaitable<std::optional<state::KeyValue>> wait_for_vacancy();
    void depose(const char* why);
    // Whether this controller leaves a vacancy, or its own former claim, to the others for now.
    bool abstains(bool own);

    net::Executor ex_;
    state::Store& store_;
    std::string member_;
    std::chrono::milliseconds life_;
    Events events_;
    std::function<std::int64_t()> time_of_day_ms_;
    net::Wakeup wake_;
    bool leading_ = false, doubted_ = false, resigned_ = false;
    model::TimePoint abstains_until_{};
    std::optional<model::TimePoint> vacant_since_;  // while it abstains
    std::uint64_t seen_term_ = 0, lease_ = 0, own_term_ = 0;
    std::string leader_;
};

}  // namespace flintdale::election
