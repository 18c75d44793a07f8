#include "recovery/record_replica.hpp"

#include <algorithm>
#include <boost/crc.hpp>

#include "scheduler/job.hpp"
#include "wire/json.hpp"

namespace flintdale::recovery {

namespace {

namespace json = boost::json;

bool is_final(const std::string& key) { return key.starts_with(scheduler::over_prefix); }
std::string uid_of_final(const std::string& key) { return key.substr(std::string_view(scheduler::over_prefix).size()); }

// Where an outcome says by itself how many tasks of which shape there were, nothing else in it is ever read again.
bool has_size(const json::object& o) { return o.if_contains("shape") && o.if_contains("shards"); }

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
    if (is_final(key))
        if (const auto it = finals_.find(uid_of_final(key)); it != finals_.end()) return it->second.mod_revision;
    const auto it = work_.find(key);
    return it == work_.end() ? 0 : it->second.mod_revision;
}

void RecordReplica::store(const std::string& key, const json::value& value, std::uint64_t mod_revision) {
    if (mod_revision_of(key) >= mod_revision) return;
    if (is_final(key) && value.is_object() && has_size(value.get_object())) try {
            const auto& o = value.get_object();
            Final f;
            f.mod_revision = mod_revision;
            f.state = wire::job_state_from(std::string_view(o.at("state").as_string()));
            if (const auto* at = o.if_contains("at")) f.at = at->to_number<std::int64_t>();
            const auto size = wire::size_from_record(o);
            f.kind = size.kind;
            f.tasks = size.tasks;
            finals_[uid_of_final(key)] = f;
            work_.erase(key);
            return;
        } catch (const std::exception&) {
            // Kept as it is: whoever rebuilds finds out that it cannot be read, and may have a better one.
        }
    work_[key] = {mod_revision, json::serialize(value)};
}

void RecordReplica::erase(const std::string& key, std::uint64_t mod_revision) {
    if (!whole_) removed_[key] = mod_revision;
    if (const auto it = work_.find(key); it != work_.end() && it->second.mod_revision < mod_revision) work_.erase(it);
}

void RecordReplica::add_page(const std::vector<state::KeyValue>& items) {
    for (const auto& item : items) {
        const auto gone = removed_.find(item.key);
        if (gone == removed_.end() || gone->second < item.mod_revision) store(item.key, item.value, item.mod_revision);
    }
}

void RecordReplica::pages_complete() {
    whole_ = true;
    removed_.clear();
}

std::vector<std::string> RecordReplica::apply_changes(const state::WatchResult& changes) {
    std::vector<std::string> oddities;
    for (std::size_t i = 0; i < changes.events.size(); ++i) {
        const auto& e = changes.events[i];
        if (!changes.deleted[i]) {
            store(e.key, e.value, e.mod_revision);
            continue;
        }
        // Work is removed when a job is over, and outcomes never are. While not everything has been read, an outcome
        // may merely not be known yet.
        const auto work = scheduler::parse_work_key(e.key);
        const bool ordered =
            work && (!whole_ || is_over(work->uid) || work_.contains(scheduler::outcome_key(work->uid)));
        // Without its first record a piece is nobody's, and leaders clear such away.
        const bool nobodys = work && !work->first() && !work_.contains(scheduler::work_key(work->uid, 0));
        if (!ordered && !nobodys) {
            oddities.push_back(e.key);
            continue;  // it is remembered all the more
        }
        erase(e.key, e.mod_revision);
    }
    revision_ = std::max(revision_, changes.revision);
    return oddities;
}

void RecordReplica::apply_own_write(const state::Change& change, std::uint64_t revision) {
    if (change.value)
        store(change.key, *change.value, revision);
    else
        erase(change.key, revision);
}

bool RecordReplica::knows_job(const std::string& uid) const {
    return finals_.contains(uid) || work_.contains(scheduler::work_key(uid, 0)) ||
           work_.contains(scheduler::outcome_key(uid));
}

std::optional<RecordReplica::Outcome> RecordReplica::outcome_of(const std::string& uid) const {
    if (const auto it = finals_.find(uid); it != finals_.end())
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
    for (const auto& [uid, f] : finals_) count(uid, f.mod_revision);
    for (const auto& [key, record] : work_)
        if (is_final(key)) count(uid_of_final(key), record.mod_revision);
    return out;
}

std::vector<std::string> RecordReplica::open_jobs() const {
    std::vector<std::string> out;
    for (const auto& [key, record] : work_) {
        const auto work = scheduler::parse_work_key(key);
        if (work && work->first() && !is_over(work->uid) && !work_.contains(scheduler::outcome_key(work->uid)))
            out.push_back(work->uid);
    }
    return out;
}

std::size_t RecordReplica::jobs() const {
    const auto odd = std::count_if(work_.begin(), work_.end(), [](const auto& r) { return is_final(r.first); });
    return open_jobs().size() + finals_.size() + static_cast<std::size_t>(odd);
}

bool RecordReplica::readable(const std::string& key) const {
    if (is_final(key) && finals_.contains(uid_of_final(key))) return true;
    const auto it = work_.find(key);
    return it != work_.end() && it->second.text.starts_with('{');
}

std::uint64_t RecordReplica::expected(const std::string& key) const {
    if (const auto work = scheduler::parse_work_key(key);
        work && (is_over(work->uid) || work_.contains(scheduler::outcome_key(work->uid))))
        return 0;
    const auto mod_revision = mod_revision_of(key);
    return mod_revision <= deferred_mod_revision ? 0 : mod_revision;
}

std::size_t RecordReplica::jobs_at(std::uint64_t revision) const {
    std::size_t n = digest(revision).outcomes;
    for (const auto& uid : open_jobs()) n += work_.at(scheduler::work_key(uid, 0)).mod_revision <= revision;
    return n;
}

std::vector<std::string> RecordReplica::missing_from(const Mark& mark, const std::string& from, const std::string& to,
                                                     const std::vector<state::KeyValue>& items) const {
    if (!holds(mark)) return {};
    std::map<std::string_view, const state::KeyValue*> there;
    for (const auto& item : items) there.emplace(item.key, &item);
    std::vector<std::string> out;
    // What has a later stamp than the mark was written, or became known, while the page was on its way.
    const auto check = [&](const std::string& key, std::uint64_t mod_revision) {
        if (key <= from || (!to.empty() && key > to) || mod_revision <= deferred_mod_revision ||
            mod_revision > mark.revision)
            return;
        const auto it = there.find(key);
        if (it == there.end() || it->second->mod_revision < mod_revision ||
            (!it->second->value.is_object() && readable(key)))
            out.push_back(key);
    };
    for (auto it = work_.upper_bound(from); it != work_.end() && (to.empty() || it->first <= to); ++it)
        check(it->first, it->second.mod_revision);
    // Outcomes are remembered in no order: they are gone through only for pages that reach into them.
    if (from < scheduler::work_prefix)
        for (const auto& [uid, f] : finals_) check(scheduler::outcome_key(uid), f.mod_revision);
    return out;
}

std::string RecordReplica::text_of(const Final& f) {
    json::object o{{"state", wire::job_state_name(f.state)}};
    if (f.at) o["at"] = f.at;
    wire::size_to_record({f.kind, f.tasks}, o);
    return json::serialize(o);
}

std::optional<Record> RecordReplica::record(const std::string& key) const {
    if (is_final(key))
        if (const auto it = finals_.find(uid_of_final(key)); it != finals_.end())
            return Record{it->second.mod_revision, text_of(it->second)};
    const auto it = work_.find(key);
    return it == work_.end() ? std::nullopt : std::optional(it->second);
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
    if (const auto it = work_.find(first); it != work_.end()) add(it->second.text);
    for (auto it = work_.lower_bound(first + "/"); it != work_.end() && it->first.starts_with(first + "/"); ++it)
        add(it->second.text);
    return out;
}

ReplicaContents RecordReplica::source(std::string from, std::uint64_t after) const {
    ReplicaContents out;
    out.from = std::move(from);
    out.generation = generation_;
    out.id = id_;
    out.revision = revision_;
    out.whole = whole_ && after == 0;
    for (const auto& [key, record] : work_)
        if (record.mod_revision > after) out.records.emplace(key, record);
    for (const auto& [uid, f] : finals_) {
        if (f.mod_revision <= after) continue;
        out.records.emplace(scheduler::outcome_key(uid), Record{f.mod_revision, text_of(f)});
    }
    return out;
}

}  // namespace flintdale::recovery
