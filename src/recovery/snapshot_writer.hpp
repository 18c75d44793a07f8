// Writes snapshots of the replica to the local disk at an interval, and loads the newest one at startup.
#pragma once
#include "model/clock.hpp"
#include "recovery/record_replica.hpp"
#include "recovery/snapshot_file.hpp"

namespace flintdale::recovery {

class SnapshotWriter {
  public:
    explicit SnapshotWriter(SnapshotFile file) : file_(std::move(file)) {}

    // Loads the newest intact snapshot into the replica, if there is one.
    void load(RecordReplica& replica) const;
    // Writes a snapshot if snapshots are enabled, the replica is complete and the interval has passed.
    void write_if_due(const RecordReplica& replica);

  private:
    SnapshotFile file_;
    model::TimePoint written_at_{};
};

}  // namespace flintdale::recovery
