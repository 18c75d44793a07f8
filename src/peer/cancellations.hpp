// Exchange of cancellations between the controllers, and until when a leader may rely on it while the store is away.
//
// A leader renews leases only while what it knows of cancellations is recent enough (scheduler/lease_rule.hpp). Only
// controllers tell users that a job is cancelled. So once every other controller has reported, after this one asked,
// all cancellations that it has acknowledged to users, this one knows all that were acknowledged until it asked,
// whatever the store does. Nothing depends on such a report arriving: without it, the age counts from the last reading
// of the records.
//
// Each message has a number within its sender's incarnation and names the newest message received from each peer. So it
// answers that message, however late it arrives: what the peer had acknowledged before it received that message is in
// the list, for the list is made afterwards. An incarnation that began after the last reading of the records proves
// nothing, for the one before it may have acknowledged what no other controller knows.
#pragma once
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/settings.hpp"
#include "model/clock.hpp"

namespace flintdale::peer {

// The part of a status message on cancellations.
struct CancellationReport {
    // A message of a peer, by its number in that incarnation.
    struct ReceivedMessage {
        std::string member;
        std::uint64_t incarnation = 0, number = 0;
    };
    std::uint64_t number = 0;  // of this message in its sender's incarnation, from 1; 0: a version that does not count
    std::vector<ReceivedMessage> received;  // the newest message of each peer
    std::vector<std::string> recent;        // uids that the sender learned to be cancelled in the last span()
    bool complete = false;                  // the sender acknowledged no other cancellation in that time
};

// Pure: the caller tells the time, and sends and receives.
class Cancellations {
  public:
    // `settings` must outlive the object.
    explicit Cancellations(const config::Settings& settings);

    // A job is known to be cancelled: its outcome was read, a peer reported it, or it is about to be acknowledged to a
    // user. False if that was known before.
    bool note(const std::string& uid, model::TimePoint now);
    bool knows(const std::string& uid) const { return known_.contains(uid); }

    // The report for a message to the peers, which must be sent after this call.
    CancellationReport make_report(model::TimePoint now);

    // A report has arrived from that incarnation of a peer. The caller has noted the cancellations that it names.
    void report_received(const std::string& member, std::uint64_t incarnation, std::uint64_t own_incarnation,
                         const CancellationReport& report, model::TimePoint now);

    // The time until which all cancellations that any controller acknowledged to users are noted here, provided that
    // all that was on record at `records_read` is known. Never before `records_read`.
    model::TimePoint all_known_until(model::TimePoint records_read, model::TimePoint now) const;

    // Whether the peer is known to have received all that was noted here until then.
    bool has_received(const std::string& member, model::TimePoint noted) const;

    // How long a peer names a cancellation after it learned of it.
    model::Clock::duration span() const;

  private:
    struct Peer {
        std::uint64_t incarnation = 0, number = 0;  // of the newest message received from it
        model::TimePoint incarnation_since{};       // when the first message of that incarnation arrived
        model::TimePoint answers{};  // when the newest own message was made that the peer is known to have received
        bool complete = false;       // its newest report is
    };
    struct Cancellation {
        model::TimePoint noted;
        std::string uid;
    };
    struct SentMessage {
        std::uint64_t number;
        model::TimePoint made;
    };
    void expire(model::TimePoint now);
    // When the own message with this number was made; the earliest time if that is not remembered any more.
    model::TimePoint made_at(std::uint64_t number) const;

    const config::Settings& settings_;
    std::unordered_map<std::string, model::TimePoint> known_;  // when each was noted
    std::deque<Cancellation> recent_;                          // by time; named to the peers
    std::deque<Cancellation> expiring_;                        // no longer named, still known
    std::deque<SentMessage> sent_;                             // by number
    std::map<std::string, Peer> peers_;
    std::uint64_t number_ = 0;  // of the last message
    model::TimePoint incomplete_until_{};
};

}  // namespace flintdale::peer
