// Watches over the records in the key-value store, and rebuilds them after a loss. One runs in every controller. It
// follows the generation marker, keeps a replica of the records of jobs, and opens or closes the guarded store for the
// rest of the process. While the records are lost, the controller that leads gathers all replicas, merges them and
// writes the result back. docs/recovery.md has the argument. It knows nothing of scheduling.
//
// This class holds the state machine; each other task of the package has a class of its own. Nothing that its loop
// waits for may have a lower request priority than bookkeeping: while it waits, a term that was just won does not
// begin. A scrubbing that waited for spare requests once kept a leader from its workers for 48 s.
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
        following,       // the records are whole as far as is known, or the marker has not been read yet
        loss_suspected,  // something indicated a loss; the marker says whether it stays at that
        standing_by,     // the records are lost, and another controller rebuilds them or none does yet
        rebuilding,      // the records are lost, and this controller rebuilds them
    };

    // `store` is the store itself, `guarded_store` what the rest of the process uses. The references must outlive this.
    RecoveryCoordinator(net::Executor executor, state::Store& store, state::GuardedStore& guarded_store,
                        const config::Settings& settings, const state::RecordFormat& record_format,
                        SnapshotFile snapshot_file, Callbacks callbacks);

    // Runs for ever. Everything else may be called before it starts.
    awaitable<void> run();

    // This controller has won a term, or lost it.
    void term_won(election::Term term);
    void term_lost();
    // Something indicated that data were lost. The guarded store is closed until that is resolved.
    void suspect_loss(std::string why, Loss loss = Loss::detected) { context_.suspect_loss(std::move(why), loss); }
    // An answer showed this key absent, or older than the replica holds it. The key is read again, and its record
    // restored if it and few others are lost.
    void record_missing(const std::string& key) { context_.record_missing(key); }
    // A change to the records that this controller made was acknowledged under that revision.
    void record_written(const state::Change& change, std::uint64_t revision) {
        context_.replica.apply_own_write(change, revision);
    }
    // All machines have been heard since the records were rebuilt.
    void reconciliation_complete() { context_.terms.reconciled = true; }
    // Users were told what this record says.
    void reported_to_user(const state::KeyValue& item) {
        context_.replica.apply_own_write({item.key, item.value, 0}, item.mod_revision);
    }
    // What a peer said of its replica, just now.
    void peer_status_received(const std::string& member, PeerRecordsStatus status);
    PeerRecordsStatus own_status() const;
    // A worker's heartbeat arrived while the records are lost: its jobs are missed if no replica holds them.
    void tasks_reported(const model::Heartbeat& report) { rebuilder_.tasks_reported(report); }

    // The outcome of a job that the replica holds; nothing if it holds no such job. A job that it holds and that is not
    // on record was lost, or its outcome is deferred.
    std::optional<RecordReplica::Outcome> outcome_of(const std::string& uid) const {
        return context_.replica.outcome_of(uid);
    }

    // Whether a job that is neither on record nor in the replica is certain never to have existed.
    bool knows_all_jobs() const;
    // The marker is known: it was whole since this controller started.
    bool ready() const { return context_.complete_marker.has_value(); }
    State state() const;
    bool recovering() const { return context_.records_lost; }
    // The term under which the records were rebuilt last. Those below it need not be on record.
    std::uint64_t recovered_in_term() const { return context_.complete_marker ? context_.complete_marker->term : 0; }
    const RecordReplica& replica() const { return context_.replica; }

  private:
    using GenerationMarker = state::GenerationMarker;

    // The marker.
    awaitable<void> act_on(state::KeyValue item, std::vector<History> known);
    awaitable<void> handle_missing_marker(std::vector<History> known);
    bool may_create_marker() const;
    awaitable<void> declare_loss(std::uint64_t replaced_revision, std::uint64_t generation, std::string why);

    // While the records are whole.
    awaitable<void> follow_complete_records(GenerationMarker marker);
    awaitable<bool> begin_history(GenerationMarker marker);
    void reset_history();
    awaitable<void> run_following_loop(GenerationMarker marker);
    bool following_continues() const;
    // False if a loss is suspected now.
    awaitable<bool> read_if_due();
    awaitable<bool> restore_missing(GenerationMarker marker);
    awaitable<void> run_leader_tasks(GenerationMarker marker);
    awaitable<void> pause_following();
    awaitable<bool> confirm_term(GenerationMarker marker);

    // While they are not.
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
    model::TimePoint certain_at_{};        // from then on knows_all_jobs() no longer waits for missing members
    model::TimePoint next_change_read_{};  // within run_following_loop()
};

}  // namespace flintdale::recovery
