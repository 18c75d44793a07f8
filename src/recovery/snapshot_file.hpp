// Snapshots of a controller's replica in a local directory. Disabled unless the operator configures a directory.
#pragma once
#include <filesystem>
#include <optional>

#include "recovery/merge.hpp"

namespace flintdale::recovery {

class SnapshotFile {
  public:
    // An empty path disables snapshots.
    explicit SnapshotFile(std::filesystem::path directory = {}) : directory_(std::move(directory)) {}

    bool in_use() const { return !directory_.empty(); }
    // Writes a snapshot to a temporary file, syncs it and renames it. Older snapshots beyond the previous one are
    // removed only after that, so the previous one survives a crash at any moment or a full disk. Returns false and
    // logs the error if the snapshot could not be written.
    bool put(const ReplicaContents& source);
    // The newest intact snapshot; nullopt if there is none.
    std::optional<ReplicaContents> newest() const;

  private:
    std::filesystem::path directory_;
};

}  // namespace flintdale::recovery
