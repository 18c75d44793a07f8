#include "api/desk.hpp"

#include <spdlog/spdlog.h>

#include <cmath>

#include "placement/planner.hpp"

namespace flintdale::api {

using state::Outcome;
using state::Urgency;
using wire::JobState;

namespace {

constexpr std::size_t max_known = 20'000;
constexpr int max_rounds = 32;                        // of looking at what a job needs, and what that needs
constexpr std::chrono::milliseconds most_wait{2000};  // that a submission waits for its write; users give up after 5 s

Reply reply(unsigned status, std::string body) {
    Reply r;
    r.status = status;
    r.body = std::move(body);
    return r;
}

Reply come_back(std::string_view why, std::chrono::duration<double> after = std::chrono::seconds(1)) {
    auto r = reply(503, wire::error_body(why));
    r.retry_after = static_cast<unsigned>(std::clamp(std::ceil(after.count()), 1.0, 30.0));
    return r;
}

}  // namespace

Desk::Desk(net::Executor ex, state::Store& store, const config::Settings& settings, const state::Form& form,
           Links links)
    : ex_(ex), store_(store), settings_(settings), form_(form), links_(std::move(links)) {}

// Why the job can never run, if it cannot.
std::optional<std::string> Desk::never_runs(const wire::JobSpec& spec) const {
    const auto* team = settings_.team(spec.team);
    if (!team) return "owner: unknown team";
    const double tasks = spec.shape == wire::Shape::array ? 1.0 : static_cast<double>(spec.tasks);
    const auto over = [&](double limit, double need) { return limit > 0 && need * tasks > limit + 1e-9; };
    if (over(team->cpus_limit, spec.need.cpus)) return "cores: more than the team's limit";
    if (over(team->gpus_limit, spec.need.gpus)) return "accelerators: more than the team's limit";
    const placement::Rules anything;
    for (const auto& type : *links_.types()) {
        if (!placement::fits(spec.need, type.capacity)) continue;
        for (const auto& zone : type.zones)
            if (placement::allowed(spec, anything, type.name, zone, false)) return std::nullopt;
    }
    return "hosttypes: a task fits no allowed machine type";
}

// What a key of the job says of it; false if the key is absent.
bool Desk::learn(const std::string& uid, const state::Item& item) {
    if (!item.stamp) return false;
    const auto& o = item.value.as_object();
    Known k;
    if (const auto* state = o.if_contains("state"))
        k.state = wire::job_state_from(std::string_view(state->as_string()));
    k.size = wire::size_from_record(o);
    if (const auto* spec = o.if_contains("spec"); spec && k.state == JobState::open)
        k.prerequisites = wire::spec_from_record(spec->as_object()).prerequisites;
    if (known_.size() >= max_known) known_.clear();  // a cache: what is missing is read again
    const auto [it, fresh] = known_.try_emplace(uid, k);
    // Answers of the service may overtake one another on their way here; a job only ever moves forward.
    if (!fresh && it->second.state == JobState::open) it->second = k;
    return true;
}

// Outcomes come back last after a loss. That there never was such a job, or that it may be taken as a new one, must not
// be said of one that is remembered here. If it was when the service was asked, GuardedStore has not let the answer
// through; if it is by now, another controller has just accepted it, and whoever asks comes again.
Desk::Absent Desk::recall(const std::string& uid) {
    const auto remembered = links_.remembered(uid);
    if (!remembered) return links_.certain() ? Absent::none : Absent::missed;
    if (remembered->state == JobState::open) return Absent::missed;
    known_[uid] = {remembered->state, remembered->size, {}};
    return Absent::over;
}

void Desk::forget_open() {
    std::erase_if(known_, [](const auto& entry) { return entry.second.state == JobState::open; });
}

awaitable<std::optional<bool>> Desk::look_up(const std::string& uid) {
    const auto found = co_await find(uid);
    if (found.outcome != Outcome::ok) co_return std::nullopt;
    co_return found.item.stamp > 0 || known_.contains(uid);
}

// The job's outcome, or else the record of its open work, or an absent item if there is no such job.
awaitable<state::GetResult> Desk::find(const std::string& uid) {
    state::GetResult got;
    for (int round = 0; round < 3; ++round) {
        for (const bool over : {true, false}) {
            auto key = over ? agent::outcome_key(uid) : agent::work_key(uid, 0);
            got = co_await store_.get(std::move(key), Urgency::user);
            if (got.outcome != Outcome::ok) co_return got;
            if (learn(uid, got.item)) {
                links_.job_changed(got.item);
                co_return got;
            }
        }
        // It may have ended between the two looks, and its work been removed: only both at once tell.
        auto txn = absent(uid);
        const auto neither = co_await store_.commit(std::move(txn), Urgency::user);
        got.outcome = neither.outcome;
        if (neither.outcome == Outcome::ok && recall(uid) == Absent::missed) got.outcome = Outcome::unknown;
        if (neither.outcome != Outcome::conflict) co_return got;
    }
    got.outcome = Outcome::unknown;
    co_return got;
}

// A transaction that fails if there is such a job.
state::Txn Desk::absent(const std::string& uid) {
    state::Txn txn;
    txn.conditions.push_back({agent::outcome_key(uid), 0});
    txn.conditions.push_back({agent::work_key(uid, 0), 0});
    return txn;
}

Reply Desk::status_of(const std::string& uid, bool as_submission) const {
    const auto it = known_.find(uid);
    if (it == known_.end()) return reply(404, wire::error_body("no such job"));
    const auto& k = it->second;
    const auto count = k.state == JobState::open ? links_.count(uid) : DisplayCount{};
    std::string_view status = "pending";
    if (k.state == JobState::done)
        status = "done";
    else if (k.state == JobState::cancelled)
        status = "aborted", links_.tells_cancelled(uid);
    else if (count.running > 0)
        status = "running";
    if (as_submission) return reply(200, wire::submission_answer(uid, status));
    return reply(200,
                 wire::poll_answer(uid, status, k.state == JobState::done ? k.size.tasks : count.done, count.running));
}

awaitable<Reply> Desk::current(const std::string& uid, bool as_submission) {
    // What was over once stays over, whatever has become of its record.
    if (const auto it = known_.find(uid); it == known_.end() || it->second.state == JobState::open)
        if (const auto r = links_.remembered(uid); r && r->state != JobState::open)
            known_[uid] = {r->state, r->size, {}};
    const auto it = known_.find(uid);
    const bool final = it != known_.end() && it->second.state != JobState::open;  // such states never change
    const bool fresh = final || co_await check_fresh(uid);
    co_return fresh ? status_of(uid, as_submission) : come_back("the state service cannot be reached");
}

awaitable<Reply> Desk::submit(std::string body) {
    wire::JobSpec spec;
    std::string uid, complaint;
    try {
        const auto o = wire::parse_object(body);
        if (const auto* id = o.if_contains("uid");
            id && id->is_string() && wire::valid_uid(std::string_view(id->get_string())))
            uid = std::string(id->get_string());
        spec = wire::parse_submission(o);
    } catch (const wire::BadBody& e) {
        complaint = e.what();
    }
    unsigned status = 400;
    spec.accepted_ms = links_.time_of_day_ms();
    if (complaint.empty() && links_.types())
        if (auto why = never_runs(spec)) {
            complaint = *why;
            status = 422;
        }
    if (!complaint.empty()) co_return co_await refuse(std::move(uid), status, std::move(complaint));
    if (known_.contains(uid) || links_.remembered(uid)) co_return co_await current(uid, true);
    const bool early = !form_.newest() && !agent::readable_by_all(spec, form_);
    if (early || !links_.types()) {
        const auto exists = co_await look_up(uid);
        if (exists && *exists) co_return co_await current(uid, true);
        // A controller of an older version could not read it, or would start it too early.
        co_return come_back(early ? "not before all controllers have the new version"
                                  : "the machine types are not known yet");
    }
    // What would wait too long is refused at once, with the time when it may be taken.
    if (const auto wait = store_.write_wait(); wait > most_wait)
        co_return come_back("too many submissions at once", wait);
    if (!spec.prerequisites.empty()) {
        auto needs = co_await check_prerequisites(spec);
        if (needs.unknown) co_return come_back("the state service cannot be reached");
        if (needs.complaint) co_return co_await refuse(std::move(uid), 422, std::move(*needs.complaint));
    }
    const auto records = agent::accepted_records(spec, form_);
    if (records.empty()) {
        const bool types = spec.types && spec.types->size() > spec.prerequisites.size();
        std::string too_long = types ? "hosttypes" : spec.prerequisites.size() > 1 ? "prereqs" : "body";
        too_long += ": too long to be kept";
        co_return co_await refuse(std::move(uid), 400, std::move(too_long));
    }
    auto txn = absent(uid);
    txn.changes = records;
    const auto result = co_await store_.commit(std::move(txn), Urgency::user);
    if (result.outcome == Outcome::ok) {
        for (const auto& record : records) {
            state::Item item;
            item.key = record.key;
            item.value = *record.value;
            item.stamp = result.revision;
            if (&record == &records.front()) learn(uid, item);
            links_.job_changed(item);
        }
        spdlog::info("event=job_accepted job={} class={} tasks={}", uid, spec.job_class, spec.tasks);
        co_return reply(201, wire::submission_answer(uid, "pending"));
    }
    if (result.outcome == Outcome::refused) co_return come_back("the state service refuses");
    // Either it exists, or the answer was lost and it may exist.
    const auto exists = co_await look_up(uid);
    if (exists && *exists) co_return co_await current(uid, true);
    co_return come_back("the state service cannot be reached");
}

// A job once accepted stays accepted, whatever a repetition of its submission says.
awaitable<Reply> Desk::refuse(std::string uid, unsigned status, std::string complaint) {
    if (uid.empty()) co_return reply(status, wire::error_body(complaint));
    const auto exists = co_await look_up(uid);
    if (!exists) co_return come_back("the state service cannot be reached");
    if (*exists) co_return co_await current(uid, true);
    co_return reply(status, wire::error_body(complaint));
}

// A job that is known here was accepted, for good. Of any other the state service is asked now: jobs of a pipeline come
// one right after the other, to different controllers.
awaitable<Desk::Needs> Desk::check_prerequisites(const wire::JobSpec& spec) {
    Needs out;
    std::vector<std::string> asked;
    for (const auto& uid : spec.prerequisites)
        if (!known_.contains(uid)) asked.push_back(uid);
    const auto sure = co_await check(std::move(asked));
    for (const auto& uid : spec.prerequisites) {
        const auto it = known_.find(uid);
        if (it == known_.end()) {
            out.unknown = !sure.contains(uid);
            if (!out.unknown) out.complaint = "prereqs: " + uid + " was never accepted";
            co_return out;
        }
        if (it->second.size.shape == wire::Shape::service) {
            out.complaint = "prereqs: " + uid + " is a service, which is never done";
            co_return out;
        }
    }
    co_return out;
}

awaitable<Reply> Desk::poll(std::string uid) {
    if (!wire::valid_uid(uid)) co_return reply(404, wire::error_body("no such job"));
    co_return co_await current(uid, false);
}

// Whether what is known of the job is confirmed by the state service after this call began. Everyone who asks
// while a check is under way shares the next one.
awaitable<bool> Desk::check_fresh(const std::string& uid) {
    auto waiter = std::make_shared<Waiter>(ex_);
    waiter->uid = uid;
    waiter->done.expires_at(wire::TimePoint::max());
    waiting_.push_back(waiter);
    if (!checking_) {
        checking_ = true;
        net::asio::co_spawn(ex_, check_waiting(), net::asio::detached);
    }
    if (!waiter->answered) {
        auto [ec] = co_await waiter->done.async_wait(net::quietly);
        (void)ec;
    }
    co_return waiter->fresh;
}

awaitable<void> Desk::check_waiting() {
    while (!waiting_.empty()) {
        std::vector<std::shared_ptr<Waiter>> batch;
        const std::size_t most = form_.conditions() / 2;
        while (!waiting_.empty() && batch.size() < most) {
            batch.push_back(std::move(waiting_.front()));
            waiting_.pop_front();
        }
        std::set<std::string> confirmed;
        // A round may find out what else a job needs, which has to be looked at as well.
        for (int round = 0; round < max_rounds && !batch.empty(); ++round) {
            std::set<std::string> asked;
            for (const auto& w : batch)
                for (auto& uid : line(w->uid))
                    if (!confirmed.contains(uid)) asked.insert(std::move(uid));
            auto now_sure = co_await check({asked.begin(), asked.end()});
            confirmed.merge(now_sure);
            std::erase_if(batch, [&](const std::shared_ptr<Waiter>& w) {
                bool all = true, failed = false;
                for (const auto& uid : line(w->uid)) {
                    all = all && confirmed.contains(uid);
                    failed = failed || (asked.contains(uid) && !confirmed.contains(uid));
                }
                if (!all && !failed && round + 1 < max_rounds) return false;
                w->fresh = all;
                // Its outcome will be written; whoever asks after an outage must not be told less until then.
                if (all && needs_cancelled(w->uid)) known_[w->uid].state = JobState::cancelled;
                w->answered = true;
                w->done.cancel();
                return true;
            });
        }
    }
    checking_ = false;
}

// Those of the jobs of which it is certain now whether they are open, over, or no jobs at all. Known jobs that are over
// need no check, so all that are known are believed to be open.
awaitable<std::set<std::string>> Desk::check(std::vector<std::string> uids) {
    std::set<std::string> sure;
    const std::size_t most = form_.conditions();
    for (std::size_t next = 0; next < uids.size();) {
        state::Txn txn;
        const auto first = next;
        for (; next < uids.size() && txn.conditions.size() + 2 <= most; ++next) {
            txn.conditions.push_back({agent::outcome_key(uids[next]), 0});
            if (!known_.contains(uids[next])) txn.conditions.push_back({agent::work_key(uids[next], 0), 0});
        }
        const auto result = co_await store_.commit(std::move(txn), Urgency::user);
        if (result.outcome != Outcome::ok && result.outcome != Outcome::conflict) continue;
        const auto exists = [&](const std::string& key) {
            return std::find(result.failed.begin(), result.failed.end(), key) != result.failed.end();
        };
        for (auto i = first; i < next; ++i) {
            const bool over = exists(agent::outcome_key(uids[i]));
            if (over || exists(agent::work_key(uids[i], 0))) {
                auto key = over ? agent::outcome_key(uids[i]) : agent::work_key(uids[i], 0);
                const auto got = co_await store_.get(std::move(key), Urgency::user);
                if (got.outcome != Outcome::ok || !learn(uids[i], got.item)) continue;
                links_.job_changed(got.item);
            } else if (!known_.contains(uids[i]) && recall(uids[i]) == Absent::missed) {
                continue;
            }
            sure.insert(uids[i]);
        }
    }
    co_return sure;
}

std::vector<std::string> Desk::line(const std::string& uid) const {
    std::vector<std::string> out{uid};
    for (std::size_t i = 0; i < out.size(); ++i) {
        const auto it = known_.find(out[i]);
        if (it == known_.end()) continue;
        for (const auto& name : it->second.prerequisites) {
            const auto need = known_.find(name);
            const bool over = need != known_.end() && need->second.state != JobState::open;
            if (!over && std::find(out.begin(), out.end(), name) == out.end()) out.push_back(name);
        }
    }
    return out;
}

bool Desk::needs_cancelled(const std::string& uid) const {
    for (const auto& open : line(uid)) {
        const auto it = known_.find(open);
        if (it == known_.end() || it->second.state != JobState::open) continue;
        for (const auto& name : it->second.prerequisites)
            if (const auto need = known_.find(name); need != known_.end() && need->second.state == JobState::cancelled)
                return true;
    }
    return false;
}

awaitable<Reply> Desk::cancel(std::string uid) {
    if (!wire::valid_uid(uid)) co_return reply(404, wire::error_body("no such job"));
    for (int round = 0; round < 3; ++round) {
        // What was over once stays over, whatever has become of its record.
        if (const auto r = links_.remembered(uid); r && r->state != JobState::open) {
            known_[uid] = {r->state, r->size, {}};
            co_return status_of(uid, true);
        }
        const auto got = co_await find(uid);
        if (got.outcome != Outcome::ok) break;
        if (!got.item.stamp && !known_.contains(uid)) co_return reply(404, wire::error_body("no such job"));
        if (known_[uid].state != JobState::open) co_return status_of(uid, true);
        state::Item item;
        item.key = agent::outcome_key(uid);
        const auto& record = got.item.value.as_object();
        const auto* spec = record.if_contains("spec");
        // With the time, for a leader that comes later: what is cancelled must be gone by then.
        item.value = agent::outcome_record(form_, JobState::cancelled, links_.time_of_day_ms(),
                                           spec ? &spec->as_object() : nullptr, wire::size_from_record(record));
        state::Txn txn;
        txn.conditions.push_back({item.key, 0});
        txn.changes.push_back({item.key, item.value, 0});
        const auto result = co_await store_.commit(std::move(txn), Urgency::user);
        if (result.outcome == Outcome::ok) {
            item.stamp = result.revision;
            learn(uid, item);
            links_.job_changed(item);
            spdlog::info("event=cancel_accepted job={}", uid);
            co_return status_of(uid, true);
        }
        if (result.outcome == Outcome::refused) break;
    }
    co_return come_back("the state service cannot be reached");
}

}  // namespace flintdale::api
