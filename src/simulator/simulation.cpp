#include "simulator/simulation.hpp"

#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include <cmath>

#include "model/heartbeat.hpp"
#include "model/job.hpp"
#include "model/machine.hpp"
#include "simulator/jobs.hpp"
#include "state/generation_marker.hpp"

namespace flintdale::simulator {

using namespace std::chrono_literals;
namespace json = boost::json;

namespace {
constexpr auto step = 5ms;  // of virtual time
constexpr std::int64_t epoch_ms = 1'700'000'000'000;
constexpr Seconds user_patience{5}, poll_patience{2}, poll_gap{5}, served_within{90}, disturbed_after{45},
    forgotten_after{75}, left_waiting_for{90}, left_look{2}, largest_within{240};
constexpr double large = 0.75;  // of the greatest number of tasks
}  // namespace

class Simulation::CloudLink : public cloud::Cloud {
  public:
    CloudLink(Events& events, Fleet& fleet, const Scenario& scenario)
        : events_(events), fleet_(fleet), scenario_(scenario) {}
    bool cut = false;

    net::awaitable<std::optional<std::vector<model::MachineType>>> catalog() override {
        const bool there = co_await reach();
        if (!there) co_return std::nullopt;
        co_return scenario_.types;
    }
    net::awaitable<std::optional<std::vector<model::ListedMachine>>> machines() override {
        const bool there = co_await reach();
        if (!there) co_return std::nullopt;
        co_return fleet_.list();
    }
    net::awaitable<cloud::RentResult> rent(std::string request, std::string type, std::string zone, bool spot,
                                           int count) override {
        const bool there = co_await reach();
        if (!there) co_return cloud::RentResult{};
        co_return fleet_.rent(request, type, zone, spot, count);
    }
    net::awaitable<bool> release(std::vector<std::string> names) override {
        const bool there = co_await reach();
        if (there) fleet_.release(names);
        co_return there;
    }

  private:
    net::awaitable<bool> reach() {
        co_await net::sleep_for(model::to_clock(Seconds(events_.uniform(0.05, 0.25))));
        co_return !cut && !fleet_.down;
    }
    Events& events_;
    Fleet& fleet_;
    const Scenario& scenario_;
};

class Simulation::WorkersLink : public worker::Workers {
  public:
    WorkersLink(Events& events, Fleet& fleet) : events_(events), fleet_(fleet) {}
    std::function<bool(const std::string& zone)> reaches;

    net::awaitable<std::optional<model::Heartbeat>> status(std::string address) override {
        co_await net::sleep_for(model::to_clock(Seconds(events_.uniform(0.002, 0.02))));
        const auto report = reaches(fleet_.zone_of(address)) ? fleet_.status(address) : std::nullopt;
        if (report) co_return wire::parse_heartbeat(*report);
        co_await net::sleep_for(1500ms);
        co_return std::nullopt;
    }

