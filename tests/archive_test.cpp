// The archive format of record pages: a page is decoded completely, or an error is thrown.
#include "wire/archive.hpp"

#include <gtest/gtest.h>

#include "support/record_samples.hpp"
#include "wire/json.hpp"

namespace flintdale::test {

TEST(ArchiveTest, PageIsDecodedWholeOrNotAtAll) {
    std::vector<wire::ArchivedRecord> records;
    for (int i = 0; i < 300; ++i) records.push_back({"jobs/work/run-" + std::to_string(i), 7u + i, work_record(i)});
    const auto bytes = wire::encode_archive(records);
    EXPECT_EQ(wire::decode_archive(bytes), records);
    EXPECT_EQ(wire::decode_archive_text(wire::encode_archive_text(records)), records);
    for (std::size_t n = 0; n < bytes.size(); n += 7) {
        EXPECT_THROW(wire::decode_archive(bytes.substr(0, n)), wire::DecodeError) << n;
        auto damaged = bytes;
        damaged[n] = static_cast<char>(damaged[n] ^ 0x10);
        try {
            EXPECT_EQ(wire::decode_archive(damaged), records) << "a damaged page was accepted and gave other records";
        } catch (const wire::DecodeError&) {
        }
    }
    EXPECT_THROW(wire::decode_archive_text("no page"), wire::DecodeError);
}

}  // namespace flintdale::test
