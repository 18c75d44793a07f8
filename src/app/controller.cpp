#include "app/controller.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace flintdale::app {

using namespace std::chrono_literals;
using wire::Clock;

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

std::vector<wire::MachineType> kept_types(const std::vector<state::Item>& items) {
    std::vector<wire::MachineType> out;
    for (const auto& item : items) try {
            for (auto& type : wire::parse_catalog(boost::json::serialize(item.value))) {
                const auto same = [&](const wire::MachineType& t) { return t.name == type.name; };
                if (std::none_of(out.begin(), out.end(), same)) out.push_back(std::move(type));
            }
        } catch (const wire::BadBody& e) {
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

Controller::Controller(net::Executor ex, const config::Settings& settings, const config::Tunables& tunables,
                       state::Form& form, Ports ports)
    : ex_(ex),
      settings_(settings),
      tunables_(tunables),
      form_(form),
      ports_(std::move(ports)),
      incarnation_(new_incarnation(ports_.time_of_day_ms())),
      store_(ports_.state, scheduler::jobs_prefix,
             {[this](const char* why) { keeper_.doubt(why); },
              [this](const state::Change& change, std::uint64_t revision) { keeper_.written(change, revision); },
              [this](const std::string& key) { return keeper_.memory().expected(key); },
              [](const std::string& key) {
                  const auto work = scheduler::parse_work_key(key);
                  return work ? scheduler::outcome_key(work->uid) : std::string();
              },
              [this](const std::string& key) { keeper_.missed(key); }}),
      cloud_(ports_.cloud),
      elector_(ex_, store_, settings_.member, tunables_.election_lease,
               {[this](election::Term term) {
                    ports_.state.set_leading(true);
                    term_ = term;
                    if (term.gap) keeper_.doubt("a term that was seen is not on record");
                    keeper_.leads(term);
                },
                [this] { end_term(); }},
               ports_.time_of_day_ms),
      members_(store_, settings_, form_,
               [this](const quota::Table& teams) {
                   teams_ = teams;
                   if (leader_term_) leader_term_->scheduler().set_teams(teams);
               }),
      follower_leases_(settings_),
      cancellations_(settings_),
      fencer_(
          ex_, cloud_, ports_.workers, settings_,
          {[this](wire::TimePoint noted) { return somebody_knows(noted); },
           [this](const std::string& uid) { return keeper_.memory().machines_of(uid); }, [this] { return blind(); }}),
      reports_(ex_, settings_, tunables_, follower_leases_, incarnation_, report_links()),
      keeper_(ex_, ports_.state, store_, settings_, form_, recovery::SnapshotFile(tunables_.snapshots), keeper_links()),
      submissions_(ex_, store_, settings_, form_,
                   {ports_.time_of_day_ms, [this](const std::string& uid) { note_cancelled(uid); },
                    [this] { return types_.empty() ? nullptr : &types_; },
                    [this](const std::string& uid) {
                        if (leader_term_)
                            if (auto c = leader_term_->scheduler().count(uid))
                                return api::DisplayCount{c->done, c->running};
                        const auto it = counts_.find(uid);
                        return it == counts_.end() ? api::DisplayCount{} : it->second;
                    },
                    [this](const state::Item& item) {
                        keeper_.told(item);
                        if (leader_term_) leader_term_->job_changed(item);
                    },
                    [this](const std::string& uid) -> std::optional<api::Remembered> {
                        auto outcome = keeper_.outcome_of(uid);
                        // Nobody is told that a job is cancelled before it is on record: a peer's word of it is as
                        // good.
                        if ((!outcome || outcome->state == wire::JobState::open) && cancellations_.knows(uid)) {
                            if (!outcome) outcome.emplace();
                            outcome->state = wire::JobState::cancelled;
                        }
                        if (!outcome) return std::nullopt;
                        return api::Remembered{outcome->state, outcome->size};
                    },
                    [this] { return keeper_.certain(); },
                    [this](const std::string& uid) -> std::optional<state::Item> {
                        const auto record = keeper_.memory().record(scheduler::work_key(uid, 0));
                        // What is owed, or damaged, is read where it stands.
                        if (!record || record->stamp <= recovery::owed_stamp) return std::nullopt;
                        state::Item item;
                        item.key = scheduler::work_key(uid, 0);
                        boost::json::error_code ec;
                        item.value = boost::json::parse(record->text, ec);
                        item.stamp = record->stamp;
                        return ec || !item.value.is_object() ? std::nullopt : std::optional(std::move(item));
                    }},
                   static_cast<std::size_t>(tunables.known_jobs)) {}

recovery::Keeper::Links Controller::keeper_links() {
    recovery::Keeper::Links links;
    links.time_of_day_ms = ports_.time_of_day_ms;
    links.begin = [this](election::Term term, bool unsettled) { begin_term(term, unsettled); };
    links.new_term = [this](const char* why) { elector_.again(why); };
    using Look = recovery::Keeper::Links::Look;
    links.outcomes = [this](const std::vector<state::Item>& items, wire::TimePoint began, Look look) {
        if (look == Look::after_a_gap) follower_leases_.lost_track(Clock::now());
        follower_leases_.watched(items, began);
        // After a rebuilding it is all there ever were: what of that is told anew is noted then.
        for (const auto& item : items)
            if (look != Look::all && scheduler::is_cancelled(item))
                note_cancelled(item.key.substr(item.key.rfind('/') + 1));
        if (look == Look::all) follower_leases_.knows_all(began);
    };
    links.rebuilt = [this] {
        // Jobs that were believed to be open are looked up again; keys that are not rebuilt are put in place anew.
        submissions_.forget_open();
        kept_catalog_ = false;
        net::asio::co_spawn(ex_, members_.enroll_again(), net::asio::detached);
    };
    links.seen_term = [this] { return elector_.term(); };
    links.incarnation = incarnation_;
    return links;
}

void Controller::begin_term(election::Term term, bool unsettled) {
    LeaderTerm::Links links;
    links.doubt = [this] { elector_.doubt(); };
    links.time_of_day_ms = ports_.time_of_day_ms;
    links.loss = [this](const char* why, bool beyond_memory) {
        using Loss = recovery::Keeper::Loss;
        keeper_.doubt(why, beyond_memory ? Loss::beyond_memory : Loss::seen);
    };
    links.over = [this](const std::string& uid) { return keeper_.memory().over(uid); };
    links.cancelled_for = [this](const std::string& uid) {
        const auto outcome = keeper_.outcome_of(uid);
        if (!outcome || outcome->state != wire::JobState::cancelled) return wire::Seconds(0);
        // Former versions did not put down when: it may be for long.
        return over_for(uid).value_or(settings_.cancel * 0.5);
    };
    links.others_reach_state = [this] {
        const auto now = Clock::now();
        return std::any_of(peer_state_.begin(), peer_state_.end(),
                           [&](const auto& entry) { return entry.second.state_ok && now - entry.second.heard < 3s; });
    };
    links.told_until = [this](wire::TimePoint looked) { return told_until(looked); };
    // A leader that came late may have no time left to wait until a report is overdue.
    links.over_already = [this](const std::string& uid) {
        const auto outcome = keeper_.outcome_of(uid);
        if (outcome && outcome->state == wire::JobState::cancelled)
            if (const auto ago = over_for(uid); ago && *ago < settings_.cancel)
                fencer_.cancelled(uid, Clock::now() - wire::to_clock(*ago));
    };
    links.told_cancelled = [this](const std::string& uid) { return cancellations_.knows(uid); };
    links.again = [this](const char* why) { elector_.again(why); };
    links.settled = [this] { keeper_.settled(); };
    links.seen = [this](const state::Item& item) { keeper_.told(item); };
    links.open = [this] { return keeper_.memory().open_jobs(); };
    leader_term_ = std::make_shared<LeaderTerm>(ex_, store_, cloud_, settings_, tunables_, form_, term, unsettled,
                                                std::move(links));
    if (teams_) leader_term_->scheduler().set_teams(*teams_);
    reports_.term_changed();
    leader_term_->start(types_);
}

// A user is about to be told so, a record says it, or a peer.
void Controller::note_cancelled(const std::string& uid) {
    const auto now = Clock::now();
    if (!cancellations_.note(uid, now)) return;
    follower_leases_.cancelled(uid, now);
    fencer_.cancelled(uid, now - wire::to_clock(std::min(over_for(uid).value_or(wire::Seconds(0)), settings_.cancel)));
    if (leader_term_) leader_term_->cancelled_elsewhere(uid);
}

// For how long a job has been over, by the time of day on record; nothing if that is not known.
std::optional<wire::Seconds> Controller::over_for(const std::string& uid) const {
    const auto at = keeper_.memory().over_since_ms(uid);
    if (!at) return std::nullopt;
    return std::max(wire::Seconds(0), wire::Seconds(std::chrono::milliseconds(ports_.time_of_day_ms() - *at)));
}

// Where the state service answers, whoever leads reads what is cancelled there; and a leader whose messages say that it
// has heard of it sees to it. A term that has read nothing yet does not know where tasks are.
bool Controller::somebody_knows(wire::TimePoint noted) const {
    const auto now = Clock::now();
    if (leader_term_ && leader_term_->loaded()) return leader_term_->heard_out();
    if (ports_.state.healthy(now)) return true;
    return std::any_of(peer_state_.begin(), peer_state_.end(), [&](const auto& entry) {
        const auto& [member, peer] = entry;
        if (now - peer.heard >= 3s) return false;
        return peer.state_ok || (peer.leading && cancellations_.has_heard(member, noted));
    });
}

bool Controller::blind() const {
    const auto now = Clock::now();
    if (keeper_.ready() || ports_.state.healthy(now)) return false;
    return std::none_of(peer_state_.begin(), peer_state_.end(), [&](const auto& entry) {
        const auto& peer = entry.second;
        return now - peer.heard < 3s && (peer.state_ok || peer.knows_records);
    });
}

wire::TimePoint Controller::told_until(wire::TimePoint looked) const {
    return cancellations_.known_at(looked, Clock::now());
}

void Controller::end_term() {
    ports_.state.set_leading(false);
    keeper_.deposed();
    if (leader_term_) leader_term_->stop();
    leader_term_.reset();
}

void Controller::start() {
    net::asio::co_spawn(ex_, elector_.run(), net::asio::detached);
    net::asio::co_spawn(ex_, members_.run(), net::asio::detached);
    net::asio::co_spawn(ex_, keeper_.run(), net::asio::detached);
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
    auto kept = co_await store_.range(catalog_key, std::string(), state::Urgency::bookkeeping);
    if (kept.outcome != state::Outcome::ok) co_return;
    kept_catalog_ = true;
    if (kept_types(kept.items).size() == types_.size()) co_return;
    // In as many values as it takes.
    std::size_t n = 0;
    for (std::size_t at = 0; at < types_.size(); ++n) {
        auto count = types_.size() - at;
        auto record = wire::catalog_record({types_.begin() + static_cast<std::ptrdiff_t>(at), types_.end()});
        while (count > 1 && !form_.fits(record)) {
            count = (count + 1) / 2;
            record = wire::catalog_record({types_.begin() + static_cast<std::ptrdiff_t>(at),
                                           types_.begin() + static_cast<std::ptrdiff_t>(at + count)});
        }
        at += count;
        const auto key = catalog_key + (n ? "/" + std::to_string(n) : std::string());
        const auto old =
            std::find_if(kept.items.begin(), kept.items.end(), [&](const auto& i) { return i.key == key; });
        state::Txn txn;
        txn.conditions.push_back({key, old == kept.items.end() ? 0 : old->stamp});
        txn.changes.push_back({key, std::move(record), 0});
        co_await store_.commit(std::move(txn), state::Urgency::bookkeeping);
    }
}

awaitable<void> Controller::recall_catalog() {
    auto kept = co_await store_.range(catalog_key, std::string(), state::Urgency::bookkeeping);
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
        peer::Beat b;
        b.member = settings_.member;
        b.leader = elector_.leader();
        b.term = elector_.term();
        b.state_ok = ports_.state.healthy(Clock::now());
        b.leading = elector_.leading();
        b.writes = ports_.state.take_write_demand();
        b.format = static_cast<std::uint32_t>(form_.format());
        share_writes(b.writes);
        if (leader_term_)
            for (auto& [uid, c] : leader_term_->scheduler().take_counts()) b.counts.push_back({uid, c.done, c.running});
        const auto word = keeper_.own_word();
        b.generation = word.generation;
        b.history = word.id;
        b.remembers = word.remembers;
        b.rebuilding = word.rebuilding;
        b.incarnation = incarnation_;
        b.word = cancellations_.say(Clock::now());
        reports_.describe(b);
        ports_.tell_peers(b);
        resign_if_deaf();
        // Until it is known whether anybody knows of a marker, nobody can be served.
        co_await net::sleep_for(keeper_.ready() ? 1000ms : 100ms);
    }
}

// A leader that reaches the state service and not the workers would keep its claim while every worker's lease runs out.
// Workers that it does not answer knock at the others, and in vain, for those send them back here: so where the others
// hear clearly more workers than this leader does, one of them shall lead.
void Controller::resign_if_deaf() {
    if (!leader_term_) return;
    const auto now = Clock::now();
    const auto hearing = leader_term_->scheduler().hearing(now);
    if (!hearing.deaf()) return;
    double redirects = 0;
    // Who hears no worker and no peer is cut off, and needs no other word. A few workers, as a new leader hears at
    // first when a zone is cut off and takes the other controllers with it, are reason enough to stay.
    bool alone = !settings_.peers.empty() && hearing.heard == 0;
    for (const auto& [member, peer] : peer_state_) {
        if (now - peer.heard >= 3s) continue;
        alone = false;
        if (peer.state_ok) redirects += peer.redirects;
    }
    spdlog::debug("event=hears_few expected={} heard={} redirects={:.0f}", hearing.expected, hearing.heard, redirects);
    if (!alone && redirects < static_cast<double>(hearing.heard) + static_cast<double>(hearing.expected) / 4) return;
    spdlog::info("event=deaf expected={} heard={} redirects={:.0f}", hearing.expected, hearing.heard, redirects);
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

void Controller::received(const peer::Beat& beat) {
    using From = peer::Incarnations::From;
    const auto from = incarnations_.heard(beat.member, beat.incarnation, beat.connection);
    if (from == From::former) return;  // held on its way: what it says of itself is true of nobody
    if (from == From::next) peer_state_.erase(beat.member);
    for (const auto& uid : beat.word.lately) note_cancelled(uid);
    cancellations_.heard(beat.member, beat.incarnation, incarnation_, beat.word, Clock::now());
    elector_.heard(beat.term, beat.leader);
    form_.all_read(beat.format);
    keeper_.heard(beat.member, {beat.generation, beat.remembers, beat.history, beat.rebuilding, {}});
    auto& peer = peer_state_[beat.member];
    peer = {
        Clock::now(),       beat.state_ok, beat.leading, beat.writes, peer.redirects * redirects_kept + beat.redirects,
        beat.generation > 0};
    reports_.received(beat);
    if (counts_.size() > max_counts) counts_.clear();
    for (const auto& c : beat.counts) counts_[c.uid] = {c.done, c.running};
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
    if ((!members_.enrolled() || !keeper_.ready()) && ports_.state.healthy(now))
        return reply(503, wire::error_body("not enrolled yet"));
    if (types_.empty()) return reply(503, wire::error_body("the machine types are not known yet"));
    return reply(200, "{\"ready\":true}");
}

// A report has arrived, directly or relayed.
void Controller::note_report(const wire::WorkerReport& r) {
    if (r.token > elector_.term()) elector_.heard(r.token, std::string());
    fencer_.heard(r.machine);
    // Between this leader's term and the one on record before it there was none, unless the records of one were lost.
    if (elector_.leading() && keeper_.ready() && r.token > std::max(term_.previous, keeper_.rebuilt_under()) &&
        r.token < term_.number)
        keeper_.doubt("a worker has seen a term that is not on record", recovery::Keeper::Loss::beyond_memory);
}

ReportService::Links Controller::report_links() {
    ReportService::Links links;
    links.noticed = [this](const wire::WorkerReport& r) { note_report(r); };
    links.leading = [this] { return elector_.leading(); };
    links.rebuilding = [this] { return keeper_.rebuilding() != 0; };
    links.leader_term = [this] { return leader_term_; };
    links.own_term = [this] { return term_.number; };
    links.newest_term = [this] { return elector_.term(); };
    links.leader = [this] { return elector_.leader(); };
    links.leaderless = [this] { return leaderless(); };
    links.state_healthy = [this] { return ports_.state.healthy(Clock::now()); };
    links.told_until = [this] { return told_until(follower_leases_.looked_at()); };
    links.shown = [this](const wire::WorkerReport& r) { keeper_.shown(r); };
    links.send = [this](const std::string& member, const peer::RelayMessage& m) { return ports_.relay(member, m); };
    return links;
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
