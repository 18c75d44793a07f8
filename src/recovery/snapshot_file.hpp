// Snapshots of a controller's replica, in a directory of its machine. Off unless the operator names one.
#pragma once
#include <filesystem>
#include <optional>

#include "recovery/merge.hpp"

namespace flintdale::recovery {

class SnapshotFile {
  public:
    // An empty path: no snapshots are kept.
    explicit SnapshotFile(std::filesystem::path directory = {}) : directory_(std::move(directory)) {}

    bool in_use() const { return !directory_.empty(); }
    // Writes a snapshot beside the previous one, which is removed only when this one is whole on the disk: a crash at
    // any moment, or a disk that is full, leaves the previous one. False, with a line in the log, if it could not be
    // written.
    bool put(const ReplicaContents& source);
    // The newest snapshot that is whole; nothing if there is none.
    std::optional<ReplicaContents> newest() const;

  private:
    std::filesystem::path directory_;
};

}  // namespace flintdale::recovery
