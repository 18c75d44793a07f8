// Keeps watch over what the state service holds, and rebuilds it after a loss. One runs in every controller. It knows
// the marker, remembers the records of jobs, and opens or closes them for everybody else in the process; while the
// records are lost, the one that leads gathers what all remember, merges it and writes it back. docs/rebuilding.md.
#pragma once
#include <functional>
#include <set>
#include <unordered_map>

#include "config/settings.hpp"
#include "election/elector.hpp"
#include "model/clock.hpp"
#include "model/heartbeat.hpp"
#include "recovery/consistency_check.hpp"
#include "recovery/record_replica.hpp"
#include "recovery/snapshot_file.hpp"
#include "state/generation_marker.hpp"
#include "state/guarded_store.hpp"
#include "state/record_format.hpp"

namespace flintdale::recovery {

using net::awaitable;

inline constexpr const char* offers_prefix = "recovery/offer/";
// How many outcomes there were at some revision.
inline constexpr const char* digest_key = "recovery/digest";
// There while tasks may be on machines that no record names; removed by the leader that has heard all machines.
// Outcomes that are not back in their places yet, in pages: as good as on record.
inline constexpr const char* owed_prefix = "recovery/owed/";
inline constexpr const char* unsettled_key = "recovery/witness/unsettled";

class RecoveryCoordinator {
  public:
    struct Callbacks {
        std::function<std::int64_t()> time_of_day_ms;
        // The records are whole, and this term may go by them. `unsettled`: tasks may be on machines without a record.
        std::function<void(election::Term, bool unsettled)> begin;
        std::function<void(const char* why)> new_term;  // a term that began before the loss must end
        // A look at the outcomes that began then showed these.
        enum class Look : std::uint8_t { after_a_gap, changes, all };
        std::function<void(const std::vector<state::KeyValue>&, model::TimePoint began, Look look)> outcomes;
        std::function<void()> rebuilt;  // the records are whole again, and may be others
        std::function<std::uint64_t()> seen_term;
        std::uint64_t incarnation = 0;  // of this controller: another one each time that it is started
    };

    // `raw` is the service itself, `guarded` what the rest of the process uses.
    RecoveryCoordinator(net::Executor ex, state::Store& raw, state::GuardedStore& guarded,
                        const config::Settings& settings, const state::RecordFormat& record_format,
                        SnapshotFile snapshot_file, Callbacks callbacks);

    awaitable<void> run();

    // This controller has won a term, or lost it.
    void term_won(election::Term term);
    void term_lost();
    // Something showed that data were lost. `records`: single ones that are remembered, while the history went on;
    // `beyond_memory`: more than this controller remembers, so that nobody may know where tasks were placed last.
    enum class Loss : std::uint8_t { records, seen, beyond_memory };
    void suspect_loss(std::string why, Loss loss = Loss::seen);
    // An answer showed this key absent, or older than it was remembered to be. Nothing is concluded from that alone: it
    // is looked at again, and put back if it and few others are gone.
    void record_missing(const std::string& key);
    void record_written(const state::Change& change, std::uint64_t revision) {
        replica_.apply_own_write(change, revision);
    }
    // All machines have been heard since the records were rebuilt.
    void reconciliation_complete() { settled_ = true; }
    // Users were told what this record says.
    void reported_to_user(const state::KeyValue& item) {
        replica_.apply_own_write({item.key, item.value, 0}, item.mod_revision);
    }
    // What a peer said of itself: the generation it knows, 0 if none, and up to where it remembers that.
    struct PeerRecordsStatus {
        std::uint64_t generation = 0, remembers = 0;
        std::string id;
        std::uint64_t rebuilding = 0;  // the generation that it sees being rebuilt, 0 if none
        model::TimePoint heard{};
    };
    void peer_status_received(const std::string& member, PeerRecordsStatus word);
    PeerRecordsStatus own_status() const;
    // Jobs that a worker shows while the records are not whole, to be missed if nobody remembers them.
    void tasks_reported(const model::Heartbeat& report);

    // The outcome of a job that is remembered, and whether it is remembered at all. What is not on record and yet
    // remembered is either owed, or was lost.
    std::optional<RecordReplica::Outcome> outcome_of(const std::string& uid) const { return replica_.outcome_of(uid); }

    // Whether a job that is neither on record nor remembered never was.
    bool knows_all_jobs() const;
    // The marker is known: it was whole since this controller began.
    bool ready() const { return known_.has_value(); }
    bool recovering() const { return rebuilding_; }
    // The term under which the records were rebuilt last; of those below it none need be on record.
    std::uint64_t recovered_in_term() const { return known_ ? known_->term : 0; }
    const RecordReplica& replica() const { return replica_; }

  private:
    using GenerationMarker = state::GenerationMarker;
    using KeyValue = state::KeyValue;
    struct Present {
        ReplicaContents source;
        std::map<std::string, std::uint64_t> mod_revisions;
    };
    // Everything that was offered, and whether the last leader's own memory is among it.
    struct Gathered {
        std::vector<ReplicaContents> sources;
        std::vector<std::string> missing;  // controllers that made none
        bool placements_known = false;
    };

