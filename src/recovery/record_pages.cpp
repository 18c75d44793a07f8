#include "recovery/record_pages.hpp"

#include <algorithm>

namespace flintdale::recovery {

namespace {

constexpr std::size_t initial_page_records = 256;  // halved until the page fits a value

}  // namespace

std::vector<std::string> encode_pages(const ReplicaContents& contents, const state::RecordFormat& record_format) {
    std::vector<wire::ArchivedRecord> records;
    for (const auto& [key, record] : contents.records) records.push_back({key, record.mod_revision, record.text});
    std::vector<std::string> pages;
    std::size_t per_page = initial_page_records;
    for (std::size_t at = 0; at < records.size();) {
        auto count = std::min(per_page, records.size() - at);
        auto text = wire::encode_archive_text({records.data() + at, count});
        while (count > 1 && !record_format.fits(boost::json::string(text))) {
            count = per_page = (count + 1) / 2;
            text = wire::encode_archive_text({records.data() + at, count});
        }
        at += count;
        pages.push_back(std::move(text));
    }
    return pages;
}

std::vector<wire::ArchivedRecord> decode_page(const state::KeyValue& page) {
    return wire::decode_archive_text(std::string_view(page.value.as_string()));
}

}  // namespace flintdale::recovery
