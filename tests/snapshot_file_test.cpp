// Snapshots of a replica on disk.
#include "recovery/snapshot_file.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>

#include "support/record_samples.hpp"

namespace flintdale::test {

namespace {

namespace fs = std::filesystem;

struct TemporaryDirectory {
    fs::path path;
    TemporaryDirectory() {
        std::string name = (fs::temp_directory_path() / "flintdale-test-XXXXXX").string();
        path = ::mkdtemp(name.data());
    }
    ~TemporaryDirectory() { fs::remove_all(path); }
};

}  // namespace

TEST(SnapshotFileTest, TornSnapshotLeavesThePreviousOne) {
    TemporaryDirectory dir;
    recovery::SnapshotFile snapshot_file(dir.path);
    EXPECT_FALSE(snapshot_file.newest());
    auto one = replica_contents(1, 10, true, {{"jobs/work/run-1", {4, work_record(1)}}});
    auto two = replica_contents(1, 20, true,
                                {{"jobs/work/run-1", {14, work_record(2)}}, {"jobs/over/run-2", {15, done_outcome}}});
    ASSERT_TRUE(snapshot_file.put(one));
    ASSERT_TRUE(snapshot_file.put(two));
    EXPECT_EQ(snapshot_file.newest()->records, two.records);
    EXPECT_EQ(snapshot_file.newest()->revision, 20u);
    EXPECT_EQ(snapshot_file.newest()->id, "history-1");
    std::vector<fs::path> files;
    for (const auto& entry : fs::directory_iterator(dir.path)) files.push_back(entry.path());
    std::sort(files.begin(), files.end());
    ASSERT_EQ(files.size(), 2u);
    std::ifstream in(files[1], std::ios::binary);
    const std::string bytes{std::istreambuf_iterator<char>(in), {}};
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        std::ofstream(files[1], std::ios::binary | std::ios::trunc) << bytes.substr(0, n);
        ASSERT_TRUE(snapshot_file.newest());
        EXPECT_EQ(snapshot_file.newest()->records, one.records) << n;
    }
    // A crash before the rename leaves a temporary file, which is ignored.
    std::ofstream(files[1], std::ios::binary | std::ios::trunc) << bytes;
    std::ofstream(dir.path / "00000000000000000009-00000000000000000001.records.part") << bytes;
    EXPECT_EQ(snapshot_file.newest()->records, two.records);
}

TEST(SnapshotFileTest, KeepsTwoGenerationsAndSurvivesAnUnwritableDirectory) {
    TemporaryDirectory dir;
    recovery::SnapshotFile snapshot_file(dir.path);
    for (std::uint64_t n = 1; n <= 5; ++n) ASSERT_TRUE(snapshot_file.put(replica_contents(n / 3, n, true, {})));
    EXPECT_EQ(std::distance(fs::directory_iterator(dir.path), fs::directory_iterator()), 2);
    EXPECT_EQ(snapshot_file.newest()->revision, 5u);
    std::ofstream(dir.path / "file") << "not a directory";
    recovery::SnapshotFile unwritable(dir.path / "file");
    EXPECT_FALSE(unwritable.put(replica_contents(1, 1, true, {})));
    EXPECT_FALSE(unwritable.newest());
}

}  // namespace flintdale::test