    // The marker: made, doubted, replaced.
    struct History {
        std::uint64_t generation = 0;
        std::string id;
    };
    std::vector<History> histories() const;
    awaitable<void> without_marker(const std::vector<History>& known);
    bool may_create() const;
    std::uint64_t newest_generation() const;
    // The records were rebuilt without the last placements, and nobody here has seen that all machines were heard
    // since.
    bool unsettled() const { return known_ && known_->loss_exceeds_replica && !settled_; }
    std::uint64_t newest_remembered() const;
    static bool outdated(const GenerationMarker& marker, const std::vector<History>& known);
    void clear_suspicion();
    void term_seen(std::uint64_t term);
    awaitable<void> declare_loss(std::uint64_t over, std::uint64_t generation, std::string why);
    awaitable<std::uint64_t> put(const GenerationMarker& marker);
    awaitable<std::uint64_t> put_with(const GenerationMarker& marker, std::vector<state::Change> with);

    // While the records are whole.
    awaitable<void> follow_whole_records(GenerationMarker marker);
    awaitable<bool> read_deferred_outcomes(RecordReplica& replica);
    awaitable<bool> confirm(const GenerationMarker& marker);
    awaitable<void> read_changes();
    awaitable<void> read_next_page();
    awaitable<bool> verify();
    awaitable<void> scrub();
    awaitable<void> check_missing_records(const GenerationMarker& marker);
    awaitable<bool> check_next_page();
    awaitable<void> restore_few(const GenerationMarker& marker, std::vector<ConsistencyCheck::Finding> gone);
    awaitable<void> write_digest();
    awaitable<bool> add_late_records();
    awaitable<void> restore_deferred_outcomes();
    void write_snapshot();

    // While they are not.
    awaitable<void> stand_by(GenerationMarker marker);
    awaitable<bool> offer_replica(const GenerationMarker& marker);
    std::vector<ReplicaContents> own_sources(const std::string& of, std::uint64_t remembers) const;
    awaitable<void> rebuild_records(GenerationMarker marker);
    awaitable<std::optional<Gathered>> gather_offers(const GenerationMarker& marker);
    ReplicaContents offered(const std::string& member, std::size_t k, const boost::json::value& entry,
                            const std::map<std::string, const KeyValue*>& by_key) const;
    std::optional<Gathered> read_offers(const GenerationMarker& marker, const std::vector<KeyValue>& items,
                                        bool last_call) const;
    awaitable<std::optional<Present>> present();
    // How many records were missing, or nothing if it was interrupted.
    awaitable<std::optional<std::size_t>> restore(const GenerationMarker& marker, const Merged& merged,
                                                  Present present);
    awaitable<bool> write_back(const GenerationMarker& marker, std::vector<state::Change> changes,
                               std::map<std::string, std::uint64_t>& mod_revisions);
    awaitable<std::optional<std::vector<KeyValue>>> read_all(std::string prefix);
    awaitable<void> remove_all(std::string prefix, std::vector<state::Condition> conditions);
    std::vector<std::pair<std::string, std::string>> pages(const std::string& prefix,
                                                           const ReplicaContents& source) const;
    std::vector<state::Condition> leading_conditions(const GenerationMarker& marker) const;

    state::Store& raw_;
    state::GuardedStore& guarded_;
    const config::Settings& settings_;
    const state::RecordFormat& record_format_;
    SnapshotFile snapshot_file_;
    Callbacks callbacks_;
    net::Wakeup wake_;

    std::optional<GenerationMarker> known_;             // the newest that was whole
    std::optional<std::string> doubt_;                  // why it may be so no more
    bool beyond_memory_ = false, records_only_ = true;  // all that has been doubted
    bool recheck_ = false;                              // the marker should be read again
    model::TimePoint began_{}, checked_at_{}, shelved_at_{}, rebuild_began_{};
    std::unordered_map<std::string, PeerRecordsStatus> peers_;

    RecordReplica replica_;
    ConsistencyCheck consistency_check_;
    std::set<std::string> suspects_;  // keys to be looked at again
    model::TimePoint next_look_again_{};
    std::optional<RecordReplica> former_;  // of the history before, until what only it holds is on record
    bool following_ = false;
    bool verified_ = false;       // what there was when this controller began is all there should have been
    std::uint64_t digested_ = 0;  // what the last digest counted
    bool late_added_ = true;      // what only former_ holds is on record
    model::TimePoint next_digest_{}, next_scrub_{}, certain_at_{}, former_until_{}, next_late_{};
    std::string scrub_at_;                // the last key that was held against the memory
    std::optional<std::string> fill_at_;  // the last key of the pages read so far; nothing once all are
    std::map<std::string, std::vector<std::string>> owed_;  // page -> jobs whose outcomes are in it

    std::optional<election::Term> term_;
    bool begun_ = false;            // the leader_term of that term
    bool settled_ = false;          // as far as this controller has seen, since the last rebuilding
    std::uint64_t led_ = 0;         // the last term in the history of replica_ that it reigned in,
    std::set<std::uint64_t> seen_;  // and the highest that were about
    bool rebuilding_ = false, clear_offers_ = false;
    std::string offered_to_;  // the marker, by identity and stamp
    std::set<std::string> shown_;
};

}  // namespace flintdale::recovery
