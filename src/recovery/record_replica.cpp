#include "recovery/record_replica.hpp"

#include <algorithm>
#include <boost/crc.hpp>

#include "recovery/record_keys.hpp"
#include "wire/json.hpp"

namespace flintdale::recovery {

namespace {

namespace json = boost::json;

// An outcome that contains the kind and the number of tasks can be compacted: no other field of it is read again.
bool is_compactable(const json::object& o) { return o.if_contains("shape") && o.if_contains("shards"); }

}  // namespace

void RecordReplica::begin(std::uint64_t generation, std::string id, std::uint64_t revision) {
    const auto history = history_ + 1;
    *this = RecordReplica();
    history_ = history;
    generation_ = generation;
    id_ = std::move(id);
    revision_ = revision;
}

void RecordReplica::load_snapshot(const ReplicaContents& snapshot) {
    begin(snapshot.generation, snapshot.id, snapshot.revision);
    for (const auto& [key, record] : snapshot.records) {
        json::error_code ec;
        const auto value = json::parse(record.text, ec);
        if (!ec) store(key, value, record.mod_revision);
    }
}

std::uint64_t RecordReplica::mod_revision_of(const std::string& key) const {
    if (is_outcome_key(key))
        if (const auto it = outcomes_.find(uid_of_outcome_key(key)); it != outcomes_.end())
            return it->second.mod_revision;
    const auto it = records_.find(key);
    return it == records_.end() ? 0 : it->second.mod_revision;
}

void RecordReplica::store(const std::string& key, const json::value& value, std::uint64_t mod_revision) {
    if (mod_revision_of(key) >= mod_revision) return;
    if (is_outcome_key(key) && value.is_object() && is_compactable(value.get_object())) try {
            const auto& o = value.get_object();
            CompactOutcome outcome;
            outcome.mod_revision = mod_revision;
            outcome.state = wire::job_state_from(std::string_view(o.at("state").as_string()));
            if (const auto* at = o.if_contains("at")) outcome.since_ms = at->to_number<std::int64_t>();
            const auto size = wire::size_from_record(o);
            outcome.kind = size.kind;
            outcome.tasks = size.tasks;
            outcomes_[uid_of_outcome_key(key)] = outcome;
            records_.erase(key);
            return;
        } catch (const std::exception&) {
            // Kept unchanged: the rebuilding controller detects that it is unreadable, and may have an intact copy.
        }
    records_[key] = {mod_revision, json::serialize(value)};
}

void RecordReplica::erase(const std::string& key, std::uint64_t mod_revision) {
    if (!complete_) removed_[key] = mod_revision;
    if (const auto it = records_.find(key); it != records_.end() && it->second.mod_revision < mod_revision)
        records_.erase(it);
}

void RecordReplica::add_page(const std::vector<state::KeyValue>& items) {
    for (const auto& item : items) {
        const auto removal = removed_.find(item.key);
        if (removal == removed_.end() || removal->second < item.mod_revision)
            store(item.key, item.value, item.mod_revision);
    }
}

void RecordReplica::pages_complete() {
    complete_ = true;
    removed_.clear();
}

std::vector<std::string> RecordReplica::apply_changes(const state::WatchResult& changes) {
    std::vector<std::string> unexpected;
    for (std::size_t i = 0; i < changes.events.size(); ++i) {
        const auto& e = changes.events[i];
        if (!changes.deleted[i]) {
            store(e.key, e.value, e.mod_revision);
            continue;
        }
        // Work is removed once its job is over; outcomes are never removed. Until all pages have been read, the outcome
        // may not be known yet.
        const auto work = scheduler::parse_work_key(e.key);
        const bool job_over =
            work && (!complete_ || is_over(work->uid) || records_.contains(scheduler::outcome_key(work->uid)));
        // Leaders also remove fragments whose first record is missing, because they belong to no submission.
        const bool without_submission = work && !work->first() && !records_.contains(scheduler::work_key(work->uid, 0));
        if (!job_over && !without_submission) {
            unexpected.push_back(e.key);
            continue;  // the record is kept, because it may have to be restored
        }
        erase(e.key, e.mod_revision);
    }
    revision_ = std::max(revision_, changes.revision);
    return unexpected;
}

void RecordReplica::apply_own_write(const state::Change& change, std::uint64_t revision) {
    if (change.value)
        store(change.key, *change.value, revision);
    else
        erase(change.key, revision);
}

bool RecordReplica::knows_job(const std::string& uid) const {
    return outcomes_.contains(uid) || records_.contains(scheduler::work_key(uid, 0)) ||
           records_.contains(scheduler::outcome_key(uid));
}

std::optional<RecordReplica::Outcome> RecordReplica::outcome_of(const std::string& uid) const {
    if (const auto it = outcomes_.find(uid); it != outcomes_.end())
        return Outcome{it->second.state, {it->second.kind, it->second.tasks}};
    if (!knows_job(uid)) return std::nullopt;
    return Outcome{};
}

RecordReplica::Digest RecordReplica::digest(std::uint64_t revision) const {
    Digest out;
    const auto count = [&](std::string_view uid, std::uint64_t mod_revision) {
        if (mod_revision > revision) return;
        boost::crc_32_type crc;
        crc.process_bytes(uid.data(), uid.size());
        ++out.outcomes;
        out.sum += crc.checksum();
    };
    for (const auto& [uid, outcome] : outcomes_) count(uid, outcome.mod_revision);
    for (const auto& [key, record] : records_)
        if (is_outcome_key(key)) count(uid_of_outcome_key(key), record.mod_revision);
    return out;
}

std::vector<std::string> RecordReplica::open_jobs() const {
    std::vector<std::string> out;
    for (const auto& [key, record] : records_) {
        const auto work = scheduler::parse_work_key(key);
        if (work && work->first() && !is_over(work->uid) && !records_.contains(scheduler::outcome_key(work->uid)))
            out.push_back(work->uid);
    }
    return out;
}

std::size_t RecordReplica::jobs() const {
    const auto other_outcomes =
        std::count_if(records_.begin(), records_.end(), [](const auto& r) { return is_outcome_key(r.first); });
    return open_jobs().size() + outcomes_.size() + static_cast<std::size_t>(other_outcomes);
}

bool RecordReplica::readable(const std::string& key) const {
    if (is_outcome_key(key) && outcomes_.contains(uid_of_outcome_key(key))) return true;
    const auto it = records_.find(key);
    return it != records_.end() && it->second.text.starts_with('{');
}

std::uint64_t RecordReplica::expected_mod_revision(const std::string& key) const {
    if (const auto work = scheduler::parse_work_key(key);
        work && (is_over(work->uid) || records_.contains(scheduler::outcome_key(work->uid))))
        return 0;
    const auto mod_revision = mod_revision_of(key);
    return mod_revision <= deferred_mod_revision ? 0 : mod_revision;
}

std::size_t RecordReplica::jobs_at(std::uint64_t revision) const {
    std::size_t n = digest(revision).outcomes;
    for (const auto& uid : open_jobs()) n += records_.at(scheduler::work_key(uid, 0)).mod_revision <= revision;
    return n;
}

std::vector<std::string> RecordReplica::find_missing(const Position& position, const std::string& from,
                                                     const std::string& to,
                                                     const std::vector<state::KeyValue>& items) const {
    if (!is_valid(position)) return {};
    std::map<std::string_view, const state::KeyValue*> read;
    for (const auto& item : items) read.emplace(item.key, &item);
    std::vector<std::string> out;
    // A mod revision after the position means that the record was written, or learned of, after the request was sent.
    const auto check = [&](const std::string& key, std::uint64_t mod_revision) {
        if (key <= from || (!to.empty() && key > to) || mod_revision <= deferred_mod_revision ||
            mod_revision > position.revision)
            return;
        const auto it = read.find(key);
        if (it == read.end() || it->second->mod_revision < mod_revision ||
            (!it->second->value.is_object() && readable(key)))
            out.push_back(key);
    };
    for (auto it = records_.upper_bound(from); it != records_.end() && (to.empty() || it->first <= to); ++it)
        check(it->first, it->second.mod_revision);
    // Compact outcomes are not sorted: all are checked, but only for pages that can contain outcomes.
    if (from < scheduler::work_prefix)
        for (const auto& [uid, outcome] : outcomes_) check(scheduler::outcome_key(uid), outcome.mod_revision);
    return out;
}

std::string RecordReplica::text_of(const CompactOutcome& outcome) {
    json::object o{{"state", wire::job_state_name(outcome.state)}};
    if (outcome.since_ms) o["at"] = outcome.since_ms;
    wire::size_to_record({outcome.kind, outcome.tasks}, o);
    return json::serialize(o);
}

std::optional<Record> RecordReplica::record(const std::string& key) const {
    if (is_outcome_key(key))
        if (const auto it = outcomes_.find(uid_of_outcome_key(key)); it != outcomes_.end())
            return Record{it->second.mod_revision, text_of(it->second)};
    const auto it = records_.find(key);
    return it == records_.end() ? std::nullopt : std::optional(it->second);
}

std::set<std::string> RecordReplica::machines_of(const std::string& uid) const {
    std::set<std::string> out;
    const auto add = [&](const std::string& text) {
        json::error_code ec;
        const auto value = json::parse(text, ec);
        const auto* tasks = !ec && value.is_object() ? value.get_object().if_contains("tasks") : nullptr;
        if (!tasks || !tasks->is_array()) return;
        for (const auto& r : wire::ranges_from_record(tasks->get_array()))
            if (!r.machine.empty()) out.insert(r.machine);
    };
    const auto first = scheduler::work_key(uid, 0);
    if (const auto it = records_.find(first); it != records_.end()) add(it->second.text);
    for (auto it = records_.lower_bound(first + "/"); it != records_.end() && it->first.starts_with(first + "/"); ++it)
        add(it->second.text);
    return out;
}

ReplicaContents RecordReplica::source(std::string from, std::uint64_t after) const {
    ReplicaContents out;
    out.from = std::move(from);
    out.generation = generation_;
    out.id = id_;
    out.revision = revision_;
    out.complete = complete_ && after == 0;
    for (const auto& [key, record] : records_)
        if (record.mod_revision > after) out.records.emplace(key, record);
    for (const auto& [uid, outcome] : outcomes_) {
        if (outcome.mod_revision <= after) continue;
        out.records.emplace(scheduler::outcome_key(uid), Record{outcome.mod_revision, text_of(outcome)});
    }
    return out;
}

}  // namespace flintdale::recovery
