// The interface of the key-value store ("state service") as the rest of the program uses it. It knows neither the
// store's wire protocol nor its request limits: http_store.hpp has those. Tests replace it with a fake in memory.
//
// Revisions: the store counts its changes in one revision number for all keys. The mod revision of a key is the
// revision of its last change; 0 stands for a key that is absent.
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

// How a request ended. Only `unknown` leaves open whether the request took effect.
enum class Outcome : std::uint8_t {
    ok,
    conflict,   // a condition of the transaction failed; nothing was changed
    no_lease,   // the lease that the request names does not exist, or no more
    refused,    // over the request limits or unavailable for now (429, 503); not carried out
    too_large,  // the transaction exceeds a limit, or is rejected as it is for good; nothing was changed
    too_old,    // a watch from a revision before the changes that the store still keeps
    unknown,    // no usable answer: the request may have been carried out, or may still be
};

// A key with its value.
struct KeyValue {
    std::string key;
    json::value value;
    std::uint64_t mod_revision = 0;  // 0: the key is absent
};

// Holds if the key's mod revision is exactly this one; 0: if the key is absent.
struct Condition {
    std::string key;
    std::uint64_t mod_revision = 0;
};

// Writes or deletes one key.
struct Change {
    std::string key;
    std::optional<json::value> value;  // absent: delete the key
    std::uint64_t lease = 0;           // the store deletes the key when this lease expires; 0: no lease
};

// A compare-and-swap over several keys: all changes are made if all conditions hold, otherwise none.
struct Txn {
    std::vector<Condition> conditions;
    std::vector<Change> changes;
};

struct TxnResult {
    Outcome outcome = Outcome::unknown;
    std::uint64_t revision = 0;       // ok: the mod revision of all changed keys; conflict: the store's current one
    std::vector<std::string> failed;  // conflict: keys whose conditions did not hold
};

// An absent key is `ok`, with mod revision 0.
struct GetResult {
    Outcome outcome = Outcome::unknown;
    KeyValue item;
};

// One page of the keys with a prefix, in the order of the keys.
struct RangeResult {
    Outcome outcome = Outcome::unknown;
    std::vector<KeyValue> items;
    bool more = false;           // further keys follow the last item
    std::uint64_t revision = 0;  // the store's revision when it read the page
};

struct WatchResult {
    Outcome outcome = Outcome::unknown;
    std::vector<KeyValue> events;  // in the order of their revisions; a deletion has a null value
    std::vector<bool> deleted;     // for each event, whether it is a deletion
    std::uint64_t revision = 0;    // up to which the events are complete
};

struct LeaseResult {
    Outcome outcome = Outcome::unknown;
    std::uint64_t lease = 0;  // its id; never 0 if `ok`
};

// Which requests are sent first when the request limits make them wait, the most urgent one first.
enum class RequestPriority : std::uint8_t { leadership, user, bookkeeping, garbage_collection };

// The store's operations. None throws because of the store or the network: each reports an Outcome.
class Store {
  public:
    virtual ~Store() = default;

    // Reads one key.
    virtual awaitable<GetResult> get(std::string key, RequestPriority priority) = 0;

    // Reads a page of the keys with this prefix that come after the key `after`; empty: from the first one.
    virtual awaitable<RangeResult> range(std::string prefix, std::string after, RequestPriority priority) = 0;

    // Carries out a transaction, all of it or nothing.
    virtual awaitable<TxnResult> commit(Txn txn, RequestPriority priority) = 0;

    // Waits for changes after revision `from` of keys with this prefix, at most for `hold`; no event if there is none.
    virtual awaitable<WatchResult> watch(std::string prefix, std::uint64_t from, std::chrono::milliseconds hold) = 0;

    // Makes a lease that expires `ttl` after its last renewal.
    virtual awaitable<LeaseResult> grant(std::chrono::milliseconds ttl) = 0;

    // Renews a lease; `no_lease` if it has expired.
    virtual awaitable<Outcome> renew(std::uint64_t lease) = 0;

    // Ends a lease, and with it its keys. Best effort: if the request fails, the lease expires by itself.
    virtual awaitable<void> revoke(std::uint64_t lease) = 0;

    // How many changes to put into one transaction, so that other requests need not wait long behind it.
    virtual std::size_t preferred_batch_size() const { return 1000; }

    // How long a change that is requested now would wait before it is sent.
    virtual std::chrono::duration<double> write_wait() const { return std::chrono::duration<double>(0); }
};

// A store whose request limits the controllers of a cluster share.
class RateLimitedStore : public Store {
  public:
    // The leader gets the larger share of the limits.
    virtual void set_leading(bool leading) = 0;

    // The number of changes requested since the last call, those that still wait included.
    virtual double take_write_demand() = 0;

    // Shares out the write limit by demand: this controller's, and that of all controllers together.
    virtual void set_write_demand(double own, double all) = 0;

    // Whether the store has answered this controller lately.
    virtual bool healthy(model::TimePoint now) const = 0;
};

}  // namespace flintdale::state
