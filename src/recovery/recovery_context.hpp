// State that the parts of the recovery package share, and the services that they use. One per controller, owned by
// RecoveryCoordinator; the parts hold a reference. Everything runs on one thread, but any co_await may change it.
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

// Delay after a request that was refused or not answered.
inline constexpr auto retry_interval = std::chrono::milliseconds(300);
// Between two reads of the changes to the records.
inline constexpr auto change_interval = std::chrono::milliseconds(1000);
// Between two reads of the marker while another controller rebuilds, and between two reads of the offers.
inline constexpr auto standby_interval = std::chrono::milliseconds(250);

// What indicated that data were lost.
enum class Loss : std::uint8_t {
    records,         // single records that the replica holds are missing; the store's history went on
    detected,        // any other sign of a loss
    beyond_replica,  // more than the replica holds, so nobody may know where tasks were placed last
};

// What a controller says of its replica to its peers.
struct PeerRecordsStatus {
    std::uint64_t generation = 0;      // of the replica's history, 0 if it has none
    std::uint64_t complete_up_to = 0;  // the revision up to which peers may rely on the replica, 0 if they may not
    std::string id;                    // of the replica's history
    std::uint64_t rebuilding = 0;      // the generation that it sees being rebuilt, 0 if none
    model::TimePoint received_at{};    // when this status arrived
};

// Signs of a loss that have not been resolved yet.
struct LossSuspicion {
    std::optional<std::string> why;  // the first sign; absent while nothing is suspected
    bool beyond_replica = false;     // some sign was Loss::beyond_replica
    bool records_only = true;        // all signs were Loss::records
};

// The term that this controller has won, if any.
struct Leadership {
    std::optional<election::Term> term;
    bool confirmed = false;  // the marker was seen after the term was won, and the term has begun

    bool awaits_confirmation() const { return term && !confirmed; }
};

// Which terms may have placed tasks in the history of the replica. Tells whether the placements of the last one are
// known after a loss.
struct TermHistory {
    std::uint64_t last_led = 0;    // the last term that this controller led
    std::set<std::uint64_t> seen;  // the highest terms that were seen
    bool reconciled = false;       // this controller saw that all machines were heard since the last rebuilding

    // Adds a term, 0 for none. Only the highest are kept.
    void add(std::uint64_t term);
};

// A history of the store: a generation, and what tells it from others of the same generation.
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

    std::optional<state::GenerationMarker> complete_marker;  // the newest that was whole
    model::TimePoint marker_read_at{};
    bool marker_recheck = false;  // the marker should be read again
    bool records_lost = false;    // a loss was declared, and the records are not rebuilt yet
    model::TimePoint loss_noticed_at{};
    LossSuspicion suspicion;

    RecordReplica replica;
    std::optional<RecordReplica> previous_replica;  // of the history before, until what only it holds is on record
    bool late_records_added = true;                 // what only previous_replica holds is on record
    bool replica_verified = false;                  // the first load of the records was compared with the digest
    std::set<std::string> missing_keys;             // keys that an answer showed absent or outdated, to be read again

    Leadership leadership;
    TermHistory terms;
    std::map<std::string, PeerRecordsStatus> peers;  // by member

    bool loss_suspected() const { return suspicion.why.has_value(); }
    // Closes the guard until the marker has been read again. Ignored while the records are known to be lost.
    void suspect_loss(std::string why, Loss loss = Loss::detected);
    void clear_suspicion() { suspicion = {}; }
    // Reports that the store's revisions went back, to this one.
    void suspect_revision_rollback(std::uint64_t revision);
    // An answer showed this key absent, or older than the replica holds it. Nothing follows from that alone.
    void record_missing(const std::string& key);

    // The highest revision of the replica's history that this controller or a peer knows of.
    std::uint64_t newest_known_revision() const;
    // The histories that this controller or a peer has seen.
    std::vector<History> known_histories() const;
    std::uint64_t newest_known_generation() const;
    // The records were rebuilt without the last placements, and not all machines have been reconciled since.
    bool unsettled() const { return complete_marker && complete_marker->loss_exceeds_replica && !terms.reconciled; }
};

}  // namespace flintdale::recovery
