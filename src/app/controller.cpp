#include "app/controller.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "model/heartbeat.hpp"
#include "model/job.hpp"
#include "model/machine.hpp"

namespace flintdale::app {

using namespace std::chrono_literals;
using model::Clock;

namespace {

constexpr std::size_t max_counts = 20'000;
constexpr double redirects_kept = 0.8;  // from one message of a peer to the next, a second later
const std::string catalog_key = "fleet/catalog";
constexpr std::string_view submissions = "/submissions";

net::Reply reply(unsigned status, std::string body) {
    net::Reply r;
    r.status = status;
    r.body = std::move(body);
    return r;
}

net::Reply wrong_method(std::string allow) {
    auto r = reply(405, wire::error_body("method not allowed"));
    r.allow = std::move(allow);
    return r;
}

std::vector<model::MachineType> kept_types(const std::vector<state::KeyValue>& items) {
    std::vector<model::MachineType> out;
    for (const auto& item : items) try {
            for (auto& type : wire::parse_catalog(boost::json::serialize(item.value))) {
                const auto same = [&](const model::MachineType& t) { return t.name == type.name; };
                if (std::none_of(out.begin(), out.end(), same)) out.push_back(std::move(type));
            }
        } catch (const wire::DecodeError& e) {
            spdlog::error("event=record_unreadable key={} why=\"{}\"", item.key, e.what());
        }
    return out;
}

// The time of day alone may come twice: clocks wander by some milliseconds, and a process may be back at once.
std::uint64_t new_incarnation(std::int64_t time_of_day_ms) {
    const auto now = std::chrono::duration_cast<std::chrono::microseconds>(Clock::now().time_since_epoch()).count();
    return static_cast<std::uint64_t>(time_of_day_ms * 1000 + now % 1000);
}

}  // namespace

Controller::Controller(net::Executor ex, const config::Settings& settings,
                       const config::OperatorSettings& operator_settings, state::RecordFormat& record_format,
                       Ports ports)
    : ex_(ex),
      settings_(settings),
      operator_settings_(operator_settings),
      record_format_(record_format),
      ports_(std::move(ports)),
      incarnation_(new_incarnation(ports_.time_of_day_ms())),
      store_(
          ports_.state, scheduler::jobs_prefix,
          {[this](const char* why) { recovery_.suspect_loss(why); },
           [this](const state::Change& change, std::uint64_t revision) { recovery_.record_written(change, revision); },
           [this](const std::string& key) { return recovery_.replica().expected(key); },
           [](const std::string& key) {
               const auto work = scheduler::parse_work_key(key);
               return work ? scheduler::outcome_key(work->uid) : std::string();
           },
           [this](const std::string& key) { recovery_.record_missing(key); }}),
      cloud_(ports_.cloud),
      elector_(ex_, store_, settings_.member, operator_settings_.election_lease,
               {[this](election::Term term) {
                    ports_.state.set_leading(true);
                    term_ = term;
                    if (term.gap) recovery_.suspect_loss("a term that was seen is not on record");
                    recovery_.term_won(term);
                },
                [this] { end_term(); }},
               ports_.time_of_day_ms),
      members_(store_, settings_, record_format_,
               [this](const quota::Table& teams) {
                   teams_ = teams;
                   if (leader_term_) leader_term_->scheduler().set_teams(teams);
               }),
      follower_leases_(settings_),
      cancellations_(settings_),
      fencer_(ex_, cloud_, ports_.workers, settings_,
              {[this](model::TimePoint noted) { return somebody_knows(noted); },
               [this](const std::string& uid) { return recovery_.replica().machines_of(uid); },
               [this] { return cut_off_from_store(); }}),
      reports_(ex_, settings_, operator_settings_, follower_leases_, incarnation_, heartbeat_callbacks()),
      recovery_(ex_, ports_.state, store_, settings_, record_format_,
                recovery::SnapshotFile(operator_settings_.snapshot_directory), recovery_callbacks()),
      submissions_(ex_, store_, settings_, record_format_,
                   {ports_.time_of_day_ms, [this](const std::string& uid) { note_cancelled(uid); },
                    [this] { return types_.empty() ? nullptr : &types_; },
                    [this](const std::string& uid) {
                        if (leader_term_)
                            if (auto c = leader_term_->scheduler().count(uid))
                                return api::DisplayCount{c->done, c->running};
                        const auto it = counts_.find(uid);
                        return it == counts_.end() ? api::DisplayCount{} : it->second;
                    },
                    [this](const state::KeyValue& item) {
                        recovery_.reported_to_user(item);
                        if (leader_term_) leader_term_->job_changed(item);
                    },
                    [this](const std::string& uid) -> std::optional<api::Remembered> {
                        auto outcome = recovery_.outcome_of(uid);
                        // Nobody is told that a job is cancelled before it is on record: a peer's word of it is as
                        // good.
                        if ((!outcome || outcome->state == model::JobState::open) && cancellations_.knows(uid)) {
                            if (!outcome) outcome.emplace();
                            outcome->state = model::JobState::cancelled;
                        }
                        if (!outcome) return std::nullopt;
                        return api::Remembered{outcome->state, outcome->size};
                    },
                    [this] { return recovery_.knows_all_jobs(); },
                    [this](const std::string& uid) -> std::optional<state::KeyValue> {
                        const auto record = recovery_.replica().record(scheduler::work_key(uid, 0));
                        // What is owed, or damaged, is read where it stands.
                        if (!record || record->mod_revision <= recovery::deferred_mod_revision) return std::nullopt;
                        state::KeyValue item;
                        item.key = scheduler::work_key(uid, 0);
                        boost::json::error_code ec;
                        item.value = boost::json::parse(record->text, ec);
                        item.mod_revision = record->mod_revision;
                        return ec || !item.value.is_object() ? std::nullopt : std::optional(std::move(item));
                    }},
                   static_cast<std::size_t>(operator_settings.job_cache_size)) {}

recovery::RecoveryCoordinator::Callbacks Controller::recovery_callbacks() {
    recovery::RecoveryCoordinator::Callbacks callbacks;
    callbacks.time_of_day_ms = ports_.time_of_day_ms;
    callbacks.begin = [this](election::Term term, bool unsettled) { begin_term(term, unsettled); };
    callbacks.new_term = [this](const char* why) { elector_.restart_term(why); };
    using Look = recovery::RecoveryCoordinator::Callbacks::Look;
    callbacks.outcomes = [this](const std::vector<state::KeyValue>& items, model::TimePoint began, Look look) {
        if (look == Look::after_a_gap) follower_leases_.lost_track(Clock::now());
        follower_leases_.watched(items, began);
        // After a rebuilding it is all there ever were: what of that is told anew is noted then.
        for (const auto& item : items)
            if (look != Look::all && scheduler::is_cancelled(item))
                note_cancelled(item.key.substr(item.key.rfind('/') + 1));
        if (look == Look::all) follower_leases_.knows_all(began);
    };
    callbacks.rebuilt = [this] {
        // Jobs that were believed to be open are looked up again; keys that are not rebuilt are put in place anew.
        submissions_.forget_open();
        kept_catalog_ = false;
        net::asio::co_spawn(ex_, members_.restore_enrollment(), net::asio::detached);
    };
    callbacks.seen_term = [this] { return elector_.term(); };
    callbacks.incarnation = incarnation_;
    return callbacks;
}

void Controller::begin_term(election::Term term, bool unsettled) {
    LeaderTerm::Callbacks callbacks;
    callbacks.doubt = [this] { elector_.verify_leadership(); };
    callbacks.time_of_day_ms = ports_.time_of_day_ms;
    callbacks.loss = [this](const char* why, bool beyond_memory) {
        using Loss = recovery::RecoveryCoordinator::Loss;
        recovery_.suspect_loss(why, beyond_memory ? Loss::beyond_memory : Loss::seen);
    };
    callbacks.over = [this](const std::string& uid) { return recovery_.replica().is_over(uid); };
    callbacks.cancelled_for = [this](const std::string& uid) {
        const auto outcome = recovery_.outcome_of(uid);
        if (!outcome || outcome->state != model::JobState::cancelled) return model::Seconds(0);
        // Former versions did not put down when: it may be for long.
        return over_for(uid).value_or(settings_.cancel_deadline * 0.5);
    };
    callbacks.others_reach_state = [this] {
        const auto now = Clock::now();
        return std::any_of(peer_state_.begin(), peer_state_.end(),
                           [&](const auto& entry) { return entry.second.state_ok && now - entry.second.heard < 3s; });
    };
    callbacks.cancellations_known_until = [this](model::TimePoint looked) { return cancellations_known_until(looked); };
    // A leader that came late may have no time left to wait until a report is overdue.
    callbacks.over_already = [this](const std::string& uid) {
        const auto outcome = recovery_.outcome_of(uid);
        if (outcome && outcome->state == model::JobState::cancelled)
            if (const auto ago = over_for(uid); ago && *ago < settings_.cancel_deadline)
                fencer_.cancelled(uid, Clock::now() - model::to_clock(*ago));
    };
    callbacks.told_cancelled = [this](const std::string& uid) { return cancellations_.knows(uid); };
    callbacks.again = [this](const char* why) { elector_.restart_term(why); };
    callbacks.settled = [this] { recovery_.reconciliation_complete(); };
    callbacks.seen = [this](const state::KeyValue& item) { recovery_.reported_to_user(item); };
    callbacks.open = [this] { return recovery_.replica().open_jobs(); };
    leader_term_ = std::make_shared<LeaderTerm>(ex_, store_, cloud_, settings_, operator_settings_, record_format_,
                                                term, unsettled, std::move(callbacks));
    if (teams_) leader_term_->scheduler().set_teams(*teams_);
    reports_.term_changed();
    leader_term_->start(types_);
}

// A user is about to be told so, a record says it, or a peer.
void Controller::note_cancelled(const std::string& uid) {
    const auto now = Clock::now();
    if (!cancellations_.note(uid, now)) return;
    follower_leases_.cancelled(uid, now);
    fencer_.cancelled(
        uid, now - model::to_clock(std::min(over_for(uid).value_or(model::Seconds(0)), settings_.cancel_deadline)));
    if (leader_term_) leader_term_->cancelled_elsewhere(uid);
}

// For how long a job has been over, by the time of day on record; nothing if that is not known.
std::optional<model::Seconds> Controller::over_for(const std::string& uid) const {
    const auto at = recovery_.replica().over_since_ms(uid);
    if (!at) return std::nullopt;
    return std::max(model::Seconds(0), model::Seconds(std::chrono::milliseconds(ports_.time_of_day_ms() - *at)));
}

// Where the state service answers, whoever leads reads what is cancelled there; and a leader whose messages say that it
// has heard of it sees to it. A term that has read nothing yet does not know where tasks are.
bool Controller::somebody_knows(model::TimePoint noted) const {
    const auto now = Clock::now();
    if (leader_term_ && leader_term_->loaded()) return leader_term_->heard_out();
    if (ports_.state.healthy(now)) return true;
    return std::any_of(peer_state_.begin(), peer_state_.end(), [&](const auto& entry) {
        const auto& [member, peer] = entry;
        if (now - peer.heard >= 3s) return false;
        return peer.state_ok || (peer.leading && cancellations_.has_received(member, noted));
    });
}

bool Controller::cut_off_from_store() const {
    const auto now = Clock::now();
    if (recovery_.ready() || ports_.state.healthy(now)) return false;
    return std::none_of(peer_state_.begin(), peer_state_.end(), [&](const auto& entry) {
        const auto& peer = entry.second;
        return now - peer.heard < 3s && (peer.state_ok || peer.knows_records);
    });
}

model::TimePoint Controller::cancellations_known_until(model::TimePoint looked) const {
    return cancellations_.all_known_until(looked, Clock::now());
}

void Controller::end_term() {
    ports_.state.set_leading(false);
    recovery_.term_lost();
    if (leader_term_) leader_term_->stop();
    leader_term_.reset();
}

void Controller::start() {
    net::asio::co_spawn(ex_, elector_.run(), net::asio::detached);
    net::asio::co_spawn(ex_, members_.run(), net::asio::detached);
    net::asio::co_spawn(ex_, recovery_.run(), net::asio::detached);
    net::asio::co_spawn(ex_, fencer_.run(), net::asio::detached);
    net::asio::co_spawn(ex_, catalog_loop(), net::asio::detached);
    net::asio::co_spawn(ex_, peer_loop(), net::asio::detached);
}

awaitable<void> Controller::catalog_loop() {
    // Prices move; the leader's choice of machines follows them.
    for (;;) {
        auto types = co_await cloud_.catalog();
        if (types && !types->empty()) {
            const bool news = types_.size() != types->size();
            types_ = std::move(*types);
            if (leader_term_) leader_term_->catalog(types_);
            if (news || !kept_catalog_) co_await keep_catalog();
        } else if (types_.empty()) {
            co_await recall_catalog();
        }
        co_await net::sleep_for(types_.empty() ? std::chrono::seconds(2)
                                               : std::chrono::seconds(elector_.leading() ? 30 : 300));
    }
}

// A controller that starts while the cloud is out of order still has to tell what can run: the machine types are
// kept in the state service too.
awaitable<void> Controller::keep_catalog() {
    auto kept = co_await store_.range(catalog_key, std::string(), state::RequestPriority::bookkeeping);
    if (kept.outcome != state::Outcome::ok) co_return;
    kept_catalog_ = true;
    if (kept_types(kept.items).size() == types_.size()) co_return;
    // In as many values as it takes.
    std::size_t n = 0;
    for (std::size_t at = 0; at < types_.size(); ++n) {
        auto count = types_.size() - at;
        auto record = wire::catalog_record({types_.begin() + static_cast<std::ptrdiff_t>(at), types_.end()});
        while (count > 1 && !record_format_.fits(record)) {
            count = (count + 1) / 2;
            record = wire::catalog_record({types_.begin() + static_cast<std::ptrdiff_t>(at),
                                           types_.begin() + static_cast<std::ptrdiff_t>(at + count)});
        }
        at += count;
        const auto key = catalog_key + (n ? "/" + std::to_string(n) : std::string());
        const auto old =
            std::find_if(kept.items.begin(), kept.items.end(), [&](const auto& i) { return i.key == key; });
        state::Txn txn;
        txn.conditions.push_back({key, old == kept.items.end() ? 0 : old->mod_revision});
        txn.changes.push_back({key, std::move(record), 0});
        co_await store_.commit(std::move(txn), state::RequestPriority::bookkeeping);
    }
}

awaitable<void> Controller::recall_catalog() {
    auto kept = co_await store_.range(catalog_key, std::string(), state::RequestPriority::bookkeeping);
    if (kept.outcome != state::Outcome::ok || !types_.empty()) co_return;
    types_ = kept_types(kept.items);
    if (leader_term_ && !types_.empty()) leader_term_->catalog(types_);
}

// No leader is heard, and none could be elected from here.
bool Controller::leaderless() const {
    const auto now = Clock::now();
    if (ports_.state.healthy(now)) return false;
    for (const auto& [member, peer] : peer_state_)
        if (peer.leading && now - peer.heard < 3s) return false;
    return true;
}

awaitable<void> Controller::peer_loop() {
    for (;;) {
        peer::StatusMessage b;
        b.member = settings_.member;
        b.leader = elector_.leader();
        b.term = elector_.term();
        b.store_healthy = ports_.state.healthy(Clock::now());
        b.leading = elector_.leading();
        b.writes = ports_.state.take_write_demand();
        b.format = static_cast<std::uint32_t>(record_format_.format());
        share_writes(b.writes);
        if (leader_term_)
            for (auto& [uid, c] : leader_term_->scheduler().take_changed_counts())
                b.counts.push_back({uid, c.done, c.running});
        const auto records = recovery_.own_status();
        b.generation = records.generation;
        b.history = records.id;
        b.replica_revision = records.remembers;
        b.rebuilding = records.rebuilding;
        b.incarnation = incarnation_;
        b.cancellations = cancellations_.make_report(Clock::now());
        reports_.fill_status(b);
        ports_.broadcast_status(b);
        resign_if_cut_off_from_workers();
        // Until it is known whether anybody knows of a marker, nobody can be served.
        co_await net::sleep_for(recovery_.ready() ? 1000ms : 100ms);
    }
}

// A leader that reaches the state service and not the workers would keep its claim while every worker's lease runs out.
// Workers that it does not answer knock at the others, and in vain, for those send them back here: so where the others
// hear clearly more workers than this leader does, one of them shall lead.
void Controller::resign_if_cut_off_from_workers() {
    if (!leader_term_) return;
    const auto now = Clock::now();
    const auto heartbeat_coverage = leader_term_->scheduler().heartbeat_coverage(now);
    if (!heartbeat_coverage.cut_off_from_workers()) return;
    double redirects = 0;
    // Who hears no worker and no peer is cut off, and needs no other word. A few workers, as a new leader hears at
    // first when a zone is cut off and takes the other controllers with it, are reason enough to stay.
    bool alone = !settings_.peers.empty() && heartbeat_coverage.heard == 0;
    for (const auto& [member, peer] : peer_state_) {
        if (now - peer.heard >= 3s) continue;
        alone = false;
        if (peer.state_ok) redirects += peer.redirects;
    }
    spdlog::debug("event=few_heartbeats expected={} heard={} redirected={:.0f}", heartbeat_coverage.expected,
                  heartbeat_coverage.heard, redirects);
    if (!alone && redirects < static_cast<double>(heartbeat_coverage.heard) +
                                  static_cast<double>(heartbeat_coverage.expected) / 4)
        return;
    spdlog::info("event=cut_off_from_workers expected={} heard={} redirected={:.0f}", heartbeat_coverage.expected,
                 heartbeat_coverage.heard, redirects);
    elector_.resign("workers reach the others and not this one");
}

// A peer that is not heard may go on writing: its last known demand keeps counting, and at least an even part does.
void Controller::share_writes(double own) {
    double all = own;
    const auto now = Clock::now();
    for (const auto& peer : settings_.peers) {
        const auto it = peer_state_.find(peer.member);
        const bool heard = it != peer_state_.end() && now - it->second.heard < 3s;
        all += heard ? it->second.writes : std::max(own, it == peer_state_.end() ? 0.0 : it->second.writes);
    }
    ports_.state.set_write_demand(own, all);
}

void Controller::received(const peer::StatusMessage& status) {
    using From = peer::Incarnations::From;
    const auto from = incarnations_.classify(status.member, status.incarnation, status.connection);
    if (from == From::previous) return;  // held on its way: what it says of itself is true of nobody
    if (from == From::next) peer_state_.erase(status.member);
    for (const auto& uid : status.cancellations.recent) note_cancelled(uid);
    cancellations_.report_received(status.member, status.incarnation, incarnation_, status.cancellations, Clock::now());
    elector_.observe_term(status.term, status.leader);
    record_format_.all_read(status.format);
    recovery_.peer_status_received(status.member,
                                   {status.generation, status.replica_revision, status.history, status.rebuilding, {}});
    auto& peer = peer_state_[status.member];
    peer = {Clock::now(),
            status.store_healthy,
            status.leading,
            status.writes,
            peer.redirects * redirects_kept + status.redirects,
            status.generation > 0};
    reports_.peer_status_received(status);
    if (counts_.size() > max_counts) counts_.clear();
    for (const auto& c : status.counts) counts_[c.uid] = {c.done, c.running};
}

// A controller that alone is cut off from the state service leaves the users to the others. In an outage that all
// share there is nobody better, and the load balancer takes back slowly what it has once removed.
net::Reply Controller::ready() const {
    const auto now = Clock::now();
    if (!ports_.state.healthy(now)) {
        // Nor does one that hears no peer either know that it is an outage: it may be cut off alone, while users reach
        // it.
        bool alone = !settings_.peers.empty();
        for (const auto& [member, heard] : peer_state_) {
            if (now - heard.heard >= 3s) continue;
            alone = false;
            if (heard.state_ok) return reply(503, wire::error_body("the state service cannot be reached from here"));
        }
        if (alone) return reply(503, wire::error_body("neither the state service nor another controller is heard"));
    }
    // Whoever takes turns with others in an upgrade is counted before it serves; in an outage nobody can be.
    if ((!members_.enrolled() || !recovery_.ready()) && ports_.state.healthy(now))
        return reply(503, wire::error_body("not enrolled yet"));
    if (types_.empty()) return reply(503, wire::error_body("the machine types are not known yet"));
    return reply(200, "{\"ready\":true}");
}

// A report has arrived, directly or relayed.
void Controller::note_report(const model::Heartbeat& r) {
    if (r.fencing_token > elector_.term()) elector_.observe_term(r.fencing_token, std::string());
    fencer_.heartbeat_received(r.machine);
    // Between this leader's term and the one on record before it there was none, unless the records of one were lost.
    if (elector_.leading() && recovery_.ready() &&
        r.fencing_token > std::max(term_.previous, recovery_.recovered_in_term()) && r.fencing_token < term_.number)
        recovery_.suspect_loss("a worker has seen a term that is not on record",
                               recovery::RecoveryCoordinator::Loss::beyond_memory);
}

HeartbeatService::Callbacks Controller::heartbeat_callbacks() {
    HeartbeatService::Callbacks callbacks;
    callbacks.noticed = [this](const model::Heartbeat& r) { note_report(r); };
    callbacks.leading = [this] { return elector_.leading(); };
    callbacks.rebuilding = [this] { return recovery_.recovering() != 0; };
    callbacks.leader_term = [this] { return leader_term_; };
    callbacks.own_term = [this] { return term_.number; };
    callbacks.newest_term = [this] { return elector_.term(); };
    callbacks.leader = [this] { return elector_.leader(); };
    callbacks.leaderless = [this] { return leaderless(); };
    callbacks.state_healthy = [this] { return ports_.state.healthy(Clock::now()); };
    callbacks.cancellations_known_until = [this] { return cancellations_known_until(follower_leases_.looked_at()); };
    callbacks.shown = [this](const model::Heartbeat& r) { recovery_.tasks_reported(r); };
    callbacks.send = [this](const std::string& member, const peer::RelayMessage& m) { return ports_.relay(member, m); };
    return callbacks;
}

awaitable<net::Reply> Controller::handle(net::Request request) {
    using net::http::verb;
    std::string path = request.target.substr(0, request.target.find('?'));
    if (path == "/agent/beat") {
        if (request.verb != verb::post) co_return wrong_method("POST");
        co_return co_await reports_.handle(std::move(request.body));
    }
    if (path == "/ready") {
        if (request.verb != verb::get) co_return wrong_method("GET");
        co_return ready();
    }
    if (path == submissions) {
        if (request.verb != verb::post) co_return wrong_method("POST");
        co_return co_await submissions_.submit(std::move(request.body));
    }
    if (path.starts_with("/submissions/")) {
        auto uid = path.substr(submissions.size() + 1);
        constexpr std::string_view cancel = "/cancel";
        if (uid.ends_with(cancel)) {
            if (request.verb != verb::post) co_return wrong_method("POST");
            uid.resize(uid.size() - cancel.size());
            co_return co_await submissions_.cancel(std::move(uid));
        }
        if (uid.find('/') == std::string::npos) {
            if (request.verb != verb::get) co_return wrong_method("GET");
            co_return co_await submissions_.poll(std::move(uid));
        }
    }
    co_return reply(404, wire::error_body("no such path"));
}

}  // namespace flintdale::app