  private:
    Events& events_;
    Fleet& fleet_;
};

// One controller; each life has its own executor, so that what was under way when it ended never goes on.
struct Simulation::Node {
    struct Process {
        net::asio::io_context io{1};
        state::RecordFormat record_format;
        StateLink state;
        CloudLink cloud;
        WorkersLink workers;
        app::Controller controller;
        Process(Simulation& w, std::size_t n, const config::Settings& settings)
            : record_format(settings),
              state(io.get_executor(), w.events_, w.keys_, settings.store_limits, settings.controllers),
              cloud(w.events_, w.fleet_, w.scenario_),
              workers(w.events_, w.fleet_),
              controller(
                  io.get_executor(), settings, w.operator_settings_, record_format,
                  {state, cloud, workers, [&w, n](const peer::StatusMessage& b) { w.broadcast_status(n, b); },
                   [&w] { return epoch_ms + std::llround(w.events_.since_start().count() * 1000); },
                   [&w, n](const std::string& member, const peer::RelayMessage& m) { return w.relay(n, member, m); }}) {
            state.outage = &w.outage_;
            workers.reaches = [&w, n](const std::string& zone) {
                return w.reaches(zone, n) && !w.nodes_[n]->cut_workers;
            };
            state.late = w.scenario_.late;
            state.late_now = &w.late_writes_;
            state.slow = w.scenario_.slow;
            state.slowest = w.scenario_.slowest;
            controller.start();
        }
    };
    std::unique_ptr<Process> process;
    TimePoint frozen_until{};
    TimePoint due{};    // its earliest timer
    bool told = false;  // something has reached it since it last ran
    bool cut_state = false, refused = false, cut_workers = false, cut_peers = false;
};

std::string Simulation::settings_text(std::size_t n) const {
    std::string out =
        fmt::format("member = \"{}\"\nlocation = \"{}\"\nserve_on = \"10.0.0.{}:80\"\npeer_listen = \"10.0.0.{}:81\"\n",
                    scenario_.members[n], scenario_.member_zones[n], n + 1, n + 1);
    for (std::size_t i = 0; i < scenario_.members.size(); ++i)
        if (i != n)
            out += fmt::format("[[seeds]]\nmember = \"{}\"\nlocation = \"{}\"\naddr = \"10.0.0.{}:81\"\n",
                               scenario_.members[i], scenario_.member_zones[i], i + 1);
    return out + "[endpoints]\ncloud = \"10.2.0.2:80\"\nstate = \"10.2.0.1:80\"\n" + scenario_.cluster;
}

Simulation::Simulation(const Scenario& scenario, std::uint64_t seed)
    : scenario_(scenario),
      events_(seed),
      settings_([&] {
          std::vector<config::Settings> out;
          for (std::size_t n = 0; n < scenario.members.size(); ++n)
              out.push_back(config::parse_settings(settings_text(n), scenario.name));
          return out;
      }()),
      keys_(events_),
      checker_(events_, settings_[0]),
      fleet_(events_, checker_, settings_[0], scenario,
             [this](std::size_t node, const Origin& from, net::Request r, Seconds patience, auto done) {
                 ask(node, from.zone, std::move(r), patience, std::move(done));
             }) {
    outcome_.seed = seed;
    operator_settings_.job_cache_size = scenario.known_jobs;
    operator_settings_.direct_share = scenario.direct_share;
}

Simulation::~Simulation() = default;

// --- controllers ---

void Simulation::start_node(std::size_t n) {
    auto& node = *nodes_[n];
    node.process = std::make_unique<Node::Process>(*this, n, settings_[n]);
    node.told = true;
    node.process->state.cut = node.cut_state;
    node.process->state.refused = node.refused;
}

void Simulation::end_node(std::size_t n, Seconds back_after) {
    if (!nodes_[n]->process) return;
    nodes_[n]->process.reset();
    events_.after(back_after, [this, n] { start_node(n); });
}

bool Simulation::reaches(const std::string& zone, std::size_t node) const {
    const auto& there = scenario_.member_zones[node];
    // A cut zone goes on inside; users are of no zone.
    return zone == there || (!cut_zones_.contains(zone) && !cut_zones_.contains(there));
}

std::size_t Simulation::any_node() { return events_.pick(nodes_.size()); }

void Simulation::ask(std::size_t n, const std::string& zone, net::Request request, Seconds patience,
                     std::function<void(unsigned, const std::string&)> done) {
    struct Call {
        std::function<void(unsigned, const std::string&)> done;
        void end(unsigned status, const std::string& body) {
            if (auto d = std::exchange(done, nullptr)) d(status, body);
        }
    };
    auto call = std::make_shared<Call>();
    call->done = std::move(done);
    events_.after(patience, [call] { call->end(0, ""); });
    const bool worker = !zone.empty();
    const bool open = reaches(zone, n) && !(worker && nodes_[n]->cut_workers);
    if (!nodes_[n]->process) {
        events_.after(Seconds(0.02), [call] { call->end(0, ""); });
        return;
    }
    // What is held on its way may come much later, when nobody waits for the answer.
    const auto held = [this, worker] {
        return worker && held_ > 0 && events_.chance(held_) ? events_.uniform(0.5, held_most_.count()) : 0.0;
    };
    const auto way = open ? events_.uniform(0.001, 0.02) + held() : events_.uniform(5, 60);
    if (!open && events_.chance(0.7)) return;
    events_.after(Seconds(way), [this, n, call, zone, worker, held, request = std::move(request)]() mutable {
        auto& process = nodes_[n]->process;
        nodes_[n]->told = true;
        if (!process || !reaches(zone, n) || (worker && nodes_[n]->cut_workers)) return;
        net::asio::co_spawn(process->io, process->controller.handle(std::move(request)),
                            [this, call, n, zone, held](std::exception_ptr error, net::Reply reply) {
                                if (error) std::rethrow_exception(error);
                                if (!reaches(zone, n)) return;
                                events_.after(
                                    Seconds(events_.uniform(0.001, 0.02) + held()),
                                    [call, reply = std::move(reply)] { call->end(reply.status, reply.body); });
                            });
    });
}

bool Simulation::peers_reach(std::size_t from, std::size_t to) const {
    return from != to && !nodes_[from]->cut_peers && !nodes_[to]->cut_peers &&
           reaches(scenario_.member_zones[from], to);
}

void Simulation::post(std::size_t to, std::function<void(app::Controller&)> what) {
    events_.after(Seconds(events_.uniform(0.001, 0.02)), [this, to, what = std::move(what)] {
        nodes_[to]->told = true;
        if (!nodes_[to]->process) return;
        net::asio::post(nodes_[to]->process->io, [this, to, what] { what(nodes_[to]->process->controller); });
    });
}

void Simulation::broadcast_status(std::size_t from, const peer::StatusMessage& status) {
    for (std::size_t n = 0; n < nodes_.size(); ++n)
        if (peers_reach(from, n)) post(n, [status](app::Controller& c) { c.received(status); });
}

bool Simulation::relay(std::size_t from, const std::string& member, const peer::RelayMessage& message) {
    const auto at = std::find(scenario_.members.begin(), scenario_.members.end(), member);
    const auto to = static_cast<std::size_t>(at - scenario_.members.begin());
    if (at == scenario_.members.end() || !nodes_[to]->process) return false;
    // What is cut is not noticed at once: the message is on its way, and lost.
    if (!peers_reach(from, to)) return true;
    ++outcome_.relayed;
    post(to, [bytes = peer::encode(message)](app::Controller& c) { c.relayed(peer::decode_relay(bytes)); });
    return true;
}

// --- users ---

void Simulation::arrivals(const JobClass& c) {
    if (c.per_minute <= 0) return;
    const Seconds gap(-std::log(1 - events_.uniform(0, 1)) * 60 / c.per_minute);
    events_.after(gap, [this, &c] {
        for (int i = 0; i < std::lround(burst_); ++i) new_job(c);
        arrivals(c);
    });
}

void Simulation::new_job(const JobClass& c) {
    auto job = std::make_shared<UserJob>();
    job->spec = new_job_spec(c, ++uids_, events_);
    job->submitted = job->no_room = events_.now();
    if (events_.chance(c.cancelled)) job->cancel_after = Seconds(events_.uniform(c.cancel_from, c.cancel_to));
    fleet_.upload(job->spec, Seconds(c.runs_s * events_.uniform(0.8, 1.2)));
    checker_.submitted(job->spec);
    jobs_.push_back(job);
    submit(job, events_.now() + 60s);
}

void Simulation::submit(const std::shared_ptr<UserJob>& job, TimePoint until) {
    const auto asked = events_.now();
    const auto n = any_node();
    ask(n, "", submission_request(job->spec), user_patience,
        [this, job, until, asked, n](unsigned status, const std::string& text) {
            if (status == 200 || status == 201) {
                job->accepted = true;
                job->accepted_at = events_.now();
                ++outcome_.accepted;
                checker_.accepted(job->spec.uid);
                told(job->spec.uid, std::string(wire::parse_object(text).at("status").as_string()), asked, n);
                events_.after(poll_gap, [this, job] { poll(job); });
                if (job->cancel_after.count() >= 0)
                    events_.after(job->cancel_after, [this, job] { cancel(job); });
                else if (events_.chance(0.2))
                    events_.after(Seconds(events_.uniform(0.5, 90)), [this, job] { submit_again(job); });
            } else if (events_.now() < until) {
                events_.after(Seconds(events_.uniform(1, 2)), [this, job, until] { submit(job, until); });
            }
        });
}

void Simulation::submit_again(const std::shared_ptr<UserJob>& job) { again(job, 0); }

// The same submission, or one that by itself would be refused: a job once accepted stays so, whatever its repetition
// says, and is told as it is.
void Simulation::again(const std::shared_ptr<UserJob>& job, double unlike) {
    auto spec = job->spec;
    if (events_.chance(unlike)) spec.team = "nobody";
    auto r = submission_request(spec);
    if (events_.chance(unlike)) {
        auto body = json::parse(r.body).as_object();
        body.erase("guess_s");
        r.body = json::serialize(body);
    }
    const auto asked = events_.now();
    const auto n = any_node();
    ask(n, "", std::move(r), user_patience, [this, job, asked, n](unsigned status, const std::string& text) {
        if (status == 400 || status == 422 || status == 404) checker_.told_unknown(job->spec.uid);
        if (status == 200 || status == 201)
            told(job->spec.uid, std::string(wire::parse_object(text).at("status").as_string()), asked, n);
    });
}

// Users call off jobs that run and have long to go, all within a fifth of a second; some of their machines hang.
void Simulation::cancel_now(const Fault& t) {
    auto most = static_cast<std::size_t>(t.share);
    std::size_t hanging = 8;
    for (const auto& job : jobs_) {
        if (!most) return;
        const bool runs = job->accepted && !job->over && !job->cancelling && checker_.on_now(job->spec.uid) > 0;
        if (!runs || checker_.all_done(job->spec.uid)) continue;
        --most;
        job->cancel_after = Seconds(0);
        if (t.seconds > 0 && hanging) {
            const auto some = std::min<std::size_t>(hanging, 2);
            hanging -= some;
            fleet_.hang_with(job->spec.uid, some, Seconds(t.seconds));
        }
        events_.after(Seconds(events_.uniform(0, 0.2)), [this, job] { cancel(job); });
    }
}

// The moment at which a job's last task completes: called off, asked about and submitted again.
void Simulation::look_for_ends() {
    if (cancels_at_end_ <= 0) return;
    for (const auto& job : jobs_) {
        if (!job->accepted || job->ended || !checker_.all_done(job->spec.uid)) continue;
        job->ended = true;
        if (!events_.chance(cancels_at_end_)) continue;
        ++outcome_.called_off_at_end;
        const auto soon = [this](auto what) { events_.after(Seconds(events_.uniform(0, 0.3)), what); };
        for (int i = 0; i < 2; ++i) {
            if (!job->cancelling) soon([this, job] { cancel(job); });
            soon([this, job] { again(job, 0.3); });
        }
    }
}

// Repeated submissions of unfinished jobs, cancellations of jobs that are done, jobs that cannot run or lack a field.
void Simulation::odd_requests(TimePoint until) {
    if (events_.now() > until) return;
    if (!jobs_.empty()) {
        const auto job = jobs_[events_.pick(jobs_.size())];
        if (job->accepted && !job->over) again(job, 0.4);
        if (job->done) cancel(job);
    }
    unsound_job(events_.pick(5));
    events_.after(Seconds(events_.uniform(0.2, 1)), [this, until] { odd_requests(until); });
}

void Simulation::unsound_job(std::size_t kind) {
    auto spec = scenario_.jobs[events_.pick(scenario_.jobs.size())].like;
    spec.uid = fmt::format("run-{:07}", 4'000'000 + events_.pick(5'000'000));
    spec.image = "x";
    if (kind == 0) spec.need.cpus = 10'000;
    if (kind == 1) spec.zone = "nowhere";
    if (kind == 2) spec.types = {"unheard-of"};
    auto r = submission_request(spec);
    if (kind >= 3) {
        auto body = json::parse(r.body).as_object();
        const char* fields[] = {"jobclass", "owner", "shape", "shards", "cores", "bundle", "one_zone", "flush_s"};
        if (kind == 3) body.erase(fields[events_.pick(std::size(fields))]);
        if (kind == 4) body["shards"] = -1;
        r.body = json::serialize(body);
    }
    ++outcome_.odd;
    ask(any_node(), "", std::move(r), user_patience, [this, uid = spec.uid](unsigned status, const std::string&) {
        if (status == 200 || status == 201) checker_.accepted_unsound(uid);
        outcome_.odd_refused += status == 400 || status == 422;
    });
}

void Simulation::poll(const std::shared_ptr<UserJob>& job) {
    net::Request r;
    r.target = "/submissions/" + job->spec.uid;
    const auto asked = events_.now();
    const auto n = any_node();
    ask(n, "", std::move(r), poll_patience, [this, job, asked, n](unsigned status, const std::string& body) {
        if (status == 200) {
            const std::string word(wire::parse_object(body).at("status").as_string());
            told(job->spec.uid, word, asked, n);
            job->answered = events_.now();
            if (unanswered_since_) {
                outcome_.answers_after =
                    std::max(outcome_.answers_after, Seconds(events_.now() - *unanswered_since_).count());
                unanswered_since_.reset();
            }
            if (!job->over && word == "done") ++outcome_.done, job->done = true;
            if (!job->over && word == "aborted") ++outcome_.cancelled;
            job->over = job->over || word == "done" || word == "aborted";
        } else if (status == 404) {
            checker_.told_unknown(job->spec.uid);
        }
        // Of what is over users ask now and then.
        events_.after(job->over ? Seconds(events_.uniform(20, 60)) : poll_gap, [this, job] { poll(job); });
    });
}

void Simulation::cancel(const std::shared_ptr<UserJob>& job) {
    if (job->over && !job->done) return;
    job->cancelling = true;
    checker_.asked_to_cancel(job->spec.uid);
    net::Request r;
    r.verb = net::http::verb::post;
    r.target = "/submissions/" + job->spec.uid + "/cancel";
    const auto asked = events_.now();
    const auto n = any_node();
    ask(n, "", std::move(r), user_patience, [this, job, asked, n](unsigned status, const std::string& body) {
        if (status == 200) {
            const std::string word(wire::parse_object(body).at("status").as_string());
            told(job->spec.uid, word, asked, n);
            job->answered = events_.now();
            if (!job->over && word == "aborted") ++outcome_.cancelled;
            if (!job->over && word == "done") ++outcome_.done, job->done = true;
            job->over = true;
            return;
        }
        if (status == 404) checker_.told_unknown(job->spec.uid);
        events_.after(Seconds(events_.uniform(1, 2)), [this, job] { cancel(job); });
    });
}

void Simulation::told(const std::string& uid, const std::string& word, TimePoint asked, std::size_t node) {
    const auto before = checker_.cancelled_running();
    outcome_.words += checker_.final_told(uid);
    checker_.told(uid, word, asked);
    if (checker_.cancelled_running() == before) return;
    // Only what the old leader cannot read of counts: told by another, since the state service was taken from it.
    if (alone_ && *alone_ != node) ++outcome_.met_cancelled;
    step_seen("cancelled");
}

void Simulation::ask_of_nobody() {
    net::Request r;
    const auto uid = fmt::format("run-{:07}", 2'000'000 + events_.pick(1'000'000));
    r.target = "/submissions/" + uid;
    ask(any_node(), "", std::move(r), poll_patience, [this, uid](unsigned status, const std::string& body) {
        if (status == 200)
            checker_.told(uid, std::string(wire::parse_object(body).at("status").as_string()), events_.now());
    });
    events_.after(Seconds(3), [this] { ask_of_nobody(); });
}

// --- troubles ---

std::vector<std::size_t> Simulation::nodes_of(const Fault& t) const {
    std::vector<std::size_t> out;
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
        const bool leads = nodes_[n]->process && nodes_[n]->process->controller.leading();
        if (t.node == "all" || t.node == scenario_.members[n] || (t.node == "leader" && leads) ||
            (t.node == "follower" && !leads && out.empty()) || (t.node == "followers" && !leads))
            out.push_back(n);
    }
    return out;
}

