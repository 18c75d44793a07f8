// Packs many records as compressed text into single values (pages) of the key-value store.
#pragma once
#include <string>
#include <vector>

#include "recovery/merge.hpp"
#include "state/record_format.hpp"
#include "state/store.hpp"
#include "wire/archive.hpp"

namespace flintdale::recovery {

// Encodes the records in the order of their keys into pages that fit the store's value size limit.
std::vector<std::string> encode_pages(const ReplicaContents& contents, const state::RecordFormat& record_format);

// Decodes the records of one page. Throws wire::DecodeError, or the exception of Boost.JSON if the value is not a
// string.
std::vector<wire::ArchivedRecord> decode_page(const state::KeyValue& page);

}  // namespace flintdale::recovery
