// The interface of the key-value store (the state service). It is independent of the wire protocol and of the request
// limits, which http_store.hpp implements. Tests replace it with an in-memory fake.
//
// Revisions: the store counts its changes in one revision number for all keys. The mod revision of a key is the
// revision of its last change; 0 means that the key is absent.
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

// The result of a request. Only `unknown` leaves open whether the request took effect.
enum class Outcome : std::uint8_t {
    ok,
    conflict,   // a condition of the transaction failed; nothing was changed
    no_lease,   // the lease named in the request does not exist or has expired
    refused,    // over the request limits, or the store is unavailable (429, 503); not carried out
    too_large,  // the transaction exceeds a limit or is otherwise permanently rejected; nothing was changed
    too_old,    // a watch from a revision whose changes the store no longer keeps
    unknown,    // no usable answer: the request may have been carried out, or may be carried out later
};

// A key with its value.
struct KeyValue {
    std::string key;
    json::value value;
    std::uint64_t mod_revision = 0;  // 0: the key is absent
};

// Holds if the key's mod revision is exactly this one; with 0, if the key is absent.
struct Condition {
    std::string key;
    std::uint64_t mod_revision = 0;
};

// Writes or deletes one key.
struct Change {
    std::string key;
    std::optional<json::value> value;  // absent: delete the key
    std::uint64_t lease = 0;           // the key is deleted when this lease expires; 0: no lease
};

// A compare-and-swap on several keys: all changes are made if all conditions hold, otherwise none.
struct Txn {
    std::vector<Condition> conditions;
    std::vector<Change> changes;
};

struct TxnResult {
    Outcome outcome = Outcome::unknown;
    std::uint64_t revision = 0;       // ok: the mod revision of all changed keys; conflict: the store's current one
    std::vector<std::string> failed;  // conflict: keys whose conditions did not hold
};

// For an absent key, the outcome is `ok` and the mod revision 0.
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
    std::vector<bool> deleted;     // whether the event at the same index is a deletion
    std::uint64_t revision = 0;    // up to which the events are complete
};

struct LeaseResult {
    Outcome outcome = Outcome::unknown;
    std::uint64_t lease = 0;  // lease id; never 0 if `ok`
};

// The order in which requests are sent while the request limits delay them, highest priority first.
enum class RequestPriority : std::uint8_t { leadership, user, bookkeeping, garbage_collection };

// The store's operations. Failures of the store or the network are reported as an Outcome, not thrown.
class Store {
  public:
    virtual ~Store() = default;

    // Reads one key.
    virtual awaitable<GetResult> get(std::string key, RequestPriority priority) = 0;

    // Reads one page of the keys with this prefix that follow the key `after`; with an empty `after`, from the first
    // one.
    virtual awaitable<RangeResult> range(std::string prefix, std::string after, RequestPriority priority) = 0;

    // Carries out a transaction atomically.
    virtual awaitable<TxnResult> commit(Txn txn, RequestPriority priority) = 0;

    // Waits at most for `hold` for changes of keys with this prefix after revision `from`. The result has no events if
    // there are none by then.
    virtual awaitable<WatchResult> watch(std::string prefix, std::uint64_t from, std::chrono::milliseconds hold) = 0;

    // Creates a lease that expires `ttl` after its last renewal.
    virtual awaitable<LeaseResult> grant(std::chrono::milliseconds ttl) = 0;

    // Renews a lease; `no_lease` if it has expired.
    virtual awaitable<Outcome> renew(std::uint64_t lease) = 0;

    // Ends a lease and deletes its keys. Best effort: if the request fails, the lease expires after its TTL.
    virtual awaitable<void> revoke(std::uint64_t lease) = 0;

    // The number of changes per transaction that keeps the delay for other requests short.
    virtual std::size_t preferred_batch_size() const { return 1000; }

    // The estimated wait before a change that is requested now is sent.
    virtual std::chrono::duration<double> write_wait() const { return std::chrono::duration<double>(0); }
};

// A store whose request limits are divided among the controllers of a cluster.
class RateLimitedStore : public Store {
  public:
    // Whether this controller leads; the leader gets the largest share of the limits.
    virtual void set_leading(bool leading) = 0;

    // The number of changes requested since the last call, including those that still wait.
    virtual double take_write_demand() = 0;

    // Divides the write limit by demand: `own` is this controller's, `all` the sum over all controllers, as counted by
    // take_write_demand().
    virtual void set_write_demand(double own, double all) = 0;

    // Whether the store has answered this controller recently.
    virtual bool healthy(model::TimePoint now) const = 0;
};

}  // namespace flintdale::state
