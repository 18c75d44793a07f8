// State and dependencies shared by the classes of the recovery package. One per controller, owned by
// RecoveryCoordinator; the other classes hold a reference. All access is from one thread, but the state may change
// during any co_await.
#pragma once
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "election/elector.hpp"
#include "model/clock.hpp"
#include "recovery/record_replica.hpp"
#include "recovery/recovery_callbacks.hpp"
#include "state/generation_marker.hpp"
#include "state/guarded_store.hpp"
#include "state/record_format.hpp"

namespace flintdale::recovery {

using net::awaitable;

// Delay before a retry after a request that was refused or not answered.
inline constexpr auto retry_interval = std::chrono::milliseconds(300);
// Interval between two reads of the changes to the records.
inline constexpr auto change_interval = std::chrono::milliseconds(1000);
// Interval between two reads of the marker while another controller rebuilds, and between two reads of the offers.
inline constexpr auto standby_interval = std::chrono::milliseconds(250);

// The kind of loss that a sign indicates.
enum class Loss : std::uint8_t {
    records,         // single records that the replica holds are missing; the store's history continued
    detected,        // any other sign of a loss
    beyond_replica,  // more than the replica holds was lost, so the last placements may be unknown
};

// The state of a controller's replica, as sent to its peers.
struct PeerRecordsStatus {
    std::uint64_t generation = 0;      // of the replica's history, 0 if it has none
    std::uint64_t complete_up_to = 0;  // the revision up to which peers may rely on the replica, 0 if they may not
    std::string id;                    // of the replica's history
    std::uint64_t rebuilding = 0;      // the generation that is being rebuilt as far as it knows, 0 if none
    model::TimePoint received_at{};    // when this status arrived
};

// Signs of a loss that are not resolved yet.
struct LossSuspicion {
    std::optional<std::string> why;  // the first sign; absent while nothing is suspected
    bool beyond_replica = false;     // some sign was Loss::beyond_replica
    bool records_only = true;        // all signs were Loss::records
};

// The term that this controller holds, if any.
struct Leadership {
    std::optional<election::Term> term;
    bool confirmed = false;  // the marker was read after the term was won, and the term has begun

    bool awaits_confirmation() const { return term && !confirmed; }
};

// The terms that may have placed tasks in the history of the replica. After a loss, it shows whether the placements of
// the last term are known.
struct TermHistory {
    std::uint64_t last_led = 0;    // the last term that this controller led
    std::set<std::uint64_t> seen;  // the highest terms that this controller has seen
    bool reconciled = false;       // all machines have reported since the last rebuild, as far as this controller knows

    // Adds a term; 0 is ignored. Only the highest terms are kept.
    void add(std::uint64_t term);
};

// A history of the store: its generation, and an id that is unique among histories of the same generation.
struct History {
    std::uint64_t generation = 0;
    std::string id;
};

struct RecoveryContext {
    RecoveryContext(net::Executor executor, state::Store& store, state::GuardedStore& guarded_store,
                    const config::Settings& settings, const state::RecordFormat& record_format,
                    RecoveryCallbacks callbacks);

    state::Store& store;  // the store itself, without the guard
    state::GuardedStore& guarded_store;
    const config::Settings& settings;
    const state::RecordFormat& record_format;
    RecoveryCallbacks callbacks;
    net::Wakeup wakeup;  // of the coordinator's loop

    std::optional<state::GenerationMarker> complete_marker;  // the newest marker in phase `complete`
    model::TimePoint marker_read_at{};
    bool marker_recheck = false;  // the marker has to be read again
    bool records_lost = false;    // a loss was declared, and the records are not yet rebuilt
    model::TimePoint loss_noticed_at{};
    LossSuspicion suspicion;

    RecordReplica replica;
    std::optional<RecordReplica> previous_replica;  // of the previous history, until its records are stored
    bool late_records_added = true;                 // all records that only previous_replica holds are stored
    bool replica_verified = false;                  // the loaded records were compared with the digest
    std::set<std::string> missing_keys;             // keys that an answer showed absent or older, to be read again

    Leadership leadership;
    TermHistory terms;
    std::map<std::string, PeerRecordsStatus> peers;  // by member

    bool loss_suspected() const { return suspicion.why.has_value(); }
    // Closes the guarded store until the marker has been read again. Ignored while the records are known to be lost.
    void suspect_loss(std::string why, Loss loss = Loss::detected);
    void clear_suspicion() { suspicion = {}; }
    // Suspects a loss because the store's revision decreased to this one.
    void suspect_revision_rollback(std::uint64_t revision);
    // An answer showed this key absent, or older than in the replica. That alone does not prove a loss: the key is read
    // again.
    void record_missing(const std::string& key);

    // The highest revision of the replica's history that this controller or a peer knows of.
    std::uint64_t newest_known_revision() const;
    // The histories that this controller or a peer has seen.
    std::vector<History> known_histories() const;
    std::uint64_t newest_known_generation() const;
    // The records were rebuilt without the last placements, and not all machines have been reconciled since.
    bool reconciliation_pending() const {
        return complete_marker && complete_marker->loss_exceeds_replica && !terms.reconciled;
    }
};

}  // namespace flintdale::recovery
