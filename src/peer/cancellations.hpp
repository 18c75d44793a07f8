// What the controllers tell each other of cancellations, and what follows from it while the state service is away.
//
// A leader keeps leases alive only for as long as what it knows of cancellations is young enough (lease_rule.hpp). Only
// controllers tell users that a job is cancelled. So where every other controller has said, after this one asked, what
// it has told, this one knows all that was told until it asked, whatever the state service does. Nothing rests on such
// a word arriving: without it the age counts from the last look at the records, as ever.
//
// Each message bears a number of its sender's incarnation and names the newest one heard of each peer, so that it is an
// answer to that one, however late it comes: what the peer had told before that number left is in the list, for the
// list is made after it came. A incarnation that began after the last look at the records proves nothing, for the one
// before it may have told what nobody else knows.
#pragma once
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/settings.hpp"
#include "model/clock.hpp"

namespace flintdale::peer {

// What a message says of them.
struct CancellationReport {
    std::uint64_t number = 0;  // of the message in its sender's incarnation, from 1; 0: a version that does not say
    struct Heard {
        std::string member;
        std::uint64_t incarnation = 0, number = 0;
    };
    std::vector<Heard> heard;         // the newest message of each peer
    std::vector<std::string> lately;  // cancelled, as the sender learned in the last span()
    bool whole = false;               // and it told users of no others in that time
};

class Cancellations {
  public:
    explicit Cancellations(const config::Settings& settings);

    // A job is known to be cancelled: its outcome was read, a peer said so, or a user is about to be told. False if
    // that was known.
    bool note(const std::string& uid, model::TimePoint now);
    bool knows(const std::string& uid) const { return known_.contains(uid); }

    // For a message to the peers, which must leave after this call.
    CancellationReport make_report(model::TimePoint now);

    // A message of a peer, of that incarnation of it: what it told has been noted already. `own_incarnation`: this
    // controller's.
    void report_received(const std::string& member, std::uint64_t incarnation, std::uint64_t own_incarnation,
                         const CancellationReport& report, model::TimePoint now);

    // Whatever users were told before then is noted here, if all that was on record at `looked` is known.
    model::TimePoint all_known_until(model::TimePoint looked, model::TimePoint now) const;
    // Whether the peer is known to have heard all that was noted here until then.
    bool has_received(const std::string& member, model::TimePoint noted) const;
    // For how long a peer names what it has learned.
    model::Clock::duration span() const;

  private:
    struct Peer {
        std::uint64_t incarnation = 0, number = 0;  // newest heard of it
        model::TimePoint incarnation_since{};       // when that incarnation was first heard
        model::TimePoint answers{};                 // when the newest message left that it is known to have heard
        bool whole = false;
    };

    const config::Settings& settings_;
    std::unordered_map<std::string, model::TimePoint> known_;         // when it was learned
    std::deque<std::pair<model::TimePoint, std::string>> lately_;     // in the order of time, named to the peers
    std::deque<std::pair<model::TimePoint, std::string>> to_forget_;  // no longer named, still known
    std::deque<std::pair<std::uint64_t, model::TimePoint>> said_;     // own messages, when they left
    std::map<std::string, Peer> peers_;
    std::uint64_t number_ = 0;
    model::TimePoint not_whole_until_{};
};

}  // namespace flintdale::peer
