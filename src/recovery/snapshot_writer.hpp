// Keeps a snapshot of the replica on the machine's disk, and loads it at the start.
#pragma once
#include "model/clock.hpp"
#include "recovery/record_replica.hpp"
#include "recovery/snapshot_file.hpp"

namespace flintdale::recovery {

class SnapshotWriter {
  public:
    explicit SnapshotWriter(SnapshotFile file) : file_(std::move(file)) {}

    // Fills the replica with the newest complete snapshot, if there is one.
    void load(RecordReplica& replica) const;
    // Writes a snapshot if they are in use, the replica is complete and the last one is old enough.
    void write_if_due(const RecordReplica& replica);

  private:
    SnapshotFile file_;
    model::TimePoint written_at_{};
};

}  // namespace flintdale::recovery
