// What the records of jobs should be after a loss, from everything that somebody remembers of them. Pure.
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

// What one controller, snapshot or the state service itself holds of the keys of jobs.
struct ReplicaContents {
    std::string from;              // for the log
    std::uint64_t generation = 0;  // of the history that its stamps are of
    std::string id;                // of that history
    std::uint64_t revision = 0;
    // It knows all that was on record at `revision`: what it does not hold had been removed by then, or never was.
    // Records beyond that revision may be among those it holds.
    bool whole = false;
    std::map<std::string, Record> records;
};

struct Merged {
    std::map<std::string, std::string> records;  // key -> JSON
    // Things that do not fit together, or are known to have been and are gone; each is a line for the operator.
    std::vector<std::string> doubts;
};

// The order of the sources does not matter. `store` is what the state service holds now: its stamps are of no history
// that the others know, so it adds what nobody else knows of, and ends what others believe to be open.
//   - Of a key, the newest of the newest generation holds; older generations count only where no whole source of a
//     newer one exists.
//   - Work that a whole source lacks, though it is old enough to be known there and the source knows its job's outcome,
//     had been removed.
//   - An outcome beats open work. Work of a job that is done is left out; of a cancelled one it stays, for its tasks
//     have to be found and stopped.
//   - Work without its first record is nobody's: the submission is lost, and said so.
Merged merge(const std::vector<ReplicaContents>& sources, const ReplicaContents& store);

}  // namespace flintdale::recovery
