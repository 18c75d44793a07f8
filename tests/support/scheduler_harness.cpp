#include "support/scheduler_harness.hpp"

#include <spdlog/spdlog.h>

#include "model/heartbeat.hpp"
#include "model/job.hpp"
#include "model/machine.hpp"
#include "model/task.hpp"

namespace flintdale::test {

namespace {
const bool logging_disabled = [] { return spdlog::set_level(spdlog::level::off), true; }();
}  // namespace

config::Settings settings() {
    return config::parse_settings(R"(
member = "one"
location = "a"
serve_on = "127.0.0.1:1"
peer_listen = "127.0.0.1:2"
[endpoints]
cloud = "127.0.0.1:3"
state = "127.0.0.1:4"
[cluster]
nodes = 1
zones = ["a", "b"]
[[cluster.teams]]
name = "team"
[[cluster.teams]]
name = "limited"
cpus_max = 8.0
[cluster.workers]
report_s = 3.0
lease_s = 18.0
gang_wait_s = 30.0
gang_peer_s = 4.0
cancel_s = 48.0
[cluster.state]
rps = 100.0
write_rps = 30.0
value_kb = 16.0
txn_ops = 12
[cluster.cloud]
rps = 6.0
list_lag_s = 3.0
)",
                                  "test");
}

model::JobSpec job(const std::string& uid, model::JobKind kind, std::uint32_t tasks) {
    model::JobSpec s;
    s.uid = uid;
    s.job_class = "class";
    s.team = "team";
    s.image = "image";
    s.kind = kind;
    s.tasks = tasks;
    s.need = {4, 1, 10};
    s.image_gb = 1;
    s.estimated_runtime = kind == model::JobKind::service ? Seconds(0) : Seconds(60);
    return s;
}

std::vector<model::MachineType> types() {
    model::MachineType small;
    small.name = "small";
    small.capacity = {8, 2, 64};
    small.cache_gb = 50;
    small.fetch_gb_per_s = 0.1;
    small.price = 2;
    small.spot_price = 1;
    small.boot = Seconds(30);
    small.zones = {"a", "b"};
    auto large = small;
    large.name = "large";
    large.capacity = {32, 8, 256};
    large.price = 10;
    large.spot_price = 5;
    return {small, large};
}

state::TxnResult InMemoryStore::commit(const state::Txn& txn) {
    state::TxnResult r;
    bool large = txn.changes.size() > txn_ops || txn.conditions.size() > txn_ops * 4;
    for (const auto& c : txn.changes)
        large = large || (c.value && boost::json::serialize(*c.value).size() > value_bytes);
    if (large) {
        r.outcome = state::Outcome::too_large;
        return r;
    }
    for (const auto& c : txn.conditions)
        if (get(c.key).mod_revision != c.mod_revision) r.failed.push_back(c.key);
    if (!r.failed.empty()) {
        r.outcome = state::Outcome::conflict;
        r.revision = revision_;
        return r;
    }
    r.outcome = state::Outcome::ok;
    if (!txn.changes.empty()) ++revision_;
    for (const auto& c : txn.changes) {
        if (c.value)
            items_[c.key] = {c.key, *c.value, revision_};
        else
            items_.erase(c.key);
    }
    r.revision = revision_;
    return r;
}

state::KeyValue InMemoryStore::get(const std::string& key) const {
    const auto it = items_.find(key);
    return it == items_.end() ? state::KeyValue{key, {}, 0} : it->second;
}

std::vector<state::KeyValue> InMemoryStore::range(const std::string& prefix) const {
    std::vector<state::KeyValue> out;
    for (const auto& [key, item] : items_)
        if (key.starts_with(prefix)) out.push_back(item);
    return out;
}

model::Heartbeat Worker::report() {
    model::Heartbeat r;
    r.machine = name;
    r.addr = "10.0.0.9:9000";
    r.type = type;
    r.zone = zone;
    r.spot = spot;
    r.incarnation = incarnation;
    r.sequence = ++sequence;
    r.fencing_token = fencing_token;
    r.termination_notice = termination_notice;
    r.tasks = tasks;
    return r;
}

model::TaskReport* Worker::find(const std::string& uid, std::uint32_t index) {
    for (auto& t : tasks)
        if (t.id.uid == uid && t.id.index == index) return &t;
    return nullptr;
}

void Worker::apply_commands(const std::vector<Command>& commands, std::uint64_t answer_token) {
    if (answer_token < fencing_token) return;
    fencing_token = answer_token;
    for (const auto& o : commands) {
        auto* t = find(o.id.uid, o.id.index);
        // Refused while another attempt of the task is on the machine.
        if (o.type == CommandType::run && (!t || (t->attempt != o.attempt && t->status == TaskStatus::exited))) {
            if (t) std::erase_if(tasks, [&](const auto& e) { return e.id == o.id; });
            model::TaskReport report;
            report.id = o.id;
            report.attempt = o.attempt;
            report.status = TaskStatus::fetching;
            tasks.push_back(report);
        } else if (o.type == CommandType::kill && t && t->attempt == o.attempt && t->status != TaskStatus::exited) {
            t->status = TaskStatus::exited;
            t->exit_reason = model::ExitReason::stopped;
        } else if (o.type == CommandType::clear && t && t->attempt == o.attempt && t->status == TaskStatus::exited) {
            std::erase_if(tasks, [&](const auto& e) { return e.id.uid == o.id.uid && e.id.index == o.id.index; });
        }
    }
}

