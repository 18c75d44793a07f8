// The state service as the rest of the program sees it. Tests replace it with a fake in memory.
#pragma once
#include <boost/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "model/clock.hpp"
#include "net/asio.hpp"

namespace flintdale::state {

namespace json = boost::json;
using net::awaitable;

enum class Outcome : std::uint8_t {
    ok,
    conflict,  // a condition failed; nothing was changed
    no_lease,
    refused,    // 429 or 503: not carried out
    too_large,  // or otherwise never taken as it is; nothing was changed
    too_old,    // a watch from before the kept changes
    unknown,    // no answer: may have been carried out, or may still be
};

struct KeyValue {
    std::string key;
    json::value value;
    std::uint64_t mod_revision = 0;  // 0: absent
};

struct Condition {
    std::string key;
    std::uint64_t mod_revision = 0;
};

struct Change {
    std::string key;
    std::optional<json::value> value;  // absent: delete
    std::uint64_t lease = 0;           // 0: none
};

struct Txn {
    std::vector<Condition> conditions;
    std::vector<Change> changes;
};

struct TxnResult {
    Outcome outcome = Outcome::unknown;
    std::uint64_t revision = 0;
    std::vector<std::string> failed;
};

struct GetResult {
    Outcome outcome = Outcome::unknown;
    KeyValue item;
};

struct RangeResult {
    Outcome outcome = Outcome::unknown;
    std::vector<KeyValue> items;
    bool more = false;
    std::uint64_t revision = 0;
};

struct WatchResult {
    Outcome outcome = Outcome::unknown;
    std::vector<KeyValue> events;  // stamp of a deletion is kept, its value is null
    std::vector<bool> deleted;
    std::uint64_t revision = 0;
};

struct LeaseResult {
    Outcome outcome = Outcome::unknown;
    std::uint64_t lease = 0;
};

// What must not wait behind what.
enum class RequestPriority : std::uint8_t { leadership, user, bookkeeping, garbage_collection };

class Store {
  public:
    virtual ~Store() = default;
    virtual awaitable<GetResult> get(std::string key, RequestPriority priority) = 0;
    virtual awaitable<RangeResult> range(std::string prefix, std::string after, RequestPriority priority) = 0;
    virtual awaitable<TxnResult> commit(Txn txn, RequestPriority priority) = 0;
    virtual awaitable<WatchResult> watch(std::string prefix, std::uint64_t from, std::chrono::milliseconds hold) = 0;
    virtual awaitable<LeaseResult> grant(std::chrono::milliseconds ttl) = 0;
    virtual awaitable<Outcome> renew(std::uint64_t lease) = 0;
    virtual awaitable<void> revoke(std::uint64_t lease) = 0;
    // How many writes to put into one transaction, so that others need not wait long behind it.
    virtual std::size_t write_portion() const { return 1000; }
    // How long a write that came now would wait for its turn, before it is even sent.
    virtual std::chrono::duration<double> write_wait() const { return std::chrono::duration<double>(0); }
};

// The same with what a controller settles with the others: its share of the limits, and whether it is served.
class Service : public Store {
  public:
    virtual void set_leading(bool leading) = 0;
    // Writes that were asked for since the last call.
    virtual double take_write_demand() = 0;
    virtual void set_write_demand(double own, double all) = 0;
    // Whether the service answered this controller lately.
    virtual bool healthy(model::TimePoint now) const = 0;
};

}  // namespace flintdale::state
