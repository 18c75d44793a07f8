#include "api/submission_service.hpp"

#include <spdlog/spdlog.h>

#include <cmath>

#include "model/job.hpp"
#include "placement/planner.hpp"

namespace flintdale::api {

using model::JobState;
using state::Outcome;
using state::RequestPriority;

namespace {

constexpr int max_rounds = 32;                        // of looking at what a job needs, and what that needs
constexpr int max_tries = 3;                          // of reading a job that changes meanwhile
constexpr std::chrono::milliseconds most_wait{2000};  // that a submission waits for its write; users give up after 5 s
constexpr std::chrono::seconds poll_patience{2}, submission_patience{5};  // after which users have gone
// The next comparison does not wait for longer for one that is slow or has no answer; so many may be under way.
constexpr std::chrono::milliseconds stagger{50};
constexpr std::size_t most_under_way = 8;

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

SubmissionService::SubmissionService(net::Executor ex, state::Store& store, const config::Settings& settings,
                                     const state::RecordFormat& record_format, Callbacks callbacks, std::size_t known)
    : ex_(ex),
      store_(store),
      settings_(settings),
      record_format_(record_format),
      callbacks_(std::move(callbacks)),
      known_(known),
      asked_(ex) {}

// Why the job can never run, if it cannot.
std::optional<std::string> SubmissionService::never_runs(const model::JobSpec& spec) const {
    const auto* team = settings_.team(spec.team);
    if (!team) return "owner: unknown team";
    const double tasks = spec.kind == model::JobKind::array ? 1.0 : static_cast<double>(spec.tasks);
    const auto over = [&](double limit, double need) { return limit > 0 && need * tasks > limit + 1e-9; };
    if (over(team->cpus_limit, spec.need.cpus)) return "cores: more than the team's limit";
    if (over(team->gpus_limit, spec.need.gpus)) return "accelerators: more than the team's limit";
    // Tasks that are in one zone together are never at most half of them there.
    if (spec.spread && (spec.one_zone || spec.zone) && spec.kind != model::JobKind::array && spec.tasks > 1)
        return "scatter: all tasks would have to be in one zone";
    const placement::Rules anything;
    for (const auto& type : *callbacks_.types()) {
        if (!placement::fits(spec.need, type.capacity)) continue;
        for (const auto& zone : type.zones)
            if (placement::allowed(spec, anything, type.name, zone, false)) return std::nullopt;
    }
    return "hosttypes: a task fits no allowed machine type";
}

// What a key of the job says of it; null if the key is absent, or cannot be read.
JobEvidence SubmissionService::learn(const std::string& uid, const state::KeyValue& item) {
    if (!item.mod_revision) return nullptr;
    auto job = known_from(item);
    return job ? known_.learn(uid, std::move(*job)) : nullptr;
}

// What was over once stays over, whatever has become of its record.
JobEvidence SubmissionService::over_by_memory(const std::string& uid) {
    const auto remembered = callbacks_.remembered(uid);
    if (!remembered || remembered->state == JobState::open) return nullptr;
    return known_.learn(uid, {remembered->state, remembered->size, {}});
}

// What is known of the job without asking: that it was accepted, and whether it is known to be over.
JobEvidence SubmissionService::at_hand(const std::string& uid) {
    auto known = known_.find(uid);
    if (known && known->over()) return known;
    if (auto over = over_by_memory(uid)) return over;
    if (known || !callbacks_.open_record) return known;
    const auto record = callbacks_.open_record(uid);
    return record ? learn(uid, *record) : nullptr;
}

// A job only moves forward: what became known while its check was under way holds against that.
JobEvidence SubmissionService::newest(const std::string& uid, JobEvidence job) {
    if (job && job->over()) return job;
    if (auto known = known_.find(uid); known && known->over()) return known;
    if (auto over = over_by_memory(uid)) return over;
    return job;
}

// Neither key of the job is on record. Outcomes come back last after a loss: that there never was such a job, or that
// it may be taken as a new one, must not be said of one that is remembered here. If it was when the service was asked,
// GuardedStore has not let the answer through; if it is by now, another controller has just accepted it, and whoever
// asks comes again.
SubmissionService::Look SubmissionService::absent_now(const std::string& uid) {
    if (auto over = over_by_memory(uid)) return {true, std::move(over)};
    return {!callbacks_.remembered(uid) && callbacks_.certain(), nullptr};
}

awaitable<std::optional<bool>> SubmissionService::look_up(std::string uid) {
    const auto found = co_await find(std::move(uid));
    if (found.outcome != Outcome::ok) co_return std::nullopt;
    co_return found.job != nullptr;
}

// The job's outcome, or else the record of its open work, read now; null if there is no such job.
awaitable<SubmissionService::Found> SubmissionService::find(std::string uid) {
    Found out;
    for (int round = 0; round < max_tries; ++round) {
        for (const bool over : {true, false}) {
            auto key = over ? scheduler::outcome_key(uid) : scheduler::work_key(uid, 0);
            auto got = co_await store_.get(std::move(key), RequestPriority::user);
            out.outcome = got.outcome;
            if (got.outcome != Outcome::ok) co_return out;
            if (!got.item.mod_revision) continue;
            out.job = learn(uid, got.item);
            if (!out.job) out.outcome = Outcome::unknown;
            if (!out.job) co_return out;
            callbacks_.job_changed(got.item);
            out.item = std::move(got.item);
            co_return out;
        }
        // It may have ended between the two looks, and its work been removed: only both at once tell.
        const bool certain = callbacks_.certain();
        auto txn = absent(uid);
        const auto neither = co_await store_.commit(std::move(txn), RequestPriority::user);
        out.outcome = neither.outcome;
        if (neither.outcome == Outcome::conflict) continue;
        if (neither.outcome != Outcome::ok) co_return out;
        auto look = absent_now(uid);
        out.job = std::move(look.job);
        if (!look.sure || (!out.job && !certain)) out.outcome = Outcome::unknown;
        co_return out;
    }
    out.outcome = Outcome::unknown;
    co_return out;
}

// A transaction that fails if there is such a job.
state::Txn SubmissionService::absent(const std::string& uid) {
    state::Txn txn;
    txn.conditions.push_back({scheduler::outcome_key(uid), 0});
    txn.conditions.push_back({scheduler::work_key(uid, 0), 0});
    return txn;
}

// By the evidence of whoever asked, or what is known beyond it by now.
Reply SubmissionService::status_of(const std::string& uid, JobEvidence job, bool as_submission) {
    job = newest(uid, std::move(job));
    const auto count = job->over() ? DisplayCount{} : callbacks_.count(uid);
    std::string_view status = count.running > 0 ? "running" : "pending";
    if (job->state == JobState::done) status = "done";
    if (job->state == JobState::cancelled) {
        status = "aborted";
        callbacks_.tells_cancelled(uid);
    }
    if (as_submission) return reply(200, wire::submission_response(uid, status));
    const auto done = job->state == JobState::done ? job->size.tasks : count.done;
    return reply(200, wire::poll_response(uid, status, done, count.running));
}

awaitable<Reply> SubmissionService::current(std::string uid, bool as_submission) {
    const std::chrono::seconds patience = as_submission ? submission_patience : poll_patience;
    const auto look = co_await look_through(uid, model::Clock::now() + patience);
    // That an accepted job never was is not what a repeated submission is told.
    if (!look.sure || (!look.job && as_submission)) co_return come_back("the state service cannot be reached");
    if (!look.job) co_return reply(404, wire::error_body("no such job"));
    co_return status_of(uid, look.job, as_submission);
}

awaitable<Reply> SubmissionService::submit(std::string body) {
    model::JobSpec spec;
    std::string uid, complaint;
    try {
        const auto o = wire::parse_object(body);
        if (const auto* id = o.if_contains("uid");
            id && id->is_string() && wire::valid_uid(std::string_view(id->get_string())))
            uid = std::string(id->get_string());
        spec = wire::parse_submission(o);
    } catch (const wire::DecodeError& e) {
        complaint = e.what();
    }
    unsigned status = 400;
    spec.accepted_ms = callbacks_.time_of_day_ms();
    if (complaint.empty() && callbacks_.types())
        if (auto why = never_runs(spec)) {
            complaint = *why;
            status = 422;
        }
    if (!complaint.empty()) co_return co_await refuse(std::move(uid), status, std::move(complaint));
    if (at_hand(uid)) co_return co_await current(uid, true);
    const bool early = !record_format_.newest() && !scheduler::readable_by_all(spec, record_format_);
    if (early || !callbacks_.types()) {
        const auto exists = co_await look_up(uid);
        if (exists && *exists) co_return co_await current(uid, true);
        // A controller of an older version could not read it, or would start it too early.
        co_return come_back(early ? "not before all controllers have the new version"
                                  : "the machine types are not known yet");
    }
    // What would wait too long is refused at once, with the time when it may be taken.
    if (const auto wait = store_.write_wait(); wait > most_wait)
        co_return come_back("too many submissions at once", wait);
    if (!spec.dependencies.empty()) {
        auto needs = co_await check_dependencies(spec);
        if (needs.unknown) co_return come_back("the state service cannot be reached");
        if (needs.complaint) co_return co_await refuse(std::move(uid), 422, std::move(*needs.complaint));
    }
    const auto records = scheduler::accepted_records(spec, record_format_);
    if (records.empty()) {
        const bool types = spec.types && spec.types->size() > spec.dependencies.size();
        std::string too_long = types ? "hosttypes" : spec.dependencies.size() > 1 ? "prereqs" : "body";
        too_long += ": too long to be kept";
        co_return co_await refuse(std::move(uid), 400, std::move(too_long));
    }
    auto txn = absent(uid);
    txn.changes = records;
    const auto result = co_await store_.commit(std::move(txn), RequestPriority::user);
    if (result.outcome == Outcome::ok) {
        for (const auto& record : records) {
            state::KeyValue item;
            item.key = record.key;
            item.value = *record.value;
            item.mod_revision = result.revision;
            if (&record == &records.front()) learn(uid, item);
            callbacks_.job_changed(item);
        }
        spdlog::info("event=job_accepted job={} class={} tasks={}", uid, spec.job_class, spec.tasks);
        co_return reply(201, wire::submission_response(uid, "pending"));
    }
    if (result.outcome == Outcome::refused) co_return come_back("the state service refuses");
    // Either it exists, or the answer was lost and it may exist.
    const auto exists = co_await look_up(uid);
    if (exists && *exists) co_return co_await current(uid, true);
    co_return come_back("the state service cannot be reached");
}

// A job once accepted stays accepted, whatever a repetition of its submission says.
awaitable<Reply> SubmissionService::refuse(std::string uid, unsigned status, std::string complaint) {
    if (uid.empty()) co_return reply(status, wire::error_body(complaint));
    const auto exists = co_await look_up(uid);
    if (!exists) co_return come_back("the state service cannot be reached");
    if (*exists) co_return co_await current(uid, true);
    co_return reply(status, wire::error_body(complaint));
}

// A job that is known here was accepted, for good. Of any other the state service is asked now: jobs of a pipeline come
// one right after the other, to different controllers.
awaitable<SubmissionService::Needs> SubmissionService::check_dependencies(model::JobSpec spec) {
    Needs out;
    std::map<std::string, JobEvidence> known;
    Questions asked;
    const auto until = model::Clock::now() + submission_patience;
    for (const auto& uid : spec.dependencies) {
        known[uid] = at_hand(uid);
        if (!known[uid]) asked.push_back(put(uid, until));
    }
    for (const auto& question : asked) {
        const auto look = co_await answer(question);
        out.unknown = out.unknown || !look.sure;
        known[question->uid] = look.job;
    }
    if (out.unknown) co_return out;
    for (const auto& [uid, job] : known) {
        if (!job) out.complaint = "prereqs: " + uid + " was never accepted";
        if (job && job->size.kind == model::JobKind::service)
            out.complaint = "prereqs: " + uid + " is a service, which is never done";
        if (out.complaint) co_return out;
    }
    co_return out;
}

awaitable<Reply> SubmissionService::poll(std::string uid) {
    if (!wire::valid_uid(uid)) co_return reply(404, wire::error_body("no such job"));
    co_return co_await current(std::move(uid), false);
}

// --- questions ---

std::shared_ptr<SubmissionService::Question> SubmissionService::put(std::string uid, TimePoint until) {
    auto question = std::make_shared<Question>(ex_, std::move(uid), until);
    questions_.push_back(question);
    if (asking_) {
        asked_.notify();
    } else {
        asking_ = true;
        net::asio::co_spawn(ex_, ask_loop(), net::asio::detached);
    }
    return question;
}

// What the service says, once it has been asked: of what was not known here the record is read, by whoever asks, so
// that nobody else waits for that.
awaitable<SubmissionService::Look> SubmissionService::answer(std::shared_ptr<Question> question) {
    using Answer = Question::Answer;
    const auto& uid = question->uid;
    Look out;
    for (int round = 0; round < max_tries; ++round) {
        if (!question->closed) {
            auto [ec] = co_await question->answered.async_wait(net::quietly);
            (void)ec;
        }
        const auto said = question->answer;
        if (said == Answer::unknown) co_return out;
        if (said == Answer::none) co_return absent_now(uid);
        out.job = question->held;
        if (said == Answer::over || said == Answer::work) {
            auto key = said == Answer::over ? scheduler::outcome_key(uid) : scheduler::work_key(uid, 0);
            const auto got = co_await store_.get(std::move(key), RequestPriority::user);
            if (got.outcome != Outcome::ok) co_return out;
            if (!got.item.mod_revision) {
                // It has ended since, and its work been removed.
                question = put(uid, question->until);
                continue;
            }
            out.job = learn(uid, got.item);
            if (!out.job) co_return out;
            callbacks_.job_changed(got.item);
        }
        out.sure = true;
        co_return out;
    }
    out.job = nullptr;
    co_return out;
}

// Puts all that wait to the state service together; everyone who asks while a comparison is under way shares the next
// one. One that is slow, or never answered, does not hold back the next.
awaitable<void> SubmissionService::ask_loop() {
    while (!questions_.empty()) {
        const auto now = model::Clock::now();
        const auto next = last_asked_ + stagger;
        const bool full = questions_.size() >= record_format_.conditions() / 2;
        if (under_way_ >= most_under_way || (under_way_ > 0 && !full && now < next)) {
            const bool waits = under_way_ >= most_under_way;
            co_await asked_.wait(waits ? model::Clock::duration(std::chrono::seconds(1)) : next - now);
            continue;
        }
        auto questions = next_questions();
        if (questions.empty()) continue;
        last_asked_ = now;
        ++under_way_;
        net::asio::co_spawn(ex_, ask(std::move(questions)), net::asio::detached);
    }
    asking_ = false;
}

// As many as one comparison holds, but for those that nobody waits for any more.
SubmissionService::Questions SubmissionService::next_questions() {
    Questions out;
    std::set<std::string_view> uids;
    const auto now = model::Clock::now();
    const std::size_t most = std::max<std::size_t>(1, record_format_.conditions() / 2);
    for (; !questions_.empty() && uids.size() < most; questions_.pop_front()) {
        if (questions_.front()->until <= now) continue;
        out.push_back(std::move(questions_.front()));
        uids.insert(out.back()->uid);
    }
    return out;
}

awaitable<void> SubmissionService::ask(Questions questions) {
    using Answer = Question::Answer;
    const bool certain = callbacks_.certain();
    std::map<std::string, JobEvidence> held;
    state::Txn txn;
    for (const auto& q : questions) {
        const auto [it, fresh] = held.try_emplace(q->uid);
        if (fresh) {
            it->second = at_hand(q->uid);
            txn.conditions.push_back({scheduler::outcome_key(q->uid), 0});
            if (!it->second) txn.conditions.push_back({scheduler::work_key(q->uid, 0), 0});
        }
        q->held = it->second;
    }
    const auto result = co_await store_.commit(std::move(txn), RequestPriority::user);
    --under_way_;
    asked_.notify();
    const auto exists = [&](const std::string& key) {
        return std::find(result.failed.begin(), result.failed.end(), key) != result.failed.end();
    };
    const bool answered = result.outcome == Outcome::ok || result.outcome == Outcome::conflict;
    for (const auto& q : questions) {
        if (answered && exists(scheduler::outcome_key(q->uid)))
            q->answer = Answer::over;
        else if (answered && q->held)
            q->answer = Answer::open;
        else if (answered && exists(scheduler::work_key(q->uid, 0)))
            q->answer = Answer::work;
        else if (answered && certain)
            q->answer = Answer::none;
        q->closed = true;
        q->answered.cancel();
    }
}

// The job as it is now. Of an open job that needs others all open ones are looked at that it needs, directly or through
// others: whoever needs a cancelled job is cancelled, and that is put on record before anybody is told, so that no
// controller, and no later life of this one, says otherwise.
awaitable<SubmissionService::Look> SubmissionService::look_through(std::string uid, TimePoint until) {
    std::map<std::string, JobEvidence> sure;
    for (int round = 0; round < max_rounds; ++round) {
        std::vector<std::string> open{uid}, unsure;
        bool cancelled = false;
        for (std::size_t i = 0; i < open.size(); ++i) {
            const auto it = sure.find(open[i]);
            if (it == sure.end()) unsure.push_back(open[i]);
            const auto job = it == sure.end() ? at_hand(open[i]) : it->second;
            cancelled = cancelled || (i > 0 && job && job->state == JobState::cancelled);
            if (!job || job->over()) continue;
            for (const auto& name : job->dependencies)
                if (std::find(open.begin(), open.end(), name) == open.end()) open.push_back(name);
        }
        // What is over needs no check.
        std::erase_if(unsure, [&](const std::string& name) {
            auto job = at_hand(name);
            const bool over = job && job->over();
            if (over) sure[name] = std::move(job);
            return over;
        });
        const auto its_own = sure.find(uid);
        if (its_own != sure.end() && (!its_own->second || its_own->second->over()))
            co_return Look{true, its_own->second};
        if (cancelled && its_own != sure.end()) {
            const auto job = its_own->second;
            state::KeyValue unread;
            const auto put_down = co_await put_cancelled(uid, job, std::move(unread));
            if (put_down == Outcome::ok) co_return Look{true, newest(uid, job)};
            if (put_down != Outcome::conflict) co_return Look{};
            sure.erase(uid);
            continue;
        }
        if (unsure.empty()) co_return Look{true, its_own->second};
        Questions asked;
        for (auto& name : unsure) asked.push_back(put(std::move(name), until));
        for (const auto& question : asked) {
            const auto look = co_await answer(question);
            if (!look.sure) co_return Look{};
            sure[question->uid] = look.job;
        }
    }
    co_return Look{};
}

// --- cancellations ---

// Puts the cancellation of an open job on record, on the condition that it has no outcome. `from`: a record of it, or
// an absent one.
awaitable<state::Outcome> SubmissionService::put_cancelled(std::string uid, JobEvidence job, state::KeyValue from) {
    state::KeyValue item;
    item.key = scheduler::outcome_key(uid);
    const auto* record = from.value.if_object();
    const auto* spec = record ? record->if_contains("spec") : nullptr;
    // With the time, for a leader that comes later: what is cancelled must be gone by then.
    item.value = scheduler::outcome_record(record_format_, JobState::cancelled, callbacks_.time_of_day_ms(),
                                           spec ? &spec->as_object() : nullptr, job->size);
    state::Txn txn;
    txn.conditions.push_back({item.key, 0});
    txn.changes.push_back({item.key, item.value, 0});
    const auto result = co_await store_.commit(std::move(txn), RequestPriority::user);
    if (result.outcome == Outcome::ok) {
        item.mod_revision = result.revision;
        known_.learn(uid, {JobState::cancelled, job->size, {}});
        callbacks_.job_changed(item);
        spdlog::info("event=cancel_accepted job={}", uid);
    }
    co_return result.outcome;
}

awaitable<Reply> SubmissionService::cancel(std::string uid) {
    if (!wire::valid_uid(uid)) co_return reply(404, wire::error_body("no such job"));
    bool read = false;
    for (int round = 0; round < max_tries; ++round) {
        auto job = at_hand(uid);
        state::KeyValue record;
        // What is known to be open needs not be read first, but for the oldest form, which holds the submission, and
        // where the last try shows that it may be over.
        if (!job || (!job->over() && (read || !record_format_.newest()))) {
            auto found = co_await find(uid);
            if (found.outcome != Outcome::ok) break;
            if (!found.job) co_return reply(404, wire::error_body("no such job"));
            job = std::move(found.job);
            record = std::move(found.item);
        }
        if (job->over()) co_return status_of(uid, job, true);
        const auto outcome = co_await put_cancelled(uid, job, std::move(record));
        if (outcome == Outcome::ok) co_return status_of(uid, job, true);
        if (outcome == Outcome::refused) break;
        read = true;
    }
    co_return come_back("the state service cannot be reached");
}

}  // namespace flintdale::api