void Simulation::loses_data(const Fault& t) {
    const auto here = fleet_.running();
    ++outcome_.losses;
    lost_at_ = unanswered_since_ = events_.now();
    if (t.kind == "wipe") keys_.wipe();
    if (t.kind == "set_back") keys_.set_back(Seconds(t.seconds));
    if (t.kind == "lose") outcome_.lost_keys += keys_.lose(t.prefix);
    if (t.kind == "age") keys_.age(t.prefix, 3);
    if (t.kind == "garble") keys_.garble(t.prefix, 3);
    events_.after(disturbed_after, [this, here] {
        std::size_t all = 0, same = 0;
        const auto began = events_.now() - model::to_clock(disturbed_after);
        for (const auto& [task, machine] : here) {
            const bool cancelled = std::any_of(jobs_.begin(), jobs_.end(), [&uid = task.first](const auto& j) {
                return j->spec.uid == uid && j->cancel_after.count() >= 0;
            });
            if (!fleet_.alive(machine) || cancelled) continue;
            const auto it = fleet_.stopped.find(task);
            ++all;
            same += it == fleet_.stopped.end() || it->second < began;
        }
        if (all)
            outcome_.undisturbed = std::min(outcome_.undisturbed, static_cast<double>(same) / static_cast<double>(all));
    });
}

