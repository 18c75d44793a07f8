// The store's HTTP protocol: request targets, request bodies, and parsing of answers. No I/O and no clock. The field
// names of the wire format appear only here and in record values.
#pragma once
#include <chrono>
#include <string>

#include "net/http_client.hpp"
#include "state/store.hpp"

namespace flintdale::state::protocol {

std::string get_target(const std::string& key);
std::string range_target(const std::string& prefix, const std::string& after);
std::string watch_target(const std::string& prefix, std::uint64_t from, std::chrono::milliseconds hold);
std::string renew_target(std::uint64_t lease);
std::string revoke_target(std::uint64_t lease);
inline constexpr const char* commit_target = "/multi";
inline constexpr const char* grant_target = "/grants";

// The body of a transaction. Moves the values out of the changes; the keys remain.
std::string commit_body(Txn& txn);
std::string grant_body(std::chrono::milliseconds ttl);

// Parsers of answers. A body that is not the JSON that the protocol specifies yields the outcome `unknown`. A number
// out of range throws boost::system::system_error.
GetResult parse_get(const net::HttpAnswer& answer, std::string key);
RangeResult parse_range(const net::HttpAnswer& answer);
TxnResult parse_commit(const net::HttpAnswer& answer);
WatchResult parse_watch(const net::HttpAnswer& answer);
LeaseResult parse_grant(const net::HttpAnswer& answer);
Outcome parse_renew(const net::HttpAnswer& answer);

}  // namespace flintdale::state::protocol
