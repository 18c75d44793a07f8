#include "recovery/recovery_coordinator.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace flintdale::recovery {

using namespace std::chrono_literals;
using model::Clock;
using state::Outcome;
using state::RequestPriority;

namespace {

constexpr auto marker_interval = 5s;     // between two reads of the marker without a sign of a loss
constexpr auto marker_peer_wait = 6s;    // for status messages of all peers before a marker is created
constexpr auto marker_wait_step = 50ms;  // between two attempts to create the marker
constexpr auto confirmation_retry = 100ms;
constexpr auto missing_member_wait = 60s;  // during which knows_all_jobs() waits for members that made no offer

}  // namespace

RecoveryCoordinator::RecoveryCoordinator(net::Executor executor, state::Store& store,
                                         state::GuardedStore& guarded_store, const config::Settings& settings,
                                         const state::RecordFormat& record_format, SnapshotFile snapshot_file,
                                         Callbacks callbacks)
    : context_(executor, store, guarded_store, settings, record_format, std::move(callbacks)),
      consistency_check_(store, context_.replica, [this] { return context_.newest_known_revision(); }),
      snapshots_(std::move(snapshot_file)),
      started_at_(Clock::now()) {}

void RecoveryCoordinator::term_won(election::Term term) {
    context_.leadership = {term, false};
    context_.wakeup.notify();
}

void RecoveryCoordinator::term_lost() {
    context_.leadership = {};
    context_.wakeup.notify();
}

void RecoveryCoordinator::peer_status_received(const std::string& member, PeerRecordsStatus status) {
    status.received_at = Clock::now();
    const auto generation = context_.complete_marker ? context_.complete_marker->generation : 0;
    if (status.rebuilding > generation && !context_.records_lost) {
        context_.marker_recheck = true;
        context_.wakeup.notify();
    }
    context_.peers[member] = std::move(status);
}

RecoveryCoordinator::PeerRecordsStatus RecoveryCoordinator::own_status() const {
    PeerRecordsStatus status;
    status.generation = context_.replica.generation();
    status.id = context_.replica.id();
    // 0 while this controller may hold records that no other controller has: see knows_all_jobs().
    status.complete_up_to = context_.late_records_added ? context_.replica.revision() : 0;
    status.rebuilding = context_.records_lost ? context_.newest_known_generation() : 0;
    return status;
}

RecoveryCoordinator::State RecoveryCoordinator::state() const {
    if (context_.records_lost) return rebuilder_.active() ? State::rebuilding : State::standby;
    return context_.loss_suspected() ? State::loss_suspected : State::following;
}

// A controller that was unreachable during the rebuild may hold further records, and adds them when it is back. Until
// then, users who ask for an unknown job are asked to retry. The wait ends at missing_member_deadline_, so that a job
// that does exist does not count as forgotten.
bool RecoveryCoordinator::knows_all_jobs() const {
    const auto& marker = context_.complete_marker;
    if (!marker || Clock::now() >= missing_member_deadline_) return true;
    return std::all_of(marker->missing.begin(), marker->missing.end(), [&](const std::string& member) {
        if (member == context_.settings.member) return context_.replica.is_complete() && context_.late_records_added;
        const auto peer = context_.peers.find(member);
        return peer != context_.peers.end() && peer->second.generation == marker->generation &&
               peer->second.complete_up_to > 0;
    });
}

// --- handling of the marker ---

awaitable<void> RecoveryCoordinator::run() {
    snapshots_.load(context_.replica);
    for (;;) {
        auto known = context_.known_histories();
        auto read = co_await markers_.read();
        if (read.outcome != Outcome::ok) {
            co_await context_.wakeup.wait(retry_interval);
            continue;
        }
        context_.marker_read_at = Clock::now();
        context_.marker_recheck = false;
        co_await handle_marker(std::move(read.item), std::move(known));
    }
}

awaitable<void> RecoveryCoordinator::handle_marker(state::KeyValue item, std::vector<History> known) {
    const auto marker = state::parse_marker(item);
    const auto& previous = context_.complete_marker;
    // A suspicion is resolved once a rebuild is in progress or complete.
    if (marker && (!marker->is_complete() || (previous && marker->generation > previous->generation)))
        context_.clear_suspicion();
    if (!marker) {
        context_.guarded_store.close();
        if (item.mod_revision)
            co_await declare_loss(item.mod_revision, 0, "the generation marker is unreadable");
        else
            co_await handle_missing_marker(std::move(known));
    } else if (!marker->is_complete()) {
        co_await recover(*marker);
    } else if (context_.loss_suspected()) {
        co_await declare_loss(marker->mod_revision, marker->generation, *context_.suspicion.why);
    } else if (contradicts(*marker, known)) {
        co_await declare_loss(marker->mod_revision, marker->generation,
                              "the generation marker contradicts a known history");
    } else {
        co_await follow_complete_records(*marker);
    }
}

