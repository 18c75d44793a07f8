// A Store decorator that detects data loss in the store and keeps its callers from acting on incomplete records.
//
// Transactions on guarded keys are conditioned on the generation marker, and the revision of every answer is compared
// with earlier ones: a store that lost data shows a lower revision, another marker, or no marker. The guard then
// closes: requests on guarded keys are refused, users are asked to retry, and recovery::RecoveryCoordinator finds the
// cause.
//
// An answer is checked against the mod revisions that were expected when its request was sent. If it shows a guarded
// key absent or older, it is withheld, and the recovery coordinator reads that key again. Information that arrives
// while a request is in flight is never used against its answer, because requests are not answered in order
// (docs/incidents/loss-without-a-loss.md).
#pragma once
#include <functional>

#include "state/store.hpp"

namespace flintdale::state {

class GuardedStore : public Store {
  public:
    // Callbacks. The last three are optional: without them only revisions and the marker are checked.
    struct Events {
        // An answer proves that the store has lost data. May be called several times for one loss.
        std::function<void(const char* why)> loss_suspected;
        // A change of a guarded key was acknowledged, with this mod revision.
        std::function<void(const Change&, std::uint64_t revision)> committed;
        // The lowest mod revision that a guarded key must have in the store; 0 if it may be absent.
        std::function<std::uint64_t(const std::string& key)> expected_revision = {};
        // The key whose presence explains the absence of this one (the outcome of a job explains that its work record
        // is gone); empty if there is none.
        std::function<std::string(const std::string& key)> absence_explained_by = {};
        // An answer shows a key absent, or older than was expected when the request was sent.
        std::function<void(const std::string& key)> key_missing = {};
    };
    // Guards the keys with this prefix, and starts closed. `inner` must outlive the object.
    GuardedStore(Store& inner, std::string guarded_prefix, Events events);

    // Admits requests on guarded keys: the marker has this mod revision, and the records are complete.
    void open(std::uint64_t marker_revision);
    // Refuses requests on guarded keys from now on, and withholds the answers to those in flight.
    void close();
    bool is_open() const { return marker_revision_ != 0; }

    // On a guarded key: `refused` while closed, or if the answer shows the key absent or older than expected;
    // `unknown` if the guard was opened or closed while the request was in flight.
    awaitable<GetResult> get(std::string key, RequestPriority priority) override;
    // With a guarded prefix: the checks of `get` for each key on the page. Unlike `get`, it also works while closed.
    awaitable<RangeResult> range(std::string prefix, std::string after, RequestPriority priority) override;
    // On guarded keys: `refused` while closed, or if the marker has changed; the transaction was then not carried out.
    // Also `refused` if a transaction without changes found a key absent that is expected to exist. A transaction with
    // changes that requires the absence of an expected key is not sent: `conflict`.
    awaitable<TxnResult> commit(Txn txn, RequestPriority priority) override;
    // With a guarded prefix: `unknown` if the answer's revision is lower than one seen before the request was sent.
    awaitable<WatchResult> watch(std::string prefix, std::uint64_t from, std::chrono::milliseconds hold) override;
    awaitable<LeaseResult> grant(std::chrono::milliseconds ttl) override { return inner_.grant(ttl); }
    awaitable<Outcome> renew(std::uint64_t lease) override { return inner_.renew(lease); }
    awaitable<void> revoke(std::uint64_t lease) override { return inner_.revoke(lease); }
    std::size_t preferred_batch_size() const override { return inner_.preferred_batch_size(); }
    std::chrono::duration<double> write_wait() const override { return inner_.write_wait(); }

  private:
    // The guard's state when a request was sent. The answer is checked against it.
    struct KnownWhenSent {
        std::uint64_t transitions;  // value of transitions_
        std::uint64_t revision;     // the store had reached at least this one
    };
    // A guarded transaction in flight.
    struct PendingCommit {
        KnownWhenSent known;
        std::vector<Change> changes;
        std::vector<std::string> impossible;  // keys that a condition requires to be absent although they must exist
        std::vector<Condition> conditions;  // all conditions of the transaction; set only if `impossible` is not empty
    };
    KnownWhenSent known_now() const { return {transitions_, newest_revision_}; }
    // False if the answer cannot be relied on: the guard was opened or closed since the request was sent, or the
    // revision went backwards (a loss is then suspected).
    bool is_consistent(const KnownWhenSent& known, std::uint64_t revision);
    bool is_guarded(const Txn& txn) const;
    bool is_guarded(const std::string& key) const { return key.starts_with(guarded_prefix_); }
    void suspect_loss(const char* why);
    std::vector<std::string> impossible_absences(const Txn& txn) const;
    std::uint64_t expected_revision(const std::string& key) const;
    // Whether the item is older than expected, or absent without an explaining key; reports it if so.
    bool report_if_missing(const KeyValue& item, std::uint64_t expected);
    // The same for a transaction without changes, one of whose conditions is impossible.
    bool report_missing_keys(const PendingCommit& pending, const TxnResult& result);
    // Replaces the outcome if the answer cannot be relied on; reports committed changes.
    void validate_commit(const PendingCommit& pending, TxnResult& result);
    Condition marker_condition() const;

    Store& inner_;
    std::string guarded_prefix_;
    Events events_;
    std::uint64_t marker_revision_ = 0;  // 0: closed
    std::uint64_t transitions_ = 0;      // number of times the guard was opened or closed
    std::uint64_t newest_revision_ = 0;  // highest revision seen since the guard was opened
};

}  // namespace flintdale::state
