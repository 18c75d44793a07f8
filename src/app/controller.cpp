#include "app/controller.hpp"

#include <spdlog/spdlog.h>

#include "api/reply.hpp"
#include "app/leader_watchdog.hpp"
#include "app/write_limit_share.hpp"

namespace flintdale::app {

using namespace std::chrono_literals;
using model::Clock;

namespace {

constexpr auto status_interval = 1000ms;
constexpr auto status_interval_before_ready = 100ms;

// The time of day alone may come twice: clocks drift by some milliseconds, and a process may be back at once.
std::uint64_t new_incarnation(std::int64_t time_of_day_ms) {
    const auto now = std::chrono::duration_cast<std::chrono::microseconds>(Clock::now().time_since_epoch()).count();
    return static_cast<std::uint64_t>(time_of_day_ms * 1000 + now % 1000);
}

// The key of the outcome that may explain why a record of open work is gone; empty for other keys.
std::string explaining_outcome(const std::string& key) {
    const auto work = scheduler::parse_work_key(key);
    return work ? scheduler::outcome_key(work->uid) : std::string();
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
      store_(ports_.state, scheduler::jobs_prefix, store_events()),
      elector_(ex_, store_, settings_.member, operator_settings_.election_lease, elector_events(),
               ports_.time_of_day_ms),
      members_(store_, settings_, record_format_, [this](const quota::Table& table) { quota_changed(table); }),
      follower_leases_(settings_),
      cancellations_(settings_),
      cluster_(cluster_sources()),
      fencer_(ex_, ports_.cloud, ports_.workers, settings_, fencer_callbacks()),
      heartbeats_(ex_, settings_, operator_settings_, cluster_, peers_, follower_leases_, incarnation_,
                  heartbeat_callbacks()),
      recovery_(ex_, ports_.state, store_, settings_, record_format_,
                recovery::SnapshotFile(operator_settings_.snapshot_directory), recovery_callbacks()),
      cancellation_register_(settings_, cancellations_, follower_leases_, fencer_, recovery_, ports_.time_of_day_ms),
      leadership_claim_(elector_, peers_),
      remembered_records_(recovery_),
      job_information_(recovery_, cancellations_, leadership_),
      catalog_(ports_.cloud, store_, record_format_, catalog_callbacks()),
      submissions_(ex_, store_, settings_, record_format_, job_information_, submission_callbacks(),
                   static_cast<std::size_t>(operator_settings.job_cache_size)),
      routes_(heartbeats_, submissions_, [this] { return readiness(); }) {}

void Controller::start() {
    net::asio::co_spawn(ex_, elector_.run(), net::asio::detached);
    net::asio::co_spawn(ex_, members_.run(), net::asio::detached);
    net::asio::co_spawn(ex_, recovery_.run(), net::asio::detached);
    net::asio::co_spawn(ex_, fencer_.run(), net::asio::detached);
    net::asio::co_spawn(ex_, catalog_.run(), net::asio::detached);
    net::asio::co_spawn(ex_, status_loop(), net::asio::detached);
}

// --- wiring: what each part asks of the others ---

state::GuardedStore::Events Controller::store_events() {
    return {[this](const char* why) { recovery_.suspect_loss(why); },
            [this](const state::Change& change, std::uint64_t revision) { recovery_.record_written(change, revision); },
            [this](const std::string& key) { return recovery_.replica().expected(key); }, explaining_outcome,
            [this](const std::string& key) { recovery_.record_missing(key); }};
}

election::Elector::Events Controller::elector_events() {
    return {[this](election::Term term) { term_won(term); }, [this] { end_term(); }};
}

ClusterView::Sources Controller::cluster_sources() {
    return {settings_, ports_.state, elector_, members_, recovery_, peers_, cancellations_, leadership_};
}

Fencer::Callbacks Controller::fencer_callbacks() {
    Fencer::Callbacks callbacks;
    callbacks.cancellations_are_handled = [this](model::TimePoint noted) {
        return cluster_.cancellations_are_handled(noted);
    };
    callbacks.machines_of = [this](const std::string& uid) { return recovery_.replica().machines_of(uid); };
    callbacks.cut_off_from_store = [this] { return cluster_.cut_off_from_store(); };
    return callbacks;
}

HeartbeatService::Callbacks Controller::heartbeat_callbacks() {
    HeartbeatService::Callbacks callbacks;
    callbacks.received = [this](const model::Heartbeat& heartbeat) { heartbeat_received(heartbeat); };
    callbacks.received_in_recovery = [this](const model::Heartbeat& heartbeat) { recovery_.tasks_reported(heartbeat); };
    callbacks.cancellations_known_until = [this] {
        return cancellation_register_.all_known_until(follower_leases_.looked_at());
    };
    callbacks.send = ports_.relay;
    return callbacks;
}

recovery::RecoveryCoordinator::Callbacks Controller::recovery_callbacks() {
    recovery::RecoveryCoordinator::Callbacks callbacks;
    callbacks.time_of_day_ms = ports_.time_of_day_ms;
    callbacks.begin = [this](election::Term term, bool unsettled) { begin_term(term, unsettled); };
    callbacks.new_term = [this](const char* why) { elector_.restart_term(why); };
    using OutcomeCoverage = recovery::RecoveryCoordinator::Callbacks::OutcomeCoverage;
    callbacks.outcomes = [this](const std::vector<state::KeyValue>& outcomes, model::TimePoint began,
                                OutcomeCoverage coverage) { outcomes_read(outcomes, began, coverage); };
    callbacks.rebuilt = [this] { records_rebuilt(); };
    callbacks.seen_term = [this] { return elector_.term(); };
    callbacks.incarnation = incarnation_;
    return callbacks;
}

api::SubmissionService::Callbacks Controller::submission_callbacks() {
    api::SubmissionService::Callbacks callbacks;
    callbacks.time_of_day_ms = ports_.time_of_day_ms;
    callbacks.machine_types = [this] { return catalog_.types().empty() ? nullptr : &catalog_.types(); };
    callbacks.cancellation_reported = [this](const std::string& uid) { cancellation_learned(uid); };
    callbacks.record_observed = [this](const state::KeyValue& record) { job_record_changed(record); };
    return callbacks;
}

MachineTypeCatalog::Callbacks Controller::catalog_callbacks() {
    MachineTypeCatalog::Callbacks callbacks;
    callbacks.leading = [this] { return elector_.leading(); };
    callbacks.changed = [this](const std::vector<model::MachineType>& types) {
        if (leadership_.current) leadership_.current->set_machine_types(types);
    };
    return callbacks;
}

// --- this controller's terms ---

void Controller::term_won(election::Term term) {
    ports_.state.set_leading(true);
    leadership_.last_won = term;
    if (term.gap) recovery_.suspect_loss("a term that was seen is not on record");
    recovery_.term_won(term);
}

void Controller::begin_term(election::Term term, bool unrecorded_tasks) {
    LeaderTermEnvironment environment{leadership_claim_, remembered_records_, cancellation_register_,
                                      ports_.time_of_day_ms};
    leadership_.current = std::make_shared<LeaderTerm>(ex_, store_, ports_.cloud, settings_, operator_settings_,
                                                       record_format_, term, unrecorded_tasks, std::move(environment));
    if (quota_table_) leadership_.current->scheduler().set_teams(*quota_table_);
    heartbeats_.term_changed();
    leadership_.current->start(catalog_.types());
}

void Controller::end_term() {
    ports_.state.set_leading(false);
    recovery_.term_lost();
    if (leadership_.current) leadership_.current->stop();
    leadership_.current.reset();
}

// --- events that concern several parts ---

void Controller::outcomes_read(const std::vector<state::KeyValue>& outcomes, model::TimePoint began,
                               recovery::RecoveryCoordinator::Callbacks::OutcomeCoverage coverage) {
    using OutcomeCoverage = recovery::RecoveryCoordinator::Callbacks::OutcomeCoverage;
    if (coverage == OutcomeCoverage::after_gap) follower_leases_.lost_track(Clock::now());
    follower_leases_.watched(outcomes, began);
    // After the records were rebuilt these are all outcomes there are: a user who is told of one of them again notes it
    // then.
    for (const auto& item : outcomes)
        if (coverage != OutcomeCoverage::all && scheduler::is_cancelled(item))
            cancellation_learned(item.key.substr(item.key.rfind('/') + 1));
    if (coverage == OutcomeCoverage::all) follower_leases_.knows_all(began);
}

void Controller::records_rebuilt() {
    // Jobs that were believed to be open are looked up again; keys that are not rebuilt are written again.
    submissions_.invalidate_open_jobs();
    catalog_.record_again();
    net::asio::co_spawn(ex_, members_.restore_enrollment(), net::asio::detached);
}

void Controller::quota_changed(const quota::Table& table) {
    quota_table_ = table;
    if (leadership_.current) leadership_.current->scheduler().set_teams(table);
}

void Controller::cancellation_learned(const std::string& uid) {
    if (!cancellation_register_.note(uid)) return;
    if (leadership_.current) leadership_.current->cancelled_elsewhere(uid);
}

void Controller::job_record_changed(const state::KeyValue& record) {
    recovery_.reported_to_user(record);
    if (leadership_.current) leadership_.current->job_changed(record);
}

void Controller::heartbeat_received(const model::Heartbeat& heartbeat) {
    const auto token = heartbeat.fencing_token;
    if (token > elector_.term()) elector_.observe_term(token, std::string());
    fencer_.heartbeat_received(heartbeat.machine);
    // Between this leader's term and the one on record before it there was none, unless the records of one were lost.
    const auto& term = leadership_.last_won;
    const auto newest_known = std::max(term.previous, recovery_.recovered_in_term());
    if (elector_.leading() && recovery_.ready() && token > newest_known && token < term.number)
        recovery_.suspect_loss("a worker has seen a term that is not on record",
                               recovery::RecoveryCoordinator::Loss::beyond_replica);
}

// --- the other controllers ---

void Controller::received(const peer::StatusMessage& status) {
    using From = peer::Incarnations::From;
    const auto from = incarnations_.classify(status.member, status.incarnation, status.connection);
    if (from == From::previous) return;  // delayed on its way: the process that sent it has ended
    if (from == From::next) peers_.forget(status.member);
    for (const auto& uid : status.cancellations.recent) cancellation_learned(uid);
    cancellations_.report_received(status.member, status.incarnation, incarnation_, status.cancellations, Clock::now());
    elector_.observe_term(status.term, status.leader);
    record_format_.all_read(status.format);
    recovery_.peer_status_received(status.member,
                                   {status.generation, status.replica_revision, status.history, status.rebuilding, {}});
    peers_.update(status, Clock::now());
    heartbeats_.peer_status_received(status);
    job_information_.peer_counts_received(status.counts);
}

awaitable<void> Controller::status_loop() {
    for (;;) {
        const auto status = current_status();
        ports_.broadcast_status(status);
        resign_if_cut_off_from_workers();
        // Until it is known whether any controller knows of a marker, no request can be served.
        co_await net::sleep_for(recovery_.ready() ? status_interval : status_interval_before_ready);
    }
}

peer::StatusMessage Controller::current_status() {
    peer::StatusMessage status;
    status.member = settings_.member;
    status.leader = elector_.leader();
    status.term = elector_.term();
    status.store_healthy = ports_.state.healthy(Clock::now());
    status.leading = elector_.leading();
    status.writes = ports_.state.take_write_demand();
    status.format = static_cast<std::uint32_t>(record_format_.format());
    ports_.state.set_write_demand(status.writes, total_write_demand(status.writes, peers_, settings_, Clock::now()));
    if (leadership_.current)
        for (const auto& [uid, count] : leadership_.current->scheduler().take_changed_counts())
            status.counts.push_back({uid, count.done, count.running});
    const auto records = recovery_.own_status();
    status.generation = records.generation;
    status.history = records.id;
    status.replica_revision = records.complete_up_to;
    status.rebuilding = records.rebuilding;
    status.incarnation = incarnation_;
    status.cancellations = cancellations_.make_report(Clock::now());
    heartbeats_.fill_status(status);
    return status;
}

void Controller::resign_if_cut_off_from_workers() {
    if (!leadership_.current) return;
    const auto now = Clock::now();
    const auto coverage = leadership_.current->scheduler().heartbeat_coverage(now);
    if (must_resign(coverage, peers_, settings_, now)) elector_.resign("workers reach the others and not this one");
}

net::Reply Controller::readiness() const {
    if (const auto reason = cluster_.unready_reason(!catalog_.types().empty())) return api::error_reply(503, *reason);
    return api::make_reply(200, "{\"ready\":true}");
}

}  // namespace flintdale::app