// A store that never had a marker gets one at the first start of the cluster, or when the first controller of a version
// that uses markers starts. A store that lost its marker looks the same. A controller therefore first waits for the
// status of every peer, which shows whether that peer knows a marker, but at most for marker_peer_wait.
bool RecoveryCoordinator::may_create_marker() const {
    if (Clock::now() - started_at_ > marker_peer_wait) return true;
    const auto& peers = context_.settings.peers;
    return std::all_of(peers.begin(), peers.end(),
                       [&](const auto& peer) { return context_.peers.contains(peer.member); });
}

awaitable<void> RecoveryCoordinator::handle_missing_marker(std::vector<History> known) {
    if (!known.empty() || context_.loss_suspected()) {
        auto why = context_.suspicion.why.value_or("the generation marker is missing");
        co_await declare_loss(0, 0, std::move(why));
        co_return;
    }
    if (!may_create_marker() || context_.newest_known_generation() > 0) {
        co_await context_.wakeup.wait(marker_wait_step);
        co_return;
    }
    const auto marker = markers_.make_marker(1);
    const auto mod_revision = co_await markers_.replace(marker);
    if (mod_revision)
        spdlog::info("event=generation_marker_created id={}", marker.id);
    else
        co_await context_.wakeup.wait(retry_interval);
}

// Replaces the marker, so that no controller relies on the records until one has rebuilt them.
awaitable<void> RecoveryCoordinator::declare_loss(std::uint64_t replaced_revision, std::uint64_t generation,
                                                  std::string why) {
    context_.guarded_store.close();
    context_.records_lost = true;
    auto marker = markers_.make_marker(std::max(context_.newest_known_generation(), generation) + 1);
    marker.phase = GenerationMarker::Phase::merging;
    marker.loss_exceeds_replica = context_.suspicion.beyond_replica;
    marker.keys_only = context_.loss_suspected() && context_.suspicion.records_only;
    marker.mod_revision = replaced_revision;
    const auto mod_revision = co_await markers_.replace(marker);
    if (!mod_revision) {
        co_await context_.wakeup.wait(retry_interval);
        co_return;
    }
    context_.clear_suspicion();
    spdlog::error(
        "event=data_loss_declared generation={} why=\"{}\" replaced_revision={} replica_records={} replica_revision={}",
        marker.generation, why, replaced_revision, context_.replica.size(), context_.replica.revision());
}

// --- while the records are complete ---

awaitable<void> RecoveryCoordinator::follow_complete_records(GenerationMarker marker) {
    const auto& previous = context_.complete_marker;
    if (!previous || previous->generation != marker.generation || previous->id != marker.id) {
        const bool begun = co_await begin_history(marker);
        if (!begun) {
            co_await context_.wakeup.wait(retry_interval);
            co_return;
        }
    }
    context_.complete_marker = marker;
    context_.records_lost = false;
    if (context_.loss_suspected()) co_return;
    if (!context_.replica_verified) {
        const bool verified = co_await follower_.load_and_verify();
        if (!verified) {
            if (!context_.loss_suspected()) co_await context_.wakeup.wait(retry_interval);
            co_return;
        }
    }
    context_.guarded_store.open(marker.mod_revision);
    co_await run_following_loop(std::move(marker));
}

awaitable<bool> RecoveryCoordinator::begin_history(GenerationMarker marker) {
    missing_member_deadline_ = Clock::now();
    if (!marker.missing.empty()) missing_member_deadline_ += missing_member_wait;
    // Deferred outcomes count as stored, so they must be known before any user is answered.
    RecordReplica next;
    next.begin(marker.generation, marker.id, 0);
    const bool read = co_await deferred_outcomes_.read(next);
    if (!read) co_return false;
    std::swap(next, context_.replica);
    if (next.size() && next.id() != marker.id) {
        context_.previous_replica = std::move(next);
        context_.late_records_added = false;
    }
    if (context_.complete_marker || context_.records_lost) {
        // The loss may have been repaired before this controller noticed it.
        const bool noticed = context_.loss_noticed_at != model::TimePoint{};
        spdlog::info("event=records_recovered generation={} seconds={:.1f}", marker.generation,
                     noticed ? model::Seconds(Clock::now() - context_.loss_noticed_at).count() : 0.0);
        context_.callbacks.records_rebuilt();
    }
    reset_history();
    co_return true;
}

void RecoveryCoordinator::reset_history() {
    follower_.restart();
    digest_.invalidate();
    context_.terms = {};
    rebuilder_.forget_reported_tasks();
    context_.missing_keys.clear();
    context_.loss_noticed_at = {};
}

bool RecoveryCoordinator::following_continues() const {
    return !context_.loss_suspected() && !context_.marker_recheck &&
           Clock::now() - context_.marker_read_at < marker_interval;
}

