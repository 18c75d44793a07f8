#include "recovery/snapshot_writer.hpp"

#include <spdlog/spdlog.h>

namespace flintdale::recovery {

namespace {

constexpr auto snapshot_interval = std::chrono::seconds(30);

}  // namespace

void SnapshotWriter::load(RecordReplica& replica) const {
    const auto snapshot = file_.newest();
    if (!snapshot) return;
    replica.load_snapshot(*snapshot);
    spdlog::info("event=snapshot_loaded records={} generation={} revision={}", snapshot->records.size(),
                 snapshot->generation, snapshot->revision);
}

void SnapshotWriter::write_if_due(const RecordReplica& replica) {
    if (!file_.in_use()) return;
    const auto now = model::Clock::now();
    if (!replica.is_complete() || now - written_at_ < snapshot_interval) return;
    written_at_ = now;
    file_.put(replica.source("memory"));
}

}  // namespace flintdale::recovery