void Simulation::trouble(const Fault& t) {
    outcome_.troubles.push_back(fmt::format("{:.1f} {} {}{}{} {:.1f}", t.at.count(), t.kind, t.node, t.zone, t.prefix,
                                            t.kind == "set_back" ? t.seconds : t.lasts.count()));
    spdlog::info("event=fault_injected at={:.1f} kind={}", events_.since_start().count(), t.kind);
    if (t.kind == "refused" || t.kind == "cut_state" || t.kind == "isolate")
        for (const auto n : nodes_of(t))
            if (!alone_ && nodes_[n]->process && nodes_[n]->process->controller.leading()) {
                alone_ = n;
                alone_since_ = events_.now();
                events_.after(t.lasts, [this] { alone_.reset(); });
            }
    if (t.kind == "outage" && alone_ && t.lasts > settings_[0].cancel_deadline) {
        outcome_.met_workers = fleet_.answered_by(*alone_, settings_[0].heartbeat_interval * 1.5);
        outcome_.met_answers = fleet_.last_answer[*alone_] > alone_since_ + 100ms;
    }
    const auto until = [&](std::function<void()> end) { events_.after(t.lasts, std::move(end)); };
    const auto each = [&](bool Node::*flag, bool StateLink::*link) {
        for (const auto n : nodes_of(t)) {
            const auto set = [this, n, flag, link](bool on) {
                (*nodes_[n]).*flag = on;
                if (link && nodes_[n]->process) nodes_[n]->process->state.*link = on;
            };
            set(true);
            until([set] { set(false); });
        }
    };
    if (t.kind == "wipe" || t.kind == "set_back" || t.kind == "lose" || t.kind == "age" || t.kind == "garble")
        loses_data(t);
    else if (t.kind == "crash") {
        for (const auto n : nodes_of(t)) end_node(n, t.lasts);
        if (t.times > 1) {
            auto again = t;
            again.times = t.times - 1;
            again.at = t.at + Seconds(t.every);
            events_.after(Seconds(t.every), [this, again] { trouble(again); });
        }
    } else if (t.kind == "end_claims")
        keys_.end_all();
    else if (t.kind == "burst") {
        // Of one class, or of all; each job that comes anyway comes in so many copies.
        burst_ = std::max(1.0, t.share);
        until([this] { burst_ = 1; });
    } else if (t.kind == "freeze")
        for (const auto n : nodes_of(t)) nodes_[n]->frozen_until = events_.now() + model::to_clock(t.lasts);
    else if (t.kind == "cut_state")
        each(&Node::cut_state, &StateLink::cut);
    else if (t.kind == "isolate") {
        // From the state service and the other controllers, not from workers and users.
        each(&Node::cut_state, &StateLink::cut);
        each(&Node::cut_peers, nullptr);
        for (const auto n : nodes_of(t))
            events_.after(Seconds(5),
                          [this, n, end = events_.now() + model::to_clock(t.lasts)] { ask_whether_ready(n, end); });
    } else if (t.kind == "refused")
        each(&Node::refused, &StateLink::refused);
    else if (t.kind == "cut_workers")
        each(&Node::cut_workers, nullptr);
    else if (t.kind == "cut_peers")
        each(&Node::cut_peers, nullptr);
    else if (t.kind == "outage") {
        outage_ = true;
        until([this] {
            outage_ = false;
            keys_.prolong();
        });
    } else if (t.kind == "cut_zone") {
        cut_zones_.insert(t.zone);
        // The state service is outside.
        for (std::size_t n = 0; n < nodes_.size(); ++n)
            if (scenario_.member_zones[n] == t.zone) {
                nodes_[n]->cut_state = true;
                if (nodes_[n]->process) nodes_[n]->process->state.cut = true;
            }
        until([this, zone = t.zone] {
            cut_zones_.erase(zone);
            for (std::size_t n = 0; n < nodes_.size(); ++n)
                if (scenario_.member_zones[n] == zone) {
                    nodes_[n]->cut_state = false;
                    if (nodes_[n]->process) nodes_[n]->process->state.cut = false;
                }
        });
    } else if (t.kind == "cloud_down") {
        fleet_.down = true;
        until([this] { fleet_.down = false; });
    } else if (t.kind == "machines_deaf")
        fleet_.deafen(t.share, t.lasts);
    else if (t.kind == "late_reports") {
        fleet_.late_reports = t.share;
        until([this] { fleet_.late_reports = 0; });
    } else if (t.kind == "late_writes") {
        late_writes_ = t.share;
        until([this] { late_writes_ = 0; });
    } else if (t.kind == "held") {
        held_ = t.share;
        held_most_ = Seconds(std::max(0.5, t.seconds));
        until([this] { held_ = 0; });
    } else if (t.kind == "machines_mute")
        fleet_.mute(t.share, t.lasts);
    else if (t.kind == "cancel_now")
        cancel_now(t);
    else if (t.kind == "cancel_at_end") {
        cancels_at_end_ = t.share;
        until([this] { cancels_at_end_ = 0; });
    } else if (t.kind == "odd_requests")
        odd_requests(events_.now() + model::to_clock(t.lasts));
    else if (t.kind == "machines_die")
        fleet_.die(t.share);
    else if (t.kind == "machines_hang")
        fleet_.hang(t.share, t.lasts);
    else if (t.kind == "machines_cut")
        fleet_.cut(t.share, t.lasts);
    else
        throw config::ConfigError(scenario_.name + ": troubles: unknown kind \"" + t.kind + "\"");
}