awaitable<void> RecoveryCoordinator::run_following_loop(GenerationMarker marker) {
    next_change_read_ = Clock::now();
    deferred_outcomes_.postpone();
    while (following_continues()) {
        if (context_.leadership.awaits_confirmation()) {
            const bool confirmed = co_await confirm_term(marker);
            if (!confirmed) co_return;
        }
        const bool read = co_await read_if_due();
        if (!read) break;
        const bool restored = co_await restore_missing(marker);
        if (!restored) break;
        co_await scrubber_.scrub_if_due();
        co_await run_leader_tasks(marker);
        if (context_.leadership.awaits_confirmation()) continue;
        co_await pause_following();
    }
}

awaitable<bool> RecoveryCoordinator::read_if_due() {
    if (Clock::now() < next_change_read_) co_return true;
    next_change_read_ = Clock::now() + change_interval;
    co_await follower_.read_changes();
    if (context_.loss_suspected()) co_return false;
    co_await follower_.read_next_page();
    snapshots_.write_if_due(context_.replica);
    co_return true;
}

awaitable<bool> RecoveryCoordinator::restore_missing(GenerationMarker marker) {
    if (late_records_.due()) {
        co_await late_records_.add();
        if (context_.loss_suspected()) co_return false;
    }
    late_records_.drop_previous_replica_if_due();
    if (scrubber_.recheck_due()) {
        co_await scrubber_.recheck_missing(std::move(marker));
        if (context_.loss_suspected()) co_return false;
    }
    co_return true;
}

awaitable<void> RecoveryCoordinator::run_leader_tasks(GenerationMarker marker) {
    const auto& leadership = context_.leadership;
    if (leadership.confirmed && !deferred_outcomes_.empty()) co_await deferred_outcomes_.restore_if_due();
    if (leadership.confirmed && deferred_outcomes_.empty()) co_await digest_.write_if_due();
    if (leadership.confirmed) co_await offers_.remove_if_due(std::move(marker));
}

awaitable<void> RecoveryCoordinator::pause_following() {
    auto pause = std::min(next_change_read_ - Clock::now(), Clock::duration(change_interval));
    if (!context_.missing_keys.empty())
        pause = std::min(pause, Clock::duration(scrubber_.next_recheck() - Clock::now()));
    if (pause > 0ms) co_await context_.wakeup.wait(pause);
}

// A term may rely on the records once the marker was read after the term was won: a later loss either removes the
// term's own record too, or shows as a decreased revision. False if the marker has to be read again.
awaitable<bool> RecoveryCoordinator::confirm_term(GenerationMarker marker) {
    const auto term = *context_.leadership.term;
    const auto checked =
        co_await consistency_check_.read_page(state::marker_key, std::string(), RequestPriority::leadership);
    const auto& read = checked.read;
    if (read.outcome != Outcome::ok) {
        co_await context_.wakeup.wait(confirmation_retry);
        co_return !context_.loss_suspected();
    }
    bool marker_unchanged = false, reconciliation_pending = false;
    for (const auto& item : read.items) {
        marker_unchanged =
            marker_unchanged || (item.key == state::marker_key && item.mod_revision == marker.mod_revision);
        reconciliation_pending = reconciliation_pending || item.key == reconciliation_pending_key;
    }
    if (!marker_unchanged) co_return false;
    context_.terms.reconciled = !reconciliation_pending;
    if (checked.rolled_back) {
        context_.suspect_revision_rollback(read.revision);
        co_return false;
    }
    auto& leadership = context_.leadership;
    if (!leadership.term || leadership.term->number != term.number || context_.loss_suspected()) co_return true;
    leadership.confirmed = true;
    context_.terms.last_led = term.number;
    context_.terms.add(term.number);
    context_.callbacks.begin_term(term, reconciliation_pending);
    co_return true;
}

// --- while the records are lost ---

void RecoveryCoordinator::note_loss(const GenerationMarker& marker) {
    if (!context_.records_lost || context_.loss_noticed_at == model::TimePoint{}) {
        context_.loss_noticed_at = Clock::now();
        spdlog::error("event=records_lost generation={} replica_records={} replica_revision={}", marker.generation,
                      context_.replica.size(), context_.replica.revision());
    }
    context_.records_lost = true;
}

// Only a term that was won after the loss was declared, or that has already claimed the rebuild, may rebuild. A term
// that has begun may have relied on the lost records and must end.
bool RecoveryCoordinator::may_rebuild(const GenerationMarker& marker) const {
    const auto& [term, confirmed] = context_.leadership;
    const bool claimed = marker.rebuilder == context_.settings.member && marker.term == term->number;
    return !confirmed && (claimed || term->mod_revision > marker.mod_revision);
}

awaitable<void> RecoveryCoordinator::recover(GenerationMarker marker) {
    context_.guarded_store.close();
    note_loss(marker);
    if (context_.leadership.term) {
        if (may_rebuild(marker)) {
            co_await rebuilder_.rebuild(std::move(marker));
            co_return;
        }
        context_.callbacks.restart_term("the state service lost data");
    } else if (marker.phase == GenerationMarker::Phase::merging && !marker.rebuilder.empty()) {
        co_await offers_.publish_once(std::move(marker));
    }
    co_await context_.wakeup.wait(standby_interval);
}

}  // namespace flintdale::recovery
