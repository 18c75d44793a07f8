// Pages of records, packed as text into single values of the key-value store.
#pragma once
#include <string>
#include <vector>

#include "recovery/merge.hpp"
#include "state/record_format.hpp"
#include "state/store.hpp"
#include "wire/archive.hpp"

namespace flintdale::recovery {

// The records in the order of their keys, each page small enough for a value.
std::vector<std::string> encode_pages(const ReplicaContents& contents, const state::RecordFormat& record_format);

// The records of one page. Throws wire::DecodeError, or what Boost.JSON throws for a value that is no text.
std::vector<wire::ArchivedRecord> decode_page(const state::KeyValue& page);

}  // namespace flintdale::recovery