// The n-th trouble of the scenario comes now, or so long after; and then those that come after it.
void Simulation::plan(std::size_t n) {
    auto t = scenario_.troubles[n];
    if (t.at_to > t.at) t.at = Seconds(events_.uniform(t.at.count(), t.at_to.count()));
    if (t.lasts_to > t.lasts) t.lasts = Seconds(events_.uniform(t.lasts.count(), t.lasts_to.count()));
    const bool happens = t.chance >= 1 || events_.chance(t.chance);
    if (happens)
        troubles_over_ = std::max(troubles_over_,
                                  events_.now() + model::to_clock(t.at + t.lasts + (t.times - 1) * Seconds(t.every)));
    events_.after(t.at, [this, n, t, happens] {
        if (happens) trouble(t);
        if (n + 1 >= scenario_.troubles.size() || scenario_.troubles[n + 1].after.empty()) return;
        if (scenario_.troubles[n + 1].after == "begun")
            plan(n + 1);
        else
            awaited_.emplace_back(scenario_.troubles[n + 1].after, [this, n] { plan(n + 1); });
    });
}

void Simulation::step_seen(const std::string& step) {
    auto waiting = std::exchange(awaited_, {});
    for (auto& [awaited, go] : waiting)
        if (awaited == step)
            go();
        else
            awaited_.emplace_back(std::move(awaited), std::move(go));
}

