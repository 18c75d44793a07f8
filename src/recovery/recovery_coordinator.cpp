#include "recovery/recovery_coordinator.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "model/heartbeat.hpp"
#include "model/job.hpp"
#include "scheduler/job.hpp"
#include "wire/archive.hpp"

namespace flintdale::recovery {

using namespace std::chrono_literals;
using model::Clock;
using state::Outcome;
using state::RequestPriority;
using Look = RecoveryCoordinator::Callbacks::Look;

namespace {

// Nothing here may be as patient as leftovers are: whatever this loop waits for keeps a term that was just won from
// beginning. A scrubbing that waited for spare requests once kept a leader from its workers for 48 s.
using Verdict = ConsistencyCheck::Finding::Verdict;
constexpr std::size_t most_terms = 8;        // that are remembered to have been about
constexpr std::size_t most_suspects = 1000;  // keys that are to be looked at again; the rest will be missed again
constexpr std::size_t most_put_back = 16;    // single records; where more are gone nobody knows how much is
constexpr auto look_gap = 1000ms;            // between two looks at what changed
constexpr auto check_gap = 5s;               // between two looks at the marker while nothing points to a loss
constexpr auto try_again = 300ms;            // after a request that was refused or had no answer
constexpr auto stand_gap = 250ms;            // while somebody else rebuilds
constexpr auto first_wait = 6s;              // for the peers' word that they know of no marker either
constexpr auto peer_fresh = 3s;              // a peer that was heard so lately is waited for
constexpr auto offers_at_least = 3s;         // that all others are waited for, heard or not
constexpr auto offers_at_most = 20s;
constexpr auto shelve_gap = 30s;
constexpr std::size_t most_offers = 6;  // of one controller's lives, that are kept
constexpr auto owed_gap = 2s;
constexpr auto not_certain_for = 60s;  // that nobody is told a job never was, while a controller has not offered
constexpr auto scrub_gap = 5s;
constexpr auto former_kept = 60s;
constexpr auto digest_gap = 10s;
constexpr std::size_t max_shown = 20'000;
constexpr std::size_t first_page = 256;  // records; fewer where a value cannot hold them

bool is_outcome(const std::string& key) { return key.starts_with(scheduler::over_prefix); }
std::string uid_of(const std::string& outcome) {
    return outcome.substr(std::string_view(scheduler::over_prefix).size());
}

std::uint64_t number(const boost::json::object& o, std::string_view field) {
    const auto* v = o.if_contains(field);
    return v && v->is_number() ? v->to_number<std::uint64_t>() : 0;
}

// An outcome as it was written may hold the submission too, which nobody reads again: a memory holds only what counts.
// To write it again for that would have been most of the writes of a rebuilding after which nothing was missing.
bool same_outcome(const boost::json::value& a, const boost::json::value& b) {
    const auto* x = a.if_object();
    const auto* y = b.if_object();
    if (!x || !y) return false;
    try {
        const auto s = wire::size_from_record(*x), t = wire::size_from_record(*y);
        return x->at("state") == y->at("state") && s.kind == t.kind && s.tasks == t.tasks;
    } catch (const std::exception&) {
        return false;
    }
}

std::set<std::uint64_t> terms_in(const boost::json::object& offer) {
    std::set<std::uint64_t> out;
    // The version before told the highest only.
    if (const auto saw = number(offer, "saw")) out.insert(saw);
    if (const auto* seen = offer.if_contains("seen"); seen && seen->is_array())
        for (const auto& term : seen->get_array())
            if (term.is_number()) out.insert(term.to_number<std::uint64_t>());
    return out;
}

// What comes back first: cancellations, then work in the order of its rank, then the outcomes of what is done.
int order_of(const std::string& key, const boost::json::value& value) {
    const auto* o = value.if_object();
    if (is_outcome(key)) {
        const auto* state = o ? o->if_contains("state") : nullptr;
        return state && *state == boost::json::string(wire::job_state_name(model::JobState::cancelled)) ? 0 : 9;
    }
    const auto* spec = o ? o->if_contains("spec") : nullptr;
    if (!spec) return 5;
    try {
        return 4 - static_cast<int>(wire::spec_from_record(spec->as_object()).priority);
    } catch (const std::exception&) {
        return 5;
    }
}

}  // namespace

RecoveryCoordinator::RecoveryCoordinator(net::Executor ex, state::Store& raw, state::GuardedStore& guarded,
                                         const config::Settings& settings, const state::RecordFormat& record_format,
                                         SnapshotFile snapshot_file, Callbacks callbacks)
    : raw_(raw),
      guarded_(guarded),
      settings_(settings),
      record_format_(record_format),
      snapshot_file_(std::move(snapshot_file)),
      callbacks_(std::move(callbacks)),
      wake_(ex),
      began_(Clock::now()),
      consistency_check_(raw_, replica_, [this] { return newest_remembered(); }) {}

void RecoveryCoordinator::term_won(election::Term term) {
    term_ = term;
    begun_ = false;
    wake_.notify();
}

void RecoveryCoordinator::term_lost() {
    term_.reset();
    begun_ = false;
    wake_.notify();
}

void RecoveryCoordinator::suspect_loss(std::string why, Loss loss) {
    if (rebuilding_) return;
    beyond_memory_ = beyond_memory_ || loss == Loss::beyond_memory;
    records_only_ = records_only_ && loss == Loss::records;
    guarded_.close();
    if (!doubt_) {
        spdlog::error("event=data_loss_suspected why=\"{}\"", why);
        doubt_ = std::move(why);
    }
    wake_.notify();
}

void RecoveryCoordinator::term_seen(std::uint64_t term) {
    if (term) seen_.insert(term);
    if (seen_.size() > most_terms) seen_.erase(seen_.begin());
}

void RecoveryCoordinator::clear_suspicion() {
    doubt_.reset();
    beyond_memory_ = false;
    records_only_ = true;
}

void RecoveryCoordinator::record_missing(const std::string& key) {
    if (rebuilding_ || suspects_.size() >= most_suspects) return;
    if (suspects_.insert(key).second) spdlog::info("event=record_missing key={}", key);
    wake_.notify();
}

void RecoveryCoordinator::peer_status_received(const std::string& member, PeerRecordsStatus word) {
    word.heard = Clock::now();
    if (word.rebuilding > (known_ ? known_->generation : 0) && !rebuilding_) {
        recheck_ = true;
        wake_.notify();
    }
    peers_[member] = std::move(word);
}

RecoveryCoordinator::PeerRecordsStatus RecoveryCoordinator::own_status() const {
    PeerRecordsStatus w;
    w.generation = replica_.generation();
    w.id = replica_.id();
    // Zero while it knows of records that nobody else may know: see certain().
    w.remembers = late_added_ ? replica_.revision() : 0;
    w.rebuilding = rebuilding_ ? newest_generation() : 0;
    return w;
}

void RecoveryCoordinator::tasks_reported(const model::Heartbeat& report) {
    if (shown_.size() > max_shown) return;
    for (const auto& t : report.tasks) shown_.insert(t.id.uid);
}

// --- the marker ---

awaitable<void> RecoveryCoordinator::run() {
    if (const auto kept = snapshot_file_.newest()) {
        replica_.load_snapshot(*kept);
        spdlog::info("event=snapshot_loaded records={} generation={} revision={}", kept->records.size(),
                     kept->generation, kept->revision);
    }
    for (;;) {
        const auto known = histories();
        const auto got = co_await raw_.get(state::marker_key, RequestPriority::leadership);
        if (got.outcome != Outcome::ok) {
            co_await wake_.wait(try_again);
            continue;
        }
        checked_at_ = Clock::now();
        recheck_ = false;
        const auto marker = state::parse_marker(got.item);
        // What was doubted is settled once somebody rebuilds, or has.
        if (marker && (!marker->whole() || (known_ && marker->generation > known_->generation))) clear_suspicion();
        if (!marker) {
            guarded_.close();
            if (got.item.mod_revision)
                co_await declare_loss(got.item.mod_revision, 0, "the marker is damaged");
            else
                co_await without_marker(known);
        } else if (!marker->whole()) {
            co_await stand_by(*marker);
        } else if (doubt_) {
            co_await declare_loss(marker->mod_revision, marker->generation, *doubt_);
        } else if (outdated(*marker, known)) {
            co_await declare_loss(marker->mod_revision, marker->generation,
                                  "another history than this was known before");
        } else {
            co_await follow_whole_records(*marker);
        }
    }
}

// The histories that anybody is known to have seen.
std::vector<RecoveryCoordinator::History> RecoveryCoordinator::histories() const {
    std::vector<History> out;
    if (known_) out.push_back({known_->generation, known_->id});
    if (replica_.generation()) out.push_back({replica_.generation(), replica_.id()});
    for (const auto& [member, word] : peers_)
        if (word.generation) out.push_back({word.generation, word.id});
    return out;
}

std::uint64_t RecoveryCoordinator::newest_generation() const {
    std::uint64_t newest = former_ ? former_->generation() : 0;
    for (const auto& h : histories()) newest = std::max(newest, h.generation);
    return newest;
}

// Whether a history was known, when this marker was asked for, that it cannot be of. What became known while its
// answer was on the way says nothing: the marker may have been made, or replaced, meanwhile. And whatever is concluded
// is written on the condition that the marker still stands.
bool RecoveryCoordinator::outdated(const GenerationMarker& w, const std::vector<History>& known) {
    return std::any_of(known.begin(), known.end(), [&](const History& h) {
        return h.generation > w.generation || (h.generation == w.generation && !h.id.empty() && h.id != w.id);
    });
}

// On a service that never had a marker one may be made: at the first start of all, or when the first controller of a
// version comes that knows of it. A service that lost its marker looks the same, so nobody makes one before the others
// have said that they know of none either, or long enough have said nothing.
bool RecoveryCoordinator::may_create() const {
    if (Clock::now() - began_ > first_wait) return true;
    return std::all_of(settings_.peers.begin(), settings_.peers.end(),
                       [&](const auto& peer) { return peers_.contains(peer.member); });
}

awaitable<void> RecoveryCoordinator::without_marker(const std::vector<History>& known) {
    if (!known.empty() || doubt_) {
        co_await declare_loss(0, 0, doubt_.value_or("the marker is gone"));
        co_return;
    }
    if (!may_create() || newest_generation() > 0) {
        co_await wake_.wait(50ms);
        co_return;
    }
    GenerationMarker w;
    w.generation = 1;
    w.id = settings_.member + "-" + std::to_string(callbacks_.time_of_day_ms());
    const auto mod_revision = co_await put(w);
    if (mod_revision)
        spdlog::info("event=generation_marker_created id={}", w.id);
    else
        co_await wake_.wait(try_again);
}

// Puts the marker in place of the one with its stamp. The new stamp, or 0: then it has to be read again.
awaitable<std::uint64_t> RecoveryCoordinator::put(const GenerationMarker& w) {
    std::vector<state::Change> nothing;
    co_return co_await put_with(w, std::move(nothing));
}

awaitable<std::uint64_t> RecoveryCoordinator::put_with(const GenerationMarker& w, std::vector<state::Change> with) {
    state::Txn txn;
    if (w.term)
        txn.conditions = leading_conditions(w);
    else
        txn.conditions.push_back({state::marker_key, w.mod_revision});
    txn.changes = std::move(with);
    txn.changes.push_back({state::marker_key, state::marker_record(w), 0});
    const auto r = co_await raw_.commit(std::move(txn), RequestPriority::leadership);
    co_return r.outcome == Outcome::ok ? r.revision : 0;
}

std::vector<state::Condition> RecoveryCoordinator::leading_conditions(const GenerationMarker& w) const {
    std::vector<state::Condition> out;
    out.push_back({state::marker_key, w.mod_revision});
    // Without a term of its own nobody rebuilds; the condition that cannot hold says so.
    out.push_back({election::term_key, term_ ? term_->mod_revision : 0});
    return out;
}

// From now on nobody relies on the records, on this controller or any other, until one has rebuilt them.
awaitable<void> RecoveryCoordinator::declare_loss(std::uint64_t over, std::uint64_t generation, std::string why) {
    guarded_.close();
    rebuilding_ = true;
    GenerationMarker w;
    w.generation = std::max(newest_generation(), generation) + 1;
    w.id = settings_.member + "-" + std::to_string(callbacks_.time_of_day_ms());
    w.phase = GenerationMarker::Phase::merging;
    w.loss_exceeds_replica = beyond_memory_;
    w.keys_only = doubt_ && records_only_;
    w.mod_revision = over;
    const auto mod_revision = co_await put(w);
    if (mod_revision) clear_suspicion();
    if (mod_revision)
        spdlog::error("event=data_loss_declared generation={} why=\"{}\" over={} remembers={} revision={}",
                      w.generation, why, over, replica_.size(), replica_.revision());
    else
        co_await wake_.wait(try_again);
}

// --- while the records are whole ---

awaitable<void> RecoveryCoordinator::follow_whole_records(GenerationMarker w) {
    const bool news = !known_ || known_->generation != w.generation || known_->id != w.id;
    if (news) {
        certain_at_ = Clock::now();
        if (!w.missing.empty()) certain_at_ += not_certain_for;
        // What is owed counts as on record, so it must be known before anybody is answered.
        RecordReplica next;
        next.begin(w.generation, w.id, 0);
        const bool read = co_await read_deferred_outcomes(next);
        if (!read) {
            co_await wake_.wait(try_again);
            co_return;
        }
        std::swap(next, replica_);
        if (next.size() && next.id() != w.id) {
            former_ = std::move(next);
            late_added_ = false;
        }
        if (known_ || rebuilding_) {
            // It may not have noticed while they were not.
            const bool noticed = rebuild_began_ != model::TimePoint{};
            spdlog::info("event=records_recovered generation={} seconds={:.1f}", w.generation,
                         noticed ? model::Seconds(Clock::now() - rebuild_began_).count() : 0.0);
            callbacks_.rebuilt();
        }
        following_ = false;
        fill_at_.reset();
        digested_ = 0;
        settled_ = false;
        led_ = 0;
        seen_.clear();
        shown_.clear();
        suspects_.clear();
        rebuild_began_ = {};
    }
    known_ = w;
    rebuilding_ = false;
    if (doubt_) co_return;
    if (!verified_) {
        if (!following_) co_await read_changes();
        if (following_) co_await read_next_page();
        const bool sound = replica_.whole() && co_await verify();
        if (!sound) {
            if (!doubt_) co_await wake_.wait(try_again);
            co_return;
        }
    }
    guarded_.open(w.mod_revision);
    auto next_look = Clock::now();
    auto next_owed = next_look + owed_gap;
    while (!doubt_ && !recheck_ && Clock::now() - checked_at_ < check_gap) {
        if (term_ && !begun_) {
            const bool confirmed = co_await confirm(w);
            if (!confirmed) co_return;
        }
        if (Clock::now() >= next_look) {
            next_look = Clock::now() + look_gap;
            co_await read_changes();
            if (doubt_) break;
            co_await read_next_page();
            if (snapshot_file_.in_use()) write_snapshot();
        }
        if (former_ && !late_added_ && replica_.whole() && Clock::now() >= next_late_) {
            next_late_ = Clock::now() + try_again;
            const bool added = co_await add_late_records();
            late_added_ = added;
            if (late_added_) former_until_ = Clock::now() + former_kept;
            if (doubt_) break;
        }
        // If data are lost again just after a rebuilding, this is still the best there is.
        if (former_ && late_added_ && Clock::now() >= former_until_) former_.reset();
        if (!suspects_.empty() && Clock::now() >= next_look_again_) {
            next_look_again_ = Clock::now() + try_again;
            co_await check_missing_records(w);
            if (doubt_) break;
        }
        if (!term_ && replica_.whole() && Clock::now() >= next_scrub_) {
            next_scrub_ = Clock::now() + scrub_gap;
            co_await scrub();
        }
        if (begun_ && !owed_.empty() && Clock::now() >= next_owed) {
            next_owed = Clock::now() + owed_gap;
            co_await restore_deferred_outcomes();
        }
        if (begun_ && owed_.empty() && Clock::now() >= next_digest_) {
            next_digest_ = Clock::now() + digest_gap;
            co_await write_digest();
        }
        if (begun_ && std::exchange(clear_offers_, false)) co_await remove_all(offers_prefix, leading_conditions(w));
        if (term_ && !begun_) continue;
        auto rest = std::min(next_look - Clock::now(), Clock::duration(look_gap));
        if (!suspects_.empty()) rest = std::min(rest, Clock::duration(next_look_again_ - Clock::now()));
        if (rest > 0ms) co_await wake_.wait(rest);
    }
}

// A term may go by the records once the marker was seen after it was won: whatever is lost later takes the term's own
// stamp with it, or shows in a revision that went back.
awaitable<bool> RecoveryCoordinator::confirm(const GenerationMarker& w) {
    const auto term = *term_;
    const auto asked =
        co_await consistency_check_.read_page(state::marker_key, std::string(), RequestPriority::leadership);
    const auto& got = asked.read;
    if (got.outcome != Outcome::ok) {
        co_await wake_.wait(100ms);
        co_return !doubt_;
    }
    bool same = false, unsettled = false;
    for (const auto& item : got.items) {
        same = same || (item.key == state::marker_key && item.mod_revision == w.mod_revision);
        unsettled = unsettled || item.key == unsettled_key;
    }
    if (!same) co_return false;
    settled_ = !unsettled;
    if (asked.went_back) {
        suspect_loss("its revisions went back to " + std::to_string(got.revision));
        co_return false;
    }
    if (!term_ || term_->number != term.number || doubt_) co_return true;
    begun_ = true;
    led_ = term.number;
    term_seen(led_);
    callbacks_.begin(term, unsettled);
    co_return true;
}

// The highest revision of this history that anybody has told of.
std::uint64_t RecoveryCoordinator::newest_remembered() const {
    auto newest = replica_.revision();
    for (const auto& [member, word] : peers_)
        if (word.generation == replica_.generation() && word.id == replica_.id())
            newest = std::max(newest, word.remembers);
    return newest;
}

// Follows the records: for the memory, and for whoever must know of cancellations.
awaitable<void> RecoveryCoordinator::read_changes() {
    const auto began = Clock::now();
    if (!following_) {
        // No key comes after this one: the answer only tells where the service stands.
        const auto here = co_await raw_.range(scheduler::jobs_prefix, std::string(scheduler::jobs_prefix) + "~",
                                              RequestPriority::bookkeeping);
        if (here.outcome != Outcome::ok) co_return;
        if (here.revision < known_->mod_revision) {
            suspect_loss("its revisions went back: the marker is of " + std::to_string(known_->mod_revision) +
                         ", it stands at " + std::to_string(here.revision));
            co_return;
        }
        const auto so_far = replica_.source("so far");
        replica_.begin(known_->generation, known_->id, here.revision);
        // What is owed, and what this controller has written meanwhile.
        for (const auto& [key, record] : so_far.records)
            replica_.apply_own_write({key, boost::json::parse(record.text), 0}, record.mod_revision);
        following_ = true;
        fill_at_ = std::string();
        callbacks_.outcomes({}, began, Look::after_a_gap);
        co_return;
    }
    auto asked = co_await consistency_check_.read_changes(scheduler::jobs_prefix);
    auto& seen = asked.seen;
    if (seen.outcome == Outcome::too_old) {
        following_ = false;
        co_return;
    }
    if (seen.outcome != Outcome::ok) co_return;
    if (asked.went_back) {
        suspect_loss("its revisions went back to " + std::to_string(seen.revision));
        co_return;
    }
    for (const auto& e : seen.events)
        if (is_outcome(e.key) && replica_.outcome_of(uid_of(e.key)))
            digested_ = 0;  // one that was put back has a new stamp
    for (const auto& key : replica_.apply_changes(seen)) {
        spdlog::error("event=unexpected_record_removal key={}", key);
        record_missing(key);
    }
    // Any of them may have placed something by these records, but for those that rebuilt them.
    term_seen(callbacks_.seen_term());
    std::vector<KeyValue> outcomes;
    for (std::size_t i = 0; i < seen.events.size(); ++i)
        if (!seen.deleted[i] && is_outcome(seen.events[i].key)) outcomes.push_back(std::move(seen.events[i]));
    callbacks_.outcomes(outcomes, began, Look::changes);
}

// What was on record before. A controller that has just begun reads all of it before it answers anybody: only then can
// it tell whether what there is is what there was. One that knew the former records reads a page each time.
awaitable<void> RecoveryCoordinator::read_next_page() {
    while (fill_at_) {
        const auto asked =
            co_await consistency_check_.read_page(scheduler::jobs_prefix, *fill_at_, RequestPriority::bookkeeping);
        const auto& page = asked.read;
        if (page.outcome != Outcome::ok || !fill_at_) co_return;
        if (asked.went_back) {
            // To take this for all there is would be to forget what was lost.
            suspect_loss("its revisions went back to " + std::to_string(page.revision));
            co_return;
        }
        replica_.add_page(page.items);
        if (page.more && !page.items.empty()) {
            fill_at_ = page.items.back().key;
            if (verified_) co_return;
            continue;
        }
        fill_at_.reset();
        replica_.pages_complete();
        spdlog::info("event=replica_loaded records={} generation={} revision={}", replica_.size(),
                     replica_.generation(), replica_.revision());
    }
}

// Outcomes are never removed, so as many as there were at some revision there must always be.
awaitable<bool> RecoveryCoordinator::verify() {
    if (verified_) co_return true;
    const auto got = co_await raw_.get(digest_key, RequestPriority::leadership);
    if (got.outcome != Outcome::ok) co_return false;
    const auto* o = got.item.mod_revision ? got.item.value.if_object() : nullptr;
    if (o && number(*o, "generation") == known_->generation) {
        // It may tell of what ended while the pages were being read: until all changes up to it are known it says
        // nothing.
        if (replica_.revision() < number(*o, "revision")) co_await read_changes();
        if (doubt_ || !following_ || replica_.revision() < number(*o, "revision")) co_return false;
        const auto now = replica_.digest(number(*o, "revision"));
        if (now != RecordReplica::Digest{number(*o, "outcomes"), number(*o, "sum")} ||
            replica_.jobs() < number(*o, "jobs")) {
            suspect_loss(std::to_string(number(*o, "outcomes")) + " outcomes of " + std::to_string(number(*o, "jobs")) +
                             " jobs were on record at " + std::to_string(number(*o, "revision")) + ", and " +
                             std::to_string(now.outcomes) + " of " + std::to_string(replica_.jobs()) + " are at " +
                             std::to_string(replica_.revision()),
                         Loss::beyond_memory);
            co_return false;
        }
    }
    verified_ = true;
    co_return true;
}

// Written now and then by the leader, when nobody else has anything to write.
awaitable<void> RecoveryCoordinator::write_digest() {
    const auto revision = replica_.revision();
    const auto digest = replica_.digest(revision);
    const auto jobs = replica_.jobs_at(revision);
    if (!replica_.whole() || digest.outcomes + jobs == digested_) co_return;
    state::Txn txn;
    txn.conditions = leading_conditions(*known_);
    boost::json::object value{{"generation", known_->generation},
                              {"revision", revision},
                              {"outcomes", digest.outcomes},
                              {"sum", digest.sum},
                              {"jobs", jobs}};
    txn.changes.push_back({digest_key, std::move(value), 0});
    const auto r = co_await raw_.commit(std::move(txn), RequestPriority::bookkeeping);
    if (r.outcome == Outcome::ok) digested_ = digest.outcomes + jobs;
    spdlog::debug("event=outcome_digest_written outcomes={} revision={} outcome={}", digest.outcomes, revision,
                  static_cast<int>(r.outcome));
}

// This controller may have been out of reach while another rebuilt. What it alone had accepted or cancelled is put on
// record now; nobody else can have answered otherwise, for nobody else knew of it. False if some of it was refused, or
// had no answer: it has to be tried again, and until then nobody here or elsewhere is certain that a job never was.
awaitable<bool> RecoveryCoordinator::add_late_records() {
    const auto former = former_->source("former");
    std::size_t added = 0, lost = 0;
    bool all = true;
    for (const auto& [key, record] : former.records) {
        const auto work = scheduler::parse_work_key(key);
        const auto uid = work ? work->uid : key.substr(std::string_view(scheduler::over_prefix).size());
        const auto present = replica_.outcome_of(uid);
        const bool cancelled = is_outcome(key) && present && present->state == model::JobState::open;
        if (present && !cancelled) continue;
        auto value = boost::json::parse(record.text);
        if (work) {
            // A job that was placed since is on machines that only its last leader knew of.
            const auto* tasks = value.as_object().if_contains("tasks");
            if (!work->first() || !tasks || !tasks->as_array().empty() || value.as_object().contains("cut")) {
                lost += work->first();
                continue;
            }
        }
        state::Txn txn;
        txn.conditions.push_back({scheduler::outcome_key(uid), 0});
        if (!cancelled) txn.conditions.push_back({scheduler::work_key(uid, 0), 0});
        txn.changes.push_back({key, std::move(value), 0});
        const auto r = co_await guarded_.commit(std::move(txn), RequestPriority::user);
        added += r.outcome == Outcome::ok;
        // After a conflict another's stands there, or a late write of this one.
        all = all && (r.outcome == Outcome::ok || r.outcome == Outcome::conflict || r.outcome == Outcome::too_large);
        if (doubt_) co_return false;
    }
    if (added || lost) spdlog::info("event=late_records_restored added={} lost={} all={}", added, lost, all);
    co_return all;
}

awaitable<bool> RecoveryCoordinator::read_deferred_outcomes(RecordReplica& replica) {
    owed_.clear();
    const auto items = co_await read_all(owed_prefix);
    if (!items) co_return false;
    for (const auto& item : *items) try {
            auto& uids = owed_[item.key];
            for (const auto& r : wire::decode_archive_text(std::string_view(item.value.as_string()))) {
                replica.apply_own_write({r.key, boost::json::parse(r.text), 0}, deferred_mod_revision);
                uids.push_back(r.key.substr(std::string_view(scheduler::over_prefix).size()));
            }
        } catch (const std::exception& e) {
            spdlog::error("event=record_unreadable key={} why=\"{}\"", item.key, e.what());
        }
    co_return true;
}

// Outcomes go back to their places when nobody else has anything to write, and then their page may go.
awaitable<void> RecoveryCoordinator::restore_deferred_outcomes() {
    auto page = owed_.begin();
    const auto marker = *known_;
    auto& uids = page->second;
    while (!uids.empty() && !doubt_ && term_ && begun_) {
        state::Txn txn;
        const auto most = std::min(raw_.write_portion(), record_format_.limits().txn_ops);
        std::size_t taken = 0;
        for (; taken < uids.size() && txn.changes.size() < most; ++taken) {
            const auto key = scheduler::outcome_key(uids[uids.size() - 1 - taken]);
            const auto record = replica_.record(key);
            if (!record || record->mod_revision > deferred_mod_revision) continue;  // it has its place already
            txn.conditions.push_back({key, 0});
            txn.changes.push_back({key, boost::json::parse(record->text), 0});
        }
        if (!txn.changes.empty()) {
            for (const auto& c : leading_conditions(marker))
                if (c.key == election::term_key) txn.conditions.push_back(c);
            const auto r = co_await guarded_.commit(std::move(txn), RequestPriority::bookkeeping);
            if (r.outcome == Outcome::conflict) {
                recheck_ = true;  // somebody else's are there: they are told by the next look
                co_return;
            }
            if (r.outcome != Outcome::ok) co_return;
        }
        uids.resize(uids.size() - taken);
        if (Clock::now() - checked_at_ > look_gap) break;
    }
    if (!uids.empty() || !term_ || !begun_ || doubt_) co_return;
    state::Txn txn;
    txn.conditions = leading_conditions(marker);
    txn.changes.push_back({page->first, std::nullopt, 0});
    const auto r = co_await raw_.commit(std::move(txn), RequestPriority::bookkeeping);
    if (r.outcome == Outcome::ok) owed_.erase(owed_.begin());
    if (owed_.empty()) spdlog::info("event=deferred_outcomes_restored generation={}", marker.generation);
}

// Whether what is neither on record nor remembered never was. Somebody who was not heard when the records were rebuilt
// may know better, and adds it when he is back; users who ask meanwhile are asked to come again, but not for so long
// that a job which does exist counts as forgotten.
bool RecoveryCoordinator::knows_all_jobs() const {
    if (!known_ || Clock::now() >= certain_at_) return true;
    return std::all_of(known_->missing.begin(), known_->missing.end(), [&](const std::string& member) {
        if (member == settings_.member) return replica_.whole() && late_added_;
        const auto it = peers_.find(member);
        return it != peers_.end() && it->second.generation == known_->generation && it->second.remembers > 0;
    });
}

// Data can go without any sign. Whoever does not lead reads the records again, a page now and then, and holds them
// against what it remembers.
awaitable<void> RecoveryCoordinator::scrub() {
    const auto asked =
        co_await consistency_check_.read_page(scheduler::jobs_prefix, scrub_at_, RequestPriority::bookkeeping);
    const auto& page = asked.read;
    if (page.outcome != Outcome::ok || doubt_ || !replica_.whole()) co_return;
    if (asked.went_back) {
        suspect_loss("its revisions went back to " + std::to_string(page.revision));
        co_return;
    }
    scrub_at_ = page.more && !page.items.empty() ? page.items.back().key : std::string();
    // Most of it was removed, or its job ended, since the mark: each is looked at again before anybody is told.
    suspects_.insert(asked.missing.begin(), asked.missing.end());
}

// What looked missing, once more, and judged by a memory that was told of everything up to that second look. If single
// records are gone that are remembered here, they are put back. Nothing is closed for it, and no term ends: as long as
// they are gone, GuardedStore passes on no answer that rests on their absence. If more is gone, nobody knows how much.
awaitable<void> RecoveryCoordinator::check_missing_records(const GenerationMarker& w) {
    if (!replica_.whole() || !following_) co_return;
    std::vector<ConsistencyCheck::Finding> gone;
    bool swept = false;
    for (;;) {
        std::set<std::string> later;
        while (!suspects_.empty() && gone.size() <= most_put_back) {
            auto key = suspects_.extract(suspects_.begin()).value();
            auto finding = co_await consistency_check_.recheck(std::move(key), RequestPriority::user);
            if (doubt_ || !replica_.whole()) co_return;
            if (finding.verdict == Verdict::unclear) later.insert(finding.key);
            if (finding.verdict == Verdict::gone) gone.push_back(std::move(finding));
        }
        suspects_.merge(later);
        if (gone.empty()) co_return;
        if (swept || gone.size() > most_put_back) break;
        // Where one is gone others may be.
        swept = co_await check_next_page();
        if (!swept || doubt_) co_return;
    }
    const auto upto = std::max_element(gone.begin(), gone.end(), [](const auto& a, const auto& b) {
                          return a.revision < b.revision;
                      })->revision;
    if (replica_.revision() < upto) co_await read_changes();
    if (doubt_ || !replica_.whole() || replica_.revision() < upto) {
        for (auto& finding : gone) suspects_.insert(std::move(finding.key));
        co_return;
    }
    std::erase_if(gone, [&](const ConsistencyCheck::Finding& f) {
        const auto now = replica_.expected(f.key);
        return now == 0 || now > f.revision || (now <= f.there && !f.damaged);
    });
    for (const auto& f : gone)
        spdlog::error("event=record_lost key={} remembers={} there={} revision={} followed={}", f.key,
                      replica_.expected(f.key), f.there, f.revision, replica_.revision());
    if (gone.size() > most_put_back)
        suspect_loss(
            std::to_string(gone.size()) + " records are gone that are remembered, the first of them " + gone[0].key,
            Loss::records);
    else if (!gone.empty())
        co_await restore_few(w, std::move(gone));
}

// All pages at once. False if that was not possible now.
awaitable<bool> RecoveryCoordinator::check_next_page() {
    std::string at;
    for (;;) {
        const auto asked = co_await consistency_check_.read_page(scheduler::jobs_prefix, at, RequestPriority::user);
        if (doubt_ || !replica_.whole() || asked.read.outcome != Outcome::ok) co_return false;
        suspects_.insert(asked.missing.begin(), asked.missing.end());
        if (!asked.read.more || asked.read.items.empty()) co_return true;
        at = asked.read.items.back().key;
    }
}

// By conditioned writes: on this history, on what was found there, and on no outcome that somebody wrote meanwhile.
// What is written is the newest that ever was on record, since the memory was told of everything up to the finding, and
// from then on whoever wrote it conditioned on the stamp that was lost has failed.
awaitable<void> RecoveryCoordinator::restore_few(const GenerationMarker& w,
                                                 std::vector<ConsistencyCheck::Finding> gone) {
    for (auto& f : gone) {
        const auto record = replica_.record(f.key);
        if (!record) continue;
        state::Txn txn;
        txn.conditions.push_back({state::marker_key, w.mod_revision});
        txn.conditions.push_back({f.key, f.there});
        if (const auto work = scheduler::parse_work_key(f.key))
            txn.conditions.push_back({scheduler::outcome_key(work->uid), 0});
        txn.changes.push_back({f.key, boost::json::parse(record->text), 0});
        // The digest counts outcomes by stamps; the leader writes another when it sees that one came back.
        if (is_outcome(f.key)) txn.changes.push_back({digest_key, std::nullopt, 0});
        auto change = txn.changes[0];
        const auto r = co_await raw_.commit(std::move(txn), RequestPriority::user);
        if (doubt_) co_return;
        if (r.outcome == Outcome::ok) {
            replica_.apply_own_write(change, r.revision);
            digested_ = 0;
            spdlog::error("event=record_restored key={} revision={}", f.key, r.revision);
        } else {
            suspects_.insert(std::move(f.key));  // somebody else's may be there, or this write, or it was refused
        }
    }
}

void RecoveryCoordinator::write_snapshot() {
    const auto now = Clock::now();
    if (!replica_.whole() || now - shelved_at_ < shelve_gap) return;
    shelved_at_ = now;
    snapshot_file_.put(replica_.source("memory"));
}

// --- while they are not ---

awaitable<void> RecoveryCoordinator::stand_by(GenerationMarker w) {
    guarded_.close();
    if (!rebuilding_ || rebuild_began_ == model::TimePoint{}) {
        rebuild_began_ = Clock::now();
        spdlog::error("event=records_lost generation={} remembers={} revision={}", w.generation, replica_.size(),
                      replica_.revision());
    }
    rebuilding_ = true;
    if (term_) {
        const bool its_own = w.rebuilder == settings_.member && w.term == term_->number;
        if (!begun_ && (its_own || term_->mod_revision > w.mod_revision)) {
            co_await rebuild_records(w);
            co_return;
        }
        callbacks_.new_term("the state service lost data");
    } else if (w.phase == GenerationMarker::Phase::merging && !w.rebuilder.empty() &&
               offered_to_ != w.id + std::to_string(w.mod_revision)) {
        const bool offered = co_await offer_replica(w);
        if (offered) offered_to_ = w.id + std::to_string(w.mod_revision);
    }
    co_await wake_.wait(stand_gap);
}

std::vector<ReplicaContents> RecoveryCoordinator::own_sources(const std::string& of, std::uint64_t remembers) const {
    std::vector<ReplicaContents> out;
    for (const auto* replica : {&replica_, former_ ? &*former_ : nullptr}) {
        if (!replica || !replica->generation()) continue;
        const bool partly = !of.empty() && replica->id() == of;
        out.push_back(replica->source(settings_.member, partly ? remembers : 0));
    }
    return out;
}

// Pages of text that a value can hold, as keys and values.
std::vector<std::pair<std::string, std::string>> RecoveryCoordinator::pages(const std::string& prefix,
                                                                            const ReplicaContents& source) const {
    std::vector<wire::ArchivedRecord> records;
    for (const auto& [key, record] : source.records) records.push_back({key, record.mod_revision, record.text});
    std::vector<std::pair<std::string, std::string>> out;
    std::size_t per_page = first_page;
    for (std::size_t at = 0; at < records.size();) {
        auto count = std::min(per_page, records.size() - at);
        auto text = wire::encode_archive_text({records.data() + at, count});
        while (count > 1 && !record_format_.fits(boost::json::string(text))) {
            count = per_page = (count + 1) / 2;
            text = wire::encode_archive_text({records.data() + at, count});
        }
        at += count;
        out.emplace_back(prefix + std::to_string(out.size()), std::move(text));
    }
    return out;
}

// What this controller remembers and the rebuilder may not, page by page, and then a key that says so. The rebuilder
// puts down all of its own before it waits for others: if all end meanwhile, the next one finds it.
awaitable<bool> RecoveryCoordinator::offer_replica(const GenerationMarker& w) {
    const std::string mine = offers_prefix + settings_.member;
    // What a former life of this controller put down is all that is left of what that remembered.
    const auto before = co_await raw_.get(mine, RequestPriority::user);
    if (before.outcome != Outcome::ok) co_return false;
    boost::json::array sources;
    auto led = led_;
    auto seen = seen_;
    if (const auto* header = before.item.mod_revision ? before.item.value.if_object() : nullptr) {
        if (const auto* list = header->if_contains("sources"); list && list->is_array()) sources = list->get_array();
        if (!led) led = number(*header, "led");
        seen.merge(terms_in(*header));
    }
    if (sources.size() > most_offers) sources.resize(most_offers);
    const bool its_own = w.rebuilder == settings_.member;
    for (const auto& source : own_sources(its_own ? std::string() : w.base_history, w.base_revision)) {
        if (source.records.empty() && !source.whole) continue;
        // Pages of a former life may still be on their way, and must not take the place of these.
        const auto prefix =
            mine + "/" + std::to_string(callbacks_.incarnation) + "." + std::to_string(sources.size()) + ".";
        const auto all = pages(prefix, source);
        for (const auto& [key, text] : all) {
            state::Txn txn;
            txn.conditions.push_back({state::marker_key, w.mod_revision});
            txn.changes.push_back({key, boost::json::string(text), 0});
            const auto r = co_await raw_.commit(std::move(txn), RequestPriority::user);
            if (r.outcome != Outcome::ok) co_return false;
        }
        boost::json::object entry{
            {"generation", source.generation}, {"id", source.id},     {"revision", source.revision},
            {"whole", source.whole},           {"pages", all.size()}, {"at", prefix}};
        sources.push_back(std::move(entry));
        spdlog::info("event=replica_offered records={} pages={} revision={}", source.records.size(), all.size(),
                     source.revision);
    }
    state::Txn txn;
    txn.conditions.push_back({state::marker_key, w.mod_revision});
    txn.conditions.push_back({mine, before.item.mod_revision});  // nor must a former life's list, or an earlier one
    boost::json::object header{{"for", w.mod_revision},
                               {"led", led},
                               {"seen", boost::json::array(seen.begin(), seen.end())},
                               {"unsettled", unsettled()},
                               {"sources", std::move(sources)}};
    txn.changes.push_back({mine, std::move(header), 0});
    const auto r = co_await raw_.commit(std::move(txn), RequestPriority::user);
    co_return r.outcome == Outcome::ok;
}

ReplicaContents RecoveryCoordinator::offered(const std::string& member, std::size_t k, const boost::json::value& entry,
                                             const std::map<std::string, const KeyValue*>& by_key) const {
    ReplicaContents s;
    s.from = member;
    const auto* o = entry.if_object();
    if (!o) return s;
    s.generation = number(*o, "generation");
    s.revision = number(*o, "revision");
    if (const auto* id = o->if_contains("id"); id && id->is_string()) s.id = std::string(id->get_string());
    if (const auto* whole = o->if_contains("whole")) s.whole = whole->is_bool() && whole->get_bool();
    auto prefix = offers_prefix + member + "/" + std::to_string(k) + ".";  // from the version before
    if (const auto* at = o->if_contains("at"); at && at->is_string()) prefix = std::string(at->get_string());
    for (std::uint64_t n = 0; n < number(*o, "pages"); ++n) {
        const auto page = by_key.find(prefix + std::to_string(n));
        try {
            if (page == by_key.end()) throw wire::DecodeError("missing");
            for (auto& r : wire::decode_archive_text(std::string_view(page->second->value.as_string())))
                s.records.emplace(std::move(r.key), Record{r.mod_revision, std::move(r.text)});
        } catch (const std::exception& e) {
            spdlog::error("event=replica_offer_unreadable member={} page={} why=\"{}\"", member, n, e.what());
            s.whole = false;
        }
    }
    return s;
}

// The offers that were made for this marker; nothing while one is still to be waited for.
std::optional<RecoveryCoordinator::Gathered> RecoveryCoordinator::read_offers(const GenerationMarker& w,
                                                                              const std::vector<KeyValue>& items,
                                                                              bool last_call) const {
    Gathered out;
    out.sources = own_sources({}, 0);
    std::map<std::string, const KeyValue*> by_key;
    for (const auto& item : items) by_key[item.key] = &item;
    auto seen = seen_;
    bool still_unsettled = unsettled();
    std::set<std::uint64_t> led{led_};
    std::vector<std::string> members{settings_.member};
    for (const auto& peer : settings_.peers) members.push_back(peer.member);
    for (const auto& member : members) {
        const auto it = by_key.find(offers_prefix + member);
        const auto* header = it == by_key.end() ? nullptr : it->second->value.if_object();
        if (member != settings_.member && (!header || number(*header, "for") != w.mod_revision)) {
            const auto word = peers_.find(member);
            const bool there = word != peers_.end() && Clock::now() - word->second.heard < peer_fresh;
            if (!last_call && (there || Clock::now() - rebuild_began_ < offers_at_least)) return std::nullopt;
            out.missing.push_back(member);
        }
        if (!header) continue;
        // An offer that was made to another rebuilder, or by a former life of this one, is as true as it was.
        seen.merge(terms_in(*header));
        led.insert(number(*header, "led"));
        const auto* open = header->if_contains("unsettled");
        still_unsettled = still_unsettled || (open && open->is_bool() && open->get_bool());
        const auto* list = header->if_contains("sources");
        if (!list || !list->is_array()) continue;
        for (std::size_t k = 0; k < list->get_array().size(); ++k)
            out.sources.push_back(offered(member, k, list->get_array()[k], by_key));
    }
    // A term that was won after the loss was declared has begun nothing; whoever noticed late has seen it all the same.
    for (const auto term : w.rebuilders) seen.erase(term);
    out.placements_known = !seen.empty() && led.contains(*seen.rbegin()) && !still_unsettled;
    return out;
}

awaitable<std::optional<RecoveryCoordinator::Gathered>> RecoveryCoordinator::gather_offers(const GenerationMarker& w) {
    const auto until = Clock::now() + offers_at_most;
    for (;;) {
        const bool last_call = Clock::now() >= until;
        const auto items = co_await read_all(offers_prefix);
        spdlog::debug("event=replica_offers_listed keys={}", items ? items->size() : 0);
        if (!term_) co_return std::nullopt;
        if (items)
            if (auto all = read_offers(w, *items, last_call)) co_return all;
        co_await wake_.wait(stand_gap);
    }
}

awaitable<std::optional<std::vector<state::KeyValue>>> RecoveryCoordinator::read_all(std::string prefix) {
    std::vector<KeyValue> out;
    std::string after;
    for (int tries = 0; tries < 40;) {
        auto page = co_await raw_.range(prefix, after, RequestPriority::leadership);
        if (page.outcome != Outcome::ok) {
            ++tries;
            co_await net::sleep_for(try_again);
            continue;
        }
        for (auto& item : page.items) out.push_back(std::move(item));
        if (!page.more || page.items.empty()) co_return std::optional(std::move(out));
        after = out.back().key;
    }
    co_return std::nullopt;
}

awaitable<std::optional<RecoveryCoordinator::Present>> RecoveryCoordinator::present() {
    auto items = co_await read_all(scheduler::jobs_prefix);
    if (!items) co_return std::nullopt;
    Present out;
    out.source.from = "state service";
    for (const auto& item : *items) {
        out.mod_revisions[item.key] = item.mod_revision;
        out.source.records.emplace(item.key, Record{item.mod_revision, boost::json::serialize(item.value)});
    }
    co_return std::optional(std::move(out));
}

awaitable<void> RecoveryCoordinator::rebuild_records(GenerationMarker w) {
    const auto term = term_->number;
    const auto still = [&] { return term_ && term_->number == term; };
    if (rebuild_began_ == model::TimePoint{}) rebuild_began_ = Clock::now();
    // 1. Say who rebuilds, and up to where this controller itself remembers.
    w.phase = GenerationMarker::Phase::merging;
    w.rebuilder = settings_.member;
    w.term = term;
    w.base_history = replica_.whole() ? replica_.id() : std::string();
    w.base_revision = replica_.revision();
    if (std::find(w.rebuilders.begin(), w.rebuilders.end(), term) == w.rebuilders.end()) w.rebuilders.push_back(term);
    const auto first = co_await put(w);
    if (!first) {
        co_await wake_.wait(try_again);
        co_return;
    }
    w.mod_revision = first;
    spdlog::info("event=recovery_started generation={} term={} remembers={} revision={}", w.generation, term,
                 replica_.size(), replica_.revision());
    const bool put_down = co_await offer_replica(w);
    if (!put_down || !still()) co_return;
    // 2. What everybody remembers, and what the service still has.
    const auto gathered = co_await gather_offers(w);
    if (!gathered || !still()) co_return;
    verified_ = true;  // whatever it was that is missing, there is nobody else to ask
    auto there = co_await present();
    if (!there || !still()) co_return;
    for (const auto& s : gathered->sources)
        spdlog::debug("event=replica_contents from={} generation={} revision={} whole={} records={}", s.from,
                      s.generation, s.revision, s.whole, s.records.size());
    for (const auto& member : gathered->missing) spdlog::error("event=replica_offer_missing member={}", member);
    const auto merged = merge(gathered->sources, there->source);
    for (const auto& doubt : merged.doubts) spdlog::error("event=record_unrecoverable what=\"{}\"", doubt);
    // Nobody can cancel anything before the records are whole again, so if all have told, all cancellations are known.
    std::vector<KeyValue> outcomes;
    for (const auto& [key, text] : merged.records)
        if (is_outcome(key)) {
            KeyValue item;
            item.key = key;
            item.value = boost::json::parse(text);
            item.mod_revision = 1;
            outcomes.push_back(std::move(item));
        }
    callbacks_.outcomes(outcomes, Clock::now(), gathered->missing.empty() ? Look::all : Look::changes);
    // 3. Write it back.
    w.phase = GenerationMarker::Phase::restoring;
    const auto second = co_await put(w);
    if (!second || !still()) co_return;
    w.mod_revision = second;
    std::size_t restored = 0;
    for (bool more = true; more;) {
        const auto missing = co_await restore(w, merged, std::move(*there));
        if (!missing || !still()) co_return;
        restored += *missing;
        more = *missing > 0;
        if (!more) break;
        // More may have been lost while it was being written.
        there = co_await present();
        if (!there || !still()) co_return;
    }
    // 4. Open again.
    std::size_t missed = 0;
    for (const auto& uid : shown_)
        if (!merged.records.contains(scheduler::outcome_key(uid)) &&
            !merged.records.contains(scheduler::work_key(uid, 0))) {
            ++missed;
            spdlog::error("event=job_unrecoverable job={} why=\"a worker shows it, and nobody remembers it\"", uid);
        }
    w.phase = GenerationMarker::Phase::whole;
    w.missing = gathered->missing;
    std::vector<state::Change> with;
    with.push_back({digest_key, std::nullopt, 0});
    // Where the history went on and nothing at all was missing, nothing was lost: what is on record is all there is.
    const bool nothing = w.keys_only && restored == 0;
    w.loss_exceeds_replica = !nothing && (w.loss_exceeds_replica || !gathered->placements_known);
    if (w.loss_exceeds_replica) with.push_back({unsettled_key, boost::json::object{{"generation", w.generation}}, 0});
    const auto last = co_await put_with(w, std::move(with));
    if (!last) co_return;
    spdlog::info("event=recovery_finished generation={} records={} restored={} sources={} lost={} placements_known={}",
                 w.generation, merged.records.size(), restored, gathered->sources.size(), missed + merged.doubts.size(),
                 !w.loss_exceeds_replica);
    clear_offers_ = true;
}

awaitable<std::optional<std::size_t>> RecoveryCoordinator::restore(const GenerationMarker& w, const Merged& merged,
                                                                   Present there) {
    std::vector<std::pair<int, state::Change>> missing;
    ReplicaContents owed;
    for (const auto& [key, text] : merged.records) {
        const auto kept = there.source.records.find(key);
        auto value = boost::json::parse(text);
        if (kept != there.source.records.end()) {
            boost::system::error_code ec;
            const auto now = boost::json::parse(kept->second.text, ec);
            if (!ec && (now == value || (is_outcome(key) && same_outcome(now, value)))) continue;
        }
        const auto order = order_of(key, value);
        // An outcome that says done is needed by those who ask for it only: it comes back in pages, and later in its
        // place. One that is there and differs is put right at once, and so is one whose job looks open: a service that
        // was set back shows work that had been removed.
        const auto uid = key.substr(key.rfind('/') + 1);
        if (order == 9 && kept == there.source.records.end() &&
            !there.source.records.contains(scheduler::work_key(uid, 0)))
            owed.records.emplace(key, Record{1, text});
        else
            missing.emplace_back(order, state::Change{key, std::move(value), 0});
    }
    std::stable_sort(missing.begin(), missing.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
    spdlog::info("event=restoring_records records={} owed={}", missing.size(), owed.records.size());
    std::vector<state::Change> changes;
    const auto flush = [&] { return std::exchange(changes, {}); };
    for (std::size_t i = 0; i < missing.size(); ++i) {
        changes.push_back(std::move(missing[i].second));
        const auto most = std::min<std::size_t>({raw_.write_portion(), record_format_.limits().txn_ops, 24});
        std::size_t bytes = 0;
        for (const auto& c : changes) bytes += state::RecordFormat::size_of(*c.value);
        if (i + 1 < missing.size() && changes.size() < most && bytes < 30'000) continue;
        auto batch = flush();
        const bool put = co_await write_back(w, std::move(batch), there.mod_revisions);
        if (!put) co_return std::nullopt;
    }
    if (owed.records.empty()) co_return std::optional(missing.size());
    std::map<std::string, std::uint64_t> mod_revisions;
    const auto former = co_await read_all(owed_prefix);
    if (!former) co_return std::nullopt;
    // Pages of a rebuilding that was interrupted, or of an earlier round of this one, owe some of it already.
    std::size_t number = 0;
    for (const auto& item : *former) {
        mod_revisions[item.key] = item.mod_revision;
        const auto tail = item.key.substr(std::string_view(owed_prefix).size());
        number = std::max(number, static_cast<std::size_t>(std::strtoull(tail.c_str(), nullptr, 10)) + 1);
        try {
            for (const auto& r : wire::decode_archive_text(std::string_view(item.value.as_string())))
                owed.records.erase(r.key);
        } catch (const std::exception& e) {
            spdlog::error("event=record_unreadable key={} why=\"{}\"", item.key, e.what());
        }
    }
    const auto fresh = owed.records.size();
    for (const auto& [key, text] : pages("", owed)) {
        std::vector<state::Change> page;
        page.push_back({owed_prefix + std::to_string(number + std::strtoull(key.c_str(), nullptr, 10)),
                        boost::json::string(text), 0});
        const bool put = co_await write_back(w, std::move(page), mod_revisions);
        if (!put) co_return std::nullopt;
    }
    co_return std::optional(missing.size() + fresh);
}

// Until they are on record, or somebody else rebuilds.
awaitable<bool> RecoveryCoordinator::write_back(const GenerationMarker& w, std::vector<state::Change> changes,
                                                std::map<std::string, std::uint64_t>& mod_revisions) {
    for (;;) {
        state::Txn txn;
        txn.conditions = leading_conditions(w);
        for (const auto& c : changes) {
            const auto it = mod_revisions.find(c.key);
            txn.conditions.push_back({c.key, it == mod_revisions.end() ? 0 : it->second});
        }
        txn.changes = changes;
        const auto began = Clock::now();
        const auto r = co_await raw_.commit(std::move(txn), RequestPriority::user);
        if (!term_) co_return false;
        if (r.outcome == Outcome::ok) {
            callbacks_.outcomes({}, began, Look::changes);
            co_return true;
        }
        const auto failed = [&](const char* key) {
            return std::find(r.failed.begin(), r.failed.end(), key) != r.failed.end();
        };
        if (failed(state::marker_key) || failed(election::term_key)) co_return false;
        if (r.outcome == Outcome::too_large) {
            // One record that is never taken must not keep all others away.
            if (changes.size() == 1) {
                spdlog::error("event=record_rejected key={}", changes[0].key);
                co_return true;
            }
            for (auto& c : changes) {
                std::vector<state::Change> one;
                one.push_back(std::move(c));
                const bool put = co_await write_back(w, std::move(one), mod_revisions);
                if (!put) co_return false;
            }
            co_return true;
        }
        co_await net::sleep_for(r.outcome == Outcome::refused ? 150ms : 50ms);
        if (r.outcome == Outcome::refused) continue;
        // A lost or late write of this rebuilding may stand.
        for (const auto& c : changes) {
            const auto got = co_await raw_.get(c.key, RequestPriority::user);
            if (got.outcome == Outcome::ok) mod_revisions[c.key] = got.item.mod_revision;
        }
    }
}

awaitable<void> RecoveryCoordinator::remove_all(std::string prefix, std::vector<state::Condition> conditions) {
    const auto items = co_await read_all(std::move(prefix));
    if (!items) co_return;
    for (std::size_t at = 0; at < items->size();) {
        state::Txn txn;
        txn.conditions = conditions;
        for (;
             at < items->size() && txn.changes.size() < std::min(raw_.write_portion(), record_format_.limits().txn_ops);
             ++at)
            txn.changes.push_back({(*items)[at].key, std::nullopt, 0});
        const auto r = co_await raw_.commit(std::move(txn), RequestPriority::bookkeeping);
        if (r.outcome != Outcome::ok) co_return;  // the next rebuilding overwrites them
    }
}

}  // namespace flintdale::recovery
