// Sample job records, replica contents and store answers for tests of the recovery package.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "model/job.hpp"
#include "recovery/merge.hpp"
#include "state/store.hpp"
#include "wire/json.hpp"

namespace flintdale::test {

inline const std::string cancelled_outcome = R"({"state":"aborted","shape":"array","shards":2})";
inline const std::string done_outcome = R"({"state":"done","shape":"array","shards":2})";

// A work record whose task 0 has that attempt on that machine; attempt 0: no task is placed.
inline std::string work_record(std::uint64_t attempt, const std::string& machine = "n-1") {
    boost::json::array tasks;
    if (attempt) tasks = wire::ranges_to_record({{0, 0, attempt, machine, false}});
    return boost::json::serialize(boost::json::object{{"spec", boost::json::object()}, {"tasks", tasks}});
}

// Contents of the history "history-GENERATION".
inline recovery::ReplicaContents replica_contents(std::uint64_t generation, std::uint64_t revision, bool complete,
                                                  std::map<std::string, recovery::Record> records) {
    recovery::ReplicaContents contents;
    contents.from = "test";
    contents.generation = generation;
    contents.id = "history-" + std::to_string(generation);
    contents.revision = revision;
    contents.complete = complete;
    contents.records = std::move(records);
    return contents;
}

inline state::KeyValue item(const std::string& key, const std::string& text, std::uint64_t mod_revision) {
    return {key, boost::json::parse(text), mod_revision};
}

// A removal, as it appears among the events of a watch.
inline state::KeyValue removed(const std::string& key, std::uint64_t mod_revision) { return {key, {}, mod_revision}; }

// The result of a watch.
inline state::WatchResult changes(std::uint64_t revision, std::vector<state::KeyValue> events,
                                  std::vector<bool> deleted) {
    state::WatchResult result;
    result.outcome = state::Outcome::ok;
    result.revision = revision;
    result.events = std::move(events);
    result.deleted = std::move(deleted);
    return result;
}

}  // namespace flintdale::test
