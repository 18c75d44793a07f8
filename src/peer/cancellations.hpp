// Exchange of cancellations between controllers. It lets a leader renew worker leases while the store does not respond.
//
// A leader renews leases only while its knowledge of cancellations is recent enough (scheduler/lease_rule.hpp). Users
// get the acknowledgement of a cancellation only from controllers. Each message to a peer is therefore a query. Once
// all peers have responded with the cancellations that they acknowledged, this controller knows every cancellation that
// was acknowledged before it sent the query. If a response is missing, the age counts from the last read of the
// records.
//
// Each message has a number within its sender's incarnation, and names the newest message received from each peer. It
// responds to these messages, even if it arrives late: its list was made after they were received. A peer incarnation
// that started after the last read of the records proves nothing, because the previous one may have acknowledged
// cancellations that no other controller knows.
#pragma once
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/settings.hpp"
#include "model/clock.hpp"

namespace flintdale::peer {

// The part of a status message that reports cancellations.
struct CancellationReport {
    // Identifies a message of a peer by its number within the peer's incarnation.
    struct ReceivedMessage {
        std::string member;
        std::uint64_t incarnation = 0, number = 0;
    };
    std::uint64_t number = 0;  // of this message in its sender's incarnation, from 1; 0: an old version without numbers
    std::vector<ReceivedMessage> received;  // the newest message of each peer
    // uids of jobs whose cancellation the sender learned in the last reporting_period()
    std::vector<std::string> recent;
    bool complete = false;  // `recent` has every cancellation that the sender acknowledged in that period
};

// Does no input or output and reads no clock: the caller passes the time, and sends and receives the messages.
class Cancellations {
  public:
    // `settings` must outlive the object.
    explicit Cancellations(const config::Settings& settings);

    // Records that a job is cancelled: its outcome was read, a peer reported it, or the cancellation is about to be
    // acknowledged to a user. False if it was recorded before.
    bool note(const std::string& uid, model::TimePoint now);
    bool knows(const std::string& uid) const { return known_.contains(uid); }

    // Makes the report for the next message to the peers. Call it directly before that message is sent.
    CancellationReport make_report(model::TimePoint now);

    // Handles a report from this incarnation of a peer. The caller has called note() for the cancellations in it.
    void report_received(const std::string& member, std::uint64_t incarnation, std::uint64_t own_incarnation,
                         const CancellationReport& report, model::TimePoint now);

    // The latest time such that every cancellation acknowledged to users before it is recorded here. The records must
    // have been read at `records_read`; the result is never earlier than that.
    model::TimePoint all_known_until(model::TimePoint records_read, model::TimePoint now) const;

    // Whether the peer is known to have received all cancellations recorded here up to `noted`.
    bool has_received(const std::string& member, model::TimePoint noted) const;

    // How long a controller reports a cancellation after it learned of it.
    model::Clock::duration reporting_period() const;

  private:
    struct Peer {
        std::uint64_t incarnation = 0, number = 0;  // of the newest message received from it
        model::TimePoint incarnation_since{};       // when the first message of that incarnation arrived
        // When the newest own message was made that the peer is known to have received.
        model::TimePoint acknowledged{};
        bool complete = false;  // whether its newest report is complete
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
    // When this controller's message with this number was made; the earliest TimePoint if it is no longer in sent_.
    model::TimePoint creation_time(std::uint64_t number) const;

    const config::Settings& settings_;
    std::unordered_map<std::string, model::TimePoint> known_;  // when each was noted
    std::deque<Cancellation> recent_;                          // by time; reported to the peers
    std::deque<Cancellation> expiring_;                        // no longer reported, still in known_
    std::deque<SentMessage> sent_;                             // by number
    std::map<std::string, Peer> peers_;
    std::uint64_t number_ = 0;  // of the last message
    model::TimePoint incomplete_until_{};
};

}  // namespace flintdale::peer
