// What the records of jobs should be after a loss, from everything that the replicas and the store hold. Pure: it
// knows nothing of the store or of time.
#pragma once
#include <map>
#include <string>
#include <vector>

namespace flintdale::recovery {

struct Record {
    std::uint64_t mod_revision = 0;  // in the history of its source
    std::string text;                // JSON
    bool operator==(const Record&) const = default;
};

// The records of jobs that one controller, a snapshot or the store itself holds.
struct ReplicaContents {
    std::string from;              // for the log
    std::uint64_t generation = 0;  // of the history that its mod revisions belong to
    std::string id;                // of that history
    std::uint64_t revision = 0;
    // It holds all that was on record at `revision`: what it lacks had been removed by then, or never existed. Records
    // beyond that revision may be among those it holds.
    bool complete = false;
    std::map<std::string, Record> records;
};

struct Merged {
    std::map<std::string, std::string> records;  // key -> JSON
    // Records that contradict each other, or are known to have existed and are lost. Each is a line for the operator.
    std::vector<std::string> unrecoverable;
};

// Merges all sources. Their order does not matter. `store` is what the store holds now: its mod revisions belong to no
// history that the others know, so it adds what nobody else knows of, and ends what others believe to be open.
//   - Of a key, the newest value of the newest generation wins; older generations count only where no whole source of a
//     newer one exists.
//   - Work that a whole source lacks, though it is old enough to be known there and the source knows its job's outcome,
//     had been removed.
//   - An outcome beats open work. Work of a job that is done is left out; of a cancelled one it stays, for its tasks
//     have to be found and stopped.
//   - Work without its first record is dropped: the submission is lost, and reported.
Merged merge(const std::vector<ReplicaContents>& sources, const ReplicaContents& store);

}  // namespace flintdale::recovery
