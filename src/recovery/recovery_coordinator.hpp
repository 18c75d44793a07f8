// Detects loss of records in the key-value store and rebuilds them. One instance runs in every controller. It follows
// the generation marker, keeps a replica of the job records, and opens or closes the guarded store for the rest of the
// process. After a loss, the leading controller gathers all replicas, merges them and writes the result back.
// docs/recovery.md explains why this is safe. It is independent of scheduling.
//
// This class holds the state machine; each other task of the package has its own class. No request that its loop waits
// for may have a lower priority than bookkeeping, because a newly won term does not begin during that wait. A scrub
// that waited for spare requests once kept a leader from its workers for 48 s.
#pragma once
#include "model/heartbeat.hpp"
#include "recovery/consistency_check.hpp"
#include "recovery/deferred_outcomes.hpp"
#include "recovery/late_records.hpp"
#include "recovery/marker_store.hpp"
#include "recovery/outcome_digest.hpp"
#include "recovery/record_follower.hpp"
#include "recovery/record_keys.hpp"
#include "recovery/record_scrubber.hpp"
#include "recovery/records_rebuilder.hpp"
#include "recovery/recovery_context.hpp"
#include "recovery/replica_offers.hpp"
#include "recovery/snapshot_writer.hpp"

namespace flintdale::recovery {

class RecoveryCoordinator {
  public:
    using Callbacks = RecoveryCallbacks;
    using Loss = recovery::Loss;
    using PeerRecordsStatus = recovery::PeerRecordsStatus;

    enum class State : std::uint8_t {
        following,       // the records are complete as far as is known, or the marker has not been read yet
        loss_suspected,  // a sign of a loss was seen; the marker has to be read to resolve it
        standby,         // the records are lost; another controller rebuilds them, or none does yet
        rebuilding,      // the records are lost, and this controller rebuilds them
    };

    // `store` is the store without the guard, `guarded_store` the one that the rest of the process uses. The references
    // must outlive this.
    RecoveryCoordinator(net::Executor executor, state::Store& store, state::GuardedStore& guarded_store,
                        const config::Settings& settings, const state::RecordFormat& record_format,
                        SnapshotFile snapshot_file, Callbacks callbacks);

    // Runs forever. All other functions may be called before it starts.
    awaitable<void> run();

    // This controller has won a term, or lost it.
    void term_won(election::Term term);
    void term_lost();
    // A sign of a loss was seen. The guarded store is closed until that is resolved.
    void suspect_loss(std::string why, Loss loss = Loss::detected) { context_.suspect_loss(std::move(why), loss); }
    // An answer showed this key absent, or older than in the replica. The key is read again, and its record is restored
    // if only a few records are lost.
    void record_missing(const std::string& key) { context_.record_missing(key); }
    // A change to the records by this controller was acknowledged with that revision.
    void record_written(const state::Change& change, std::uint64_t revision) {
        context_.replica.apply_own_write(change, revision);
    }
    // All machines have reported since the records were rebuilt.
    void reconciliation_complete() { context_.terms.reconciled = true; }
    // This record was reported to a user, so it must not be lost: the replica keeps it.
    void reported_to_user(const state::KeyValue& item) {
        context_.replica.apply_own_write({item.key, item.value, 0}, item.mod_revision);
    }
    // A peer's status message arrived.
    void peer_status_received(const std::string& member, PeerRecordsStatus status);
    PeerRecordsStatus own_status() const;
    // A worker's heartbeat arrived while the records are lost. Its jobs are reported as unrecoverable if no replica
    // holds them.
    void tasks_reported(const model::Heartbeat& report) { rebuilder_.tasks_reported(report); }

    // The outcome of a job in the replica; nullopt if the replica does not hold the job. A job that it holds and that
    // is not in the store was lost, or its outcome is deferred.
    std::optional<RecordReplica::Outcome> outcome_of(const std::string& uid) const {
        return context_.replica.outcome_of(uid);
    }

    // Whether a job that is neither in the store nor in the replica certainly never existed.
    bool knows_all_jobs() const;
    // Whether a marker in phase `complete` has been read since this controller started.
    bool ready() const { return context_.complete_marker.has_value(); }
    State state() const;
    bool recovering() const { return context_.records_lost; }
    // The term under which the records were last rebuilt, 0 if none. Lower terms need not be stored.
    std::uint64_t recovered_in_term() const { return context_.complete_marker ? context_.complete_marker->term : 0; }
    const RecordReplica& replica() const { return context_.replica; }

  private:
    using GenerationMarker = state::GenerationMarker;

    // Handling of the marker.
    awaitable<void> handle_marker(state::KeyValue item, std::vector<History> known);
    awaitable<void> handle_missing_marker(std::vector<History> known);
    bool may_create_marker() const;
    awaitable<void> declare_loss(std::uint64_t replaced_revision, std::uint64_t generation, std::string why);

    // While the records are complete.
    awaitable<void> follow_complete_records(GenerationMarker marker);
    awaitable<bool> begin_history(GenerationMarker marker);
    void reset_history();
    awaitable<void> run_following_loop(GenerationMarker marker);
    bool following_continues() const;
    // These return false if a loss is suspected.
    awaitable<bool> read_if_due();
    awaitable<bool> restore_missing(GenerationMarker marker);
    awaitable<void> run_leader_tasks(GenerationMarker marker);
    awaitable<void> pause_following();
    awaitable<bool> confirm_term(GenerationMarker marker);

    // While they are lost.
    awaitable<void> recover(GenerationMarker marker);
    void note_loss(const GenerationMarker& marker);
    bool may_rebuild(const GenerationMarker& marker) const;

    RecoveryContext context_;
    MarkerStore markers_{context_};
    ConsistencyCheck consistency_check_;
    OutcomeDigest digest_{context_, markers_};
    RecordFollower follower_{context_, consistency_check_, digest_};
    RecordScrubber scrubber_{context_, consistency_check_, follower_, digest_};
    DeferredOutcomes deferred_outcomes_{context_, markers_};
    LateRecords late_records_{context_};
    ReplicaOffers offers_{context_, markers_};
    RecordsRebuilder rebuilder_{context_, markers_, offers_};
    SnapshotWriter snapshots_;

    model::TimePoint started_at_;
    model::TimePoint missing_member_deadline_{};  // after it, knows_all_jobs() no longer waits for missing members
    model::TimePoint next_change_read_{};         // used by run_following_loop()
};

}  // namespace flintdale::recovery
