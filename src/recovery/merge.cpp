#include "recovery/merge.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <set>
#include <tuple>

#include "model/job.hpp"
#include "recovery/record_keys.hpp"

namespace flintdale::recovery {

namespace {

namespace json = boost::json;

std::optional<json::object> object_of(const std::string& text) {
    json::error_code ec;
    auto value = json::parse(text, ec);
    if (ec || !value.is_object()) return std::nullopt;
    return std::move(value.get_object());
}

model::JobState state_of(const std::string& text) {
    const auto o = object_of(text);
    const auto* state = o ? o->if_contains("state") : nullptr;
    if (!state || !state->is_string()) return model::JobState::open;
    for (const auto known : {model::JobState::done, model::JobState::cancelled})
        if (state->get_string() == wire::job_state_name(known)) return known;
    return model::JobState::open;
}

// Decides between two values of one key with the same generation and mod revision, which only damage or a forked
// history can cause: done takes precedence over cancelled, and a higher attempt over a lower one.
auto precedence(const std::string& key, const std::string& text) {
    std::uint64_t rank = 0;
    if (is_outcome_key(key)) {
        rank = state_of(text) == model::JobState::done ? 2 : state_of(text) == model::JobState::cancelled ? 1 : 0;
    } else if (const auto o = object_of(text)) {
        const auto* tasks = o->if_contains("tasks");
        if (tasks && tasks->is_array()) try {
                for (const auto& range : wire::ranges_from_record(tasks->get_array()))
                    rank = std::max(rank, range.attempt);
            } catch (const std::exception&) {
                rank = 0;
            }
    }
    return std::tuple(rank, text);
}

bool readable(const std::string& key, const std::string& text) {
    const auto o = object_of(text);
    return o && (!is_outcome_key(key) || state_of(text) != model::JobState::open);
}

// The state of one merge. merge() calls the steps in the required order.
class Merger {
  public:
    explicit Merger(const std::vector<ReplicaContents>& sources) {
        for (const auto& source : sources)
            if (source.complete) newest_complete_ = std::max(newest_complete_, source.generation);
        for (const auto& source : sources)
            if (source.generation >= newest_complete_) used_.push_back(&source);
    }

    Merged merge(const ReplicaContents& store) {
        take_newest();
        drop_removed();
        for (auto& [key, newest] : newest_) out_.records.emplace(key, newest.record->text);
        add_stored(store);
        drop_finished_and_orphaned_work();
        return std::move(out_);
    }

  private:
    // The newest value of a key found so far, and the generation of its source.
    struct Newest {
        std::uint64_t generation = 0;
        const Record* record = nullptr;
    };

    void report(std::string problem) { unrecoverable_.insert(std::move(problem)); }

    // Takes the newest readable value of each key from the sources.
    void take_newest() {
        for (const auto* source : used_)
            for (const auto& [key, record] : source->records) {
                if (!readable(key, record.text)) {
                    report("unreadable value of " + key);
                    continue;
                }
                auto& newest = newest_[key];
                const auto candidate = std::tuple(source->generation, record.mod_revision);
                const auto present =
                    newest.record ? std::tuple(newest.generation, newest.record->mod_revision) : std::tuple(0ul, 0ul);
                if (newest.record && candidate == present && record.text != newest.record->text)
                    report("two different values of " + key);
                if (!newest.record || candidate > present ||
                    (candidate == present && precedence(key, record.text) > precedence(key, newest.record->text)))
                    newest = {source->generation, &record};
            }
    }

    // Drops work records that were removed before the loss. Work is only removed once its job has an outcome, so a
    // complete source must hold that outcome. A source that lacks a record without holding the outcome may have lost
    // it. It may also never have had it, if it was loaded from a store that had been reset to an earlier state.
    void drop_removed() {
        for (const auto* source : used_) {
            if (!source->complete) continue;
            std::erase_if(newest_, [&](const auto& entry) {
                const auto& [key, newest] = entry;
                if (is_outcome_key(key) || newest.generation != source->generation ||
                    newest.record->mod_revision > source->revision || source->records.contains(key))
                    return false;
                const auto work = scheduler::parse_work_key(key);
                return work && source->records.contains(scheduler::outcome_key(work->uid));
            });
        }
    }

    // Whether a complete source holds the job.
    bool known_to_complete_source(const std::string& uid) const {
        return std::any_of(used_.begin(), used_.end(), [&](const ReplicaContents* source) {
            return source->complete && (source->records.contains(scheduler::outcome_key(uid)) ||
                                        source->records.contains(scheduler::work_key(uid, 0)));
        });
    }

    // Adds records that only the store holds.
    void add_stored(const ReplicaContents& store) {
        for (const auto& [key, record] : store.records) {
            if (!readable(key, record.text)) {
                if (!out_.records.contains(key)) report("unreadable value of " + key);
                continue;
            }
            if (out_.records.contains(key)) continue;
            if (!is_outcome_key(key)) {
                const auto work = scheduler::parse_work_key(key);
                // A store that was reset to an earlier state may show records that had been removed.
                if (!work || known_to_complete_source(work->uid)) continue;
            }
            out_.records.emplace(key, record.text);
        }
    }

    // Drops work of done jobs, and work of jobs whose first record no source holds: their submission is lost.
    void drop_finished_and_orphaned_work() {
        std::set<std::string> lost;
        std::erase_if(out_.records, [&](const auto& entry) {
            const auto& key = entry.first;
            if (is_outcome_key(key)) return false;
            const auto work = scheduler::parse_work_key(key);
            if (!work) return true;
            const auto outcome = out_.records.find(scheduler::outcome_key(work->uid));
            if (outcome != out_.records.end()) return state_of(outcome->second) == model::JobState::done;
            if (work->first() || newest_.contains(scheduler::work_key(work->uid, 0)) ||
                out_.records.contains(scheduler::work_key(work->uid, 0)))
                return false;
            lost.insert(work->uid);
            return true;
        });
        for (const auto& uid : lost) report("submission lost: " + uid);
        out_.unrecoverable.assign(unrecoverable_.begin(), unrecoverable_.end());
    }

    std::uint64_t newest_complete_ = 0;
    std::vector<const ReplicaContents*> used_;
    std::map<std::string, Newest> newest_;
    std::set<std::string> unrecoverable_;
    Merged out_;
};

}  // namespace

Merged merge(const std::vector<ReplicaContents>& sources, const ReplicaContents& store) {
    return Merger(sources).merge(store);
}

}  // namespace flintdale::recovery
