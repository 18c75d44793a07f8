// Computes the job records to restore after a loss, from all replicas and from what the store still holds. No I/O and
// no clock.
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
    std::string from;              // name of the source, for the log
    std::uint64_t generation = 0;  // of the history that its mod revisions belong to
    std::string id;                // of that history
    std::uint64_t revision = 0;
    // It holds every record that was stored at `revision`: a record that it lacks had been removed by then, or did not
    // exist. It may also hold later records.
    bool complete = false;
    std::map<std::string, Record> records;
};

struct Merged {
    std::map<std::string, std::string> records;  // key -> JSON
    // Records that contradict each other, or that existed and are lost. Each entry is a message for the operator.
    std::vector<std::string> unrecoverable;
};

// Merges all sources; their order does not matter. `store` is what the store holds now. Its mod revisions are not
// comparable with those of the sources, so it only adds records that no source holds. These may be outcomes of jobs
// that the sources hold as open.
//   - For each key, the newest value of the newest generation is used. Generations older than that of the newest
//     complete source are ignored.
//   - A work record counts as removed if a complete source of its generation lacks it. The source must have reached the
//     record's mod revision and hold the outcome of the job.
//   - An outcome takes precedence over open work. Work of a done job is dropped. Work of a cancelled job is kept until
//     its tasks have been found and stopped.
//   - Work without the job's first record is dropped: the submission is lost, and is reported in `unrecoverable`.
Merged merge(const std::vector<ReplicaContents>& sources, const ReplicaContents& store);

}  // namespace flintdale::recovery