// Troubles by luck: several at once, and again while the last is being mended.
void Simulation::draw_troubles() {
    std::vector<std::string> common{"crash",       "freeze",       "cut_state",     "refused",
                                    "cut_workers", "cut_peers",    "outage",        "cut_zone",
                                    "cloud_down",  "machines_die", "machines_hang", "machines_cut"};
    // Only where a scenario asks for it, so that the others stay what they were.
    if (scenario_.slow > 0) common.insert(common.end(), {"end_claims", "burst", "crash"});
    static const std::vector<std::string> losses{"wipe", "set_back", "lose", "set_back", "wipe"};
    static const std::vector<std::string> nodes{"leader", "all", "follower", "followers", "leader"};
    const double length = scenario_.length.count();
    const auto n = static_cast<std::size_t>(std::llround(events_.uniform(0.5, 1.5) * scenario_.drawn));
    const double heart = events_.uniform(0.25, 0.5) * length;
    const auto plan = [&](Fault t) {
        troubles_over_ = std::max(troubles_over_, events_.now() + model::to_clock(t.at + t.lasts));
        events_.after(t.at, [this, t] { trouble(t); });
    };
    for (std::size_t i = 0; i < n; ++i) {
        Fault t;
        t.kind = common[events_.pick(common.size())];
        // Most come close together.
        t.at = Seconds(events_.chance(0.7) ? heart + events_.uniform(-15, 25) : events_.uniform(10, length * 0.7));
        t.lasts = Seconds(t.kind == "crash" ? events_.uniform(scenario_.restart_from, scenario_.restart_to)
                                            : events_.uniform(3, 45));
        t.share = events_.uniform(0.05, 0.5) * (t.kind == "burst" ? 20 : 1);
        if (scenario_.slow > 0 && t.kind == "crash" && events_.chance(0.3)) {
            t.times = std::floor(events_.uniform(2, 6));
            t.every = events_.uniform(0.3, 3);
        }
        t.node = nodes[events_.pick(nodes.size())];
        t.zone = settings_[0].zones[events_.pick(settings_[0].zones.size())];
        plan(t);
    }
    if (!scenario_.draws_losses) return;
    const auto many = 1 + events_.pick(2);
    for (std::size_t i = 0; i < many; ++i) {
        Fault t;
        t.kind = losses[events_.pick(losses.size())];
        t.at = Seconds(i == 0 ? heart : heart + events_.uniform(0.2, 30));
        t.seconds = events_.uniform(0.5, 40);
        const char* prefixes[] = {"jobs/", "jobs/work/", "jobs/over/", "recovery/", "lead/", "members/"};
        t.prefix = prefixes[events_.pick(6)];
        plan(t);
    }
}

// Two troubles that meet: the second begins while the first is being dealt with, after a step that was seen since.
void Simulation::draw_pairs() {
    static const std::vector<std::string> kinds{
        "crash",        "freeze",        "cut_state",    "refused",       "isolate",      "cut_workers",
        "cut_peers",    "outage",        "cut_zone",     "cloud_down",    "machines_die", "machines_hang",
        "machines_cut", "machines_deaf", "late_reports", "late_writes",   "held",         "end_claims",
        "refused",      "outage",        "isolate",      "machines_deaf", "late_writes",  "crash"};
    static const std::vector<std::string> nodes{"leader", "leader", "all", "follower", "followers"};
    static const std::vector<std::string> steps{"", "elected", "cancelled"};
    const double length = scenario_.length.count();
    const auto draw = [this] {
        Fault t;
        t.kind = kinds[events_.pick(kinds.size())];
        const bool ends = t.kind == "crash";
        t.lasts =
            Seconds(ends ? events_.uniform(scenario_.restart_from, scenario_.restart_to) : events_.uniform(3, 75));
        t.share = events_.uniform(0.1, 0.5);
        t.seconds = 6;
        t.node = nodes[events_.pick(nodes.size())];
        t.zone = settings_[0].zones[events_.pick(settings_[0].zones.size())];
        if (ends && events_.chance(0.3)) {
            t.times = std::floor(events_.uniform(2, 4));
            t.every = events_.uniform(0.3, 3);
        }
        return t;
    };
    const auto begins = [this](Fault t) {
        t.at = events_.since_start();
        troubles_over_ = std::max(troubles_over_, events_.now() + model::to_clock(t.lasts));
        trouble(t);
    };
    for (std::size_t i = 0; i < scenario_.pairs; ++i) {
        const auto first = draw(), second = draw();
        const auto& step = steps[events_.pick(steps.size())];
        const Seconds at(events_.uniform(0.2, 0.5) * length),
            after(events_.chance(0.5) ? events_.uniform(0, 1.5) : events_.uniform(0, 20));
        troubles_over_ = std::max(troubles_over_, events_.now() + model::to_clock(at));
        events_.after(at, [this, first, second, step, after, begins] {
            begins(first);
            const auto go = [this, second, after, begins] {
                troubles_over_ = std::max(troubles_over_, events_.now() + model::to_clock(after));
                events_.after(after, [second, begins] { begins(second); });
            };
            if (step.empty())
                go();
            else
                awaited_.emplace_back(step, go);
        });
    }
}

// --- a run ---

// Who has open work, and whether any of it is on a machine.
void Simulation::look_at_jobs() {
    std::map<std::string, bool> going;
    for (const auto& j : jobs_) {
        if (!j->accepted || j->over || checker_.all_done(j->spec.uid)) continue;
        if (!j->waited && checker_.ever(j->spec.uid) == j->spec.tasks) j->waited = events_.now() - j->accepted_at;
        const bool on = checker_.on_now(j->spec.uid) > 0;
        for (const auto& name : {"class " + j->spec.job_class, "team " + j->spec.team}) going[name] = going[name] || on;
    }
    std::erase_if(idle_since_, [&](const auto& idle) {
        const auto it = going.find(idle.first);
        return it == going.end() || it->second;
    });
    for (const auto& [name, on] : going) {
        if (on) continue;
        const auto since = idle_since_.try_emplace(name, events_.now()).first->second;
        const bool team = name.starts_with("team ");
        auto& who = (team ? outcome_.teams : outcome_.classes)[name.substr(name.find(' ') + 1)];
        who.longest_idle = std::max(who.longest_idle, Seconds(events_.now() - since).count());
    }
}