void Worker::finish(const std::string& uid, std::uint32_t index, model::ExitReason exit_reason) {
    auto* t = find(uid, index);
    ASSERT_NE(t, nullptr);
    t->status = TaskStatus::exited;
    t->exit_reason = exit_reason;
}

void Worker::run_all() {
    for (auto& t : tasks)
        if (t.status != TaskStatus::exited) t.status = TaskStatus::running;
}

void Worker::lose_lease() {
    tasks.clear();
    ++incarnation;
}

Scheduler& SchedulerHarness::elect() {
    const auto old = keys.get(election::term_key);
    state::Txn txn;
    txn.conditions.push_back({election::term_key, old.mod_revision});
    txn.changes.push_back({election::term_key, boost::json::object{{"n", ++term}}, 0});
    const auto won = keys.commit(txn);
    leader = std::make_unique<Scheduler>(settings, operator_settings, record_format, term, won.revision, now);
    leader->set_machine_types(types());
    leader->load(keys.range(scheduler::work_prefix), now);
    for (const auto& uid : leader->open_jobs())
        if (keys.get(scheduler::outcome_key(uid)).mod_revision) leader->job_over(uid, now);
    return *leader;
}

void SchedulerHarness::accept(const model::JobSpec& spec) {
    state::Txn txn;
    txn.conditions.push_back({scheduler::outcome_key(spec.uid), 0});
    txn.conditions.push_back({scheduler::work_key(spec.uid, 0), 0});
    txn.changes = scheduler::accepted_records(spec, record_format);
    ASSERT_EQ(keys.commit(txn).outcome, state::Outcome::ok);
    if (leader) sync_job(spec.uid);
}

bool SchedulerHarness::cancel(const std::string& uid) {
    const auto* job = leader->job(uid);
    const auto spec = job ? job->spec : model::JobSpec{};
    const auto kept = wire::spec_to_record(spec);
    const auto outcome =
        scheduler::outcome_record(record_format, model::JobState::cancelled, 0, &kept, {spec.kind, spec.tasks});
    state::Txn txn;
    txn.conditions.push_back({scheduler::outcome_key(uid), 0});
    txn.changes.push_back({scheduler::outcome_key(uid), outcome, 0});
    return keys.commit(txn).outcome == state::Outcome::ok;
}

void SchedulerHarness::sync_job(const std::string& uid) {
    for (const auto& key : {scheduler::work_key(uid, 0), scheduler::outcome_key(uid)})
        leader->job_changed(keys.get(key), now);
}

std::vector<Command> SchedulerHarness::heartbeat(Worker& w, bool answer_arrives) {
    auto commands = leader->handle_heartbeat(w.report(), now);
    EXPECT_TRUE(commands.has_value());
    if (commands && answer_arrives) w.apply_commands(*commands, term);
    return commands.value_or(std::vector<Command>{});
}

bool SchedulerHarness::commit_one() {
    const auto batch = leader->next_batch(1000, wall_ms);
    if (batch.empty()) return false;
    const auto r = keys.commit(batch.txn);
    if (r.outcome == state::Outcome::ok) {
        leader->batch_committed(batch, r.revision, now);
        return true;
    }
    if (r.outcome == state::Outcome::too_large) {
        leader->batch_rejected(batch, now);
        return true;
    }
    for (const auto& key : r.failed)
        if (key == election::term_key) return false;  // another controller leads, so the batch is obsolete
    for (const auto& key : r.failed) leader->record_reread(keys.get(key), now);
    leader->batch_failed(batch);
    return true;
}

void SchedulerHarness::commit() {
    while (commit_one()) {
    }
    for (auto rest = leader->take_garbage(1000); !rest.changes.empty(); rest = leader->take_garbage(1000))
        EXPECT_NE(keys.commit(rest).outcome, state::Outcome::too_large);
}

void SchedulerHarness::read_missing() {
    for (const auto& key : leader->keys_to_read()) leader->job_changed(keys.get(key), now);
}

void SchedulerHarness::lower_limits(std::size_t value_bytes, std::size_t txn_ops) {
    auto next = settings;
    next.next_store_limits = settings.store_limits;
    next.next_store_limits->value_bytes = keys.value_bytes = value_bytes;
    next.next_store_limits->txn_ops = keys.txn_ops = txn_ops;
    record_format = state::RecordFormat(next);
    record_format.set_supported_format(state::newest_format);
}

bool SchedulerHarness::place() {
    const bool any = leader->place(now);
    commit();
    return any;
}

std::vector<std::string> SchedulerHarness::machines_to_release() const {
    std::vector<std::string> out;
    for (const auto& r : leader->scale_in(now)) out.push_back(r.machine);
    return out;
}

std::string SchedulerHarness::state_of(const std::string& uid) const {
    const auto item = keys.get(scheduler::outcome_key(uid));
    if (item.mod_revision) return std::string(item.value.as_object().at("state").as_string());
    return keys.get(scheduler::work_key(uid, 0)).mod_revision ? "open" : "absent";
}

std::string SchedulerHarness::machine_of(const std::string& uid, std::uint32_t task) const {
    const auto* j = leader->job(uid);
    if (!j || j->tasks[task].state != scheduler::Task::State::placed) return "";
    return j->tasks[task].machine->name;
}

bool SchedulerHarness::has_command(const std::vector<Command>& commands, CommandType type, const std::string& uid,
                                   std::uint32_t task) const {
    for (const auto& o : commands)
        if (o.type == type && o.id.uid == uid && o.id.index == task) return true;
    return false;
}

}  // namespace flintdale::test