void Simulation::ask_whether_ready(std::size_t n, TimePoint until) {
    if (events_.now() + 2s > until) return;
    net::Request r;
    r.target = "/ready";
    ask(n, "", std::move(r), Seconds(1), [this](unsigned status, const std::string&) {
        outcome_.asked_alone += status != 0;
        outcome_.ready_alone += status == 200;
    });
    events_.after(Seconds(2), [this, n, until] { ask_whether_ready(n, until); });
}

void Simulation::look_at_leaders() {
    std::set<std::size_t> now;
    bool news = false;
    for (std::size_t n = 0; n < nodes_.size(); ++n)
        if (nodes_[n]->process && nodes_[n]->process->controller.leading()) {
            now.insert(n);
            news = news || !leading_.contains(n);
        }
    leading_ = std::move(now);
    outcome_.elections += news;
    if (news) step_seen("elected");
}

void Simulation::look_for_forgotten() {
    for (const auto& j : jobs_)
        if (j->accepted &&
            events_.now() - std::max({j->answered, j->accepted_at, troubles_over_}) > model::to_clock(forgotten_after))
            checker_.unanswered(j->spec.uid);
}

// Once all troubles are over, a job must not wait for long while machines that fit have room all that time and its team
// is under its limit: of a gang for all of it, of others for one task.
void Simulation::look_for_waiting() {
    for (const auto& j : jobs_) {
        const auto& spec = j->spec;
        const bool gang = spec.kind == model::JobKind::gang;
        const auto placed = std::min<std::size_t>(spec.tasks, fleet_.held(spec.uid) + checker_.done_of(spec.uid));
        const std::size_t least = gang ? spec.tasks : 1;
        bool left = j->accepted && !j->over && !j->cancelling && (gang ? placed == 0 : placed < spec.tasks) &&
                    events_.now() > troubles_over_ && checker_.within_limit(spec, least);
        if (left) {
            auto room = fleet_.room_on(spec);
            if (events_.now() - j->no_room <= left_look * 1.5) j->beside = room;
            Fleet::Room still;
            for (const auto& [name, slots] : j->beside)
                if (const auto it = room.find(name); it != room.end()) still[name] = std::min(slots, it->second);
            j->beside = std::move(still);
            left = fleet_.room_for(spec, j->beside) >= least;
        }
        if (!left) j->no_room = events_.now();
        const Seconds waits = events_.now() - j->no_room;
        outcome_.longest_left = std::max(outcome_.longest_left, waits.count());
        if (waits > left_waiting_for) {
            checker_.left_waiting(spec.uid + " beside " + j->beside.begin()->first);
            j->no_room = events_.now();
        }
    }
    events_.after(left_look, [this] { look_for_waiting(); });
}

void Simulation::look() {
    checker_.look();
    look_at_jobs();
    look_at_leaders();
    look_for_forgotten();
    if (const auto marker = state::parse_marker(keys_.get(state::marker_key));
        marker && marker->generation > outcome_.rebuilt) {
        outcome_.rebuilt = marker->generation;
        declared_at_ = events_.since_start().count();
    }
    if (lost_at_ && fleet_.last_start > *lost_at_ + model::to_clock(Seconds(1))) {
        outcome_.placing_after = std::max(outcome_.placing_after, Seconds(fleet_.last_start - *lost_at_).count());
        lost_at_.reset();
    }
    events_.after(Seconds(0.5), [this] { look(); });
}

Outcome Simulation::play() {
    for (std::size_t n = 0; n < scenario_.members.size(); ++n) {
        nodes_.push_back(std::make_unique<Node>());
        start_node(n);
    }
    fleet_.warm_up(scenario_.warm);
    for (const auto& c : scenario_.jobs) {
        for (int i = 0; i < c.initial; ++i) events_.after(Seconds(events_.uniform(0.5, 4)), [this, &c] { new_job(c); });
        arrivals(c);
    }
    for (std::size_t n = 0; n < scenario_.troubles.size(); ++n)
        if (scenario_.troubles[n].after.empty()) plan(n);
    draw_troubles();
    draw_pairs();
    ask_of_nobody();
    look();
    look_for_waiting();
    while (events_.since_start() < scenario_.length) {
        events_.advance(step);
        look_for_ends();
        for (auto& node : nodes_)
            if (node->process && events_.now() >= node->frozen_until && (node->told || events_.now() >= node->due)) {
                node->told = false;
                net::WaitTraits::earliest = model::to_clock(Seconds(1));
                node->process->io.restart();
                node->process->io.poll();
                node->due = events_.now() + net::WaitTraits::earliest;
            }
        if (!awaited_.empty()) look_at_leaders();
    }
    outcome_.broken = checker_.broken();
    outcome_.first = checker_.first();
    outcome_.forgotten = checker_.forgotten();
    outcome_.machines = fleet_.up();
    outcome_.started = fleet_.started;
    outcome_.lease_kills = fleet_.lease_kills;
    outcome_.cancelled_running = checker_.cancelled_running();
    outcome_.late_starts = checker_.late_starts();
    outcome_.longest_gone = checker_.longest_gone().count();
    if (outcome_.rebuilt) --outcome_.rebuilt;  // the first generation is no rebuilding
    if (!outcome_.losses && outcome_.rebuilt) {
        outcome_.broken["false_alarm"] = static_cast<unsigned>(outcome_.rebuilt);
        outcome_.first["false_alarm"] = fmt::format("{:.1f}", declared_at_) + " s: a loss declared where none was";
    }
    std::map<Served*, std::size_t> served_jobs;
    std::map<std::string, std::uint32_t> greatest;
    for (const auto& c : scenario_.jobs)
        if (c.tasks_to > c.tasks_from) greatest[c.like.job_class] = std::max(greatest[c.like.job_class], c.tasks_to);
    for (const auto& j : jobs_) {
        if (!j->accepted) continue;
        const bool counts =
            j->cancel_after.count() < 0 && events_.now() - j->accepted_at >= model::to_clock(served_within);
        const bool served = checker_.all_done(j->spec.uid) || checker_.ever(j->spec.uid) == j->spec.tasks;
        if (const auto it = greatest.find(j->spec.job_class);
            it != greatest.end() && j->spec.tasks >= large * it->second && j->cancel_after.count() < 0 &&
            (j->waited || events_.now() - j->accepted_at >= model::to_clock(largest_within))) {
            auto& c = outcome_.classes[j->spec.job_class];
            ++c.largest;
            c.largest_served += j->waited && *j->waited <= largest_within;
        }
        for (auto* who : {&outcome_.classes[j->spec.job_class], &outcome_.teams[j->spec.team]}) {
            ++who->jobs;
            who->done += j->done;
            who->cancelled += j->over && !j->done;
            if (j->waited) who->waits.push_back(j->waited->count());
            who->counted += counts;
            served_jobs[who] += counts && served;
        }
    }
    const auto judge = [&](const char* kind, std::map<std::string, Served>& all,
                           std::map<std::string, double>& shares) {
        for (auto& [name, who] : all) {
            std::sort(who.waits.begin(), who.waits.end());
            if (!who.counted) continue;
            who.share = static_cast<double>(served_jobs[&who]) / static_cast<double>(who.counted);
            shares[name] = who.share;
            if (who.behind()) outcome_.left_behind.push_back(std::string(kind) + " " + name);
            if (who.largest_behind()) outcome_.left_behind.push_back("largest of " + name);
        }
    };
    judge("class", outcome_.classes, outcome_.served);
    judge("team", outcome_.teams, outcome_.team_served);
    nodes_.clear();
    return outcome_;
}

std::string to_text(const Outcome& o) {
    std::string out = fmt::format(
        "seed {}: {} jobs accepted, {} done, {} cancelled; {} tasks started, {} killed by their "
        "lease; {} machines up at the end\n",
        o.seed, o.accepted, o.done, o.cancelled, o.started, o.lease_kills, o.machines);
    out += fmt::format("{:<16} {:>5} {:>5} {:>9} {:>7} {:>19} {:>13}\n", "", "jobs", "done", "cancelled", "served",
                       "wait p50/p90/max s", "longest idle s");
    const auto row = [&](const std::string& name, const Served& who) {
        const auto at = [&](double p) {
            return who.waits.empty()
                       ? 0.0
                       : who.waits[std::min(who.waits.size() - 1,
                                            static_cast<std::size_t>(p * static_cast<double>(who.waits.size())))];
        };
        out += fmt::format("{:<16} {:>5} {:>5} {:>9} {:>7.2f} {:>19} {:>13.1f}{}\n", name, who.jobs, who.done,
                           who.cancelled, who.share, fmt::format("{:.1f}/{:.1f}/{:.1f}", at(0.5), at(0.9), at(1)),
                           who.longest_idle, who.behind() ? "  LEFT BEHIND" : "");
    };
    for (const auto& [name, who] : o.classes) row("class " + name, who);
    for (const auto& [name, who] : o.teams) row("team " + name, who);
    for (const auto& t : o.troubles) out += "trouble at " + t + "\n";
    out += o.first.empty() ? "rules: none broken\n" : "";
    for (const auto& [rule, what] : o.first) out += "RULE BROKEN: " + rule + " at " + what + "\n";
    return out;
}

std::string to_line(const Outcome& o) {
    const auto rounded = [](double v) { return std::round(v * 1000) / 1000; };
    json::object broken, first, served, team_served;
    for (const auto& [rule, n] : o.broken) broken[rule] = n;
    for (const auto& [rule, what] : o.first) first[rule] = what;
    for (const auto& [name, share] : o.served) served[name] = rounded(share);
    for (const auto& [name, share] : o.team_served) team_served[name] = rounded(share);
    json::array troubles;
    for (const auto& t : o.troubles) troubles.emplace_back(t);
    json::object idle;
    for (const auto& [name, who] : o.classes) idle["class " + name] = rounded(who.longest_idle);
    for (const auto& [name, who] : o.teams) idle["team " + name] = rounded(who.longest_idle);
    return json::serialize(json::object{
        {"seed", o.seed},
        {"broken", broken},
        {"first", first},
        {"accepted", o.accepted},
        {"done", o.done},
        {"cancelled", o.cancelled},
        {"forgotten", o.forgotten},
        {"machines", o.machines},
        {"started", o.started},
        {"lease_kills", o.lease_kills},
        {"cancelled_running", o.cancelled_running},
        {"longest_gone_s", rounded(o.longest_gone)},
        {"met", json::object{{"cancelled", o.met_cancelled}, {"workers", o.met_workers}, {"answers", o.met_answers}}},
        {"longest_left_s", rounded(o.longest_left)},
        {"elections", o.elections},
        {"late_starts", o.late_starts},
        {"called_off_at_end", o.called_off_at_end},
        {"odd", json::object{{"sent", o.odd}, {"refused", o.odd_refused}}},
        {"words", o.words},
        {"relayed", o.relayed},
        {"losses", o.losses},
        {"rebuilt", o.rebuilt},
        {"undisturbed", rounded(o.undisturbed)},
        {"placing_after_s", rounded(o.placing_after)},
        {"answers_after_s", rounded(o.answers_after)},
        {"served", served},
        {"team_served", team_served},
        {"left_behind", json::array(o.left_behind.begin(), o.left_behind.end())},
        {"longest_idle_s", idle},
        {"troubles", troubles}});
}

}  // namespace flintdale::simulator
