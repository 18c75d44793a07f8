// The store for everybody who relies on the records it keeps: detects that the store has lost data.
//
// Transactions on guarded keys are conditioned on the generation marker, and the revision of every answer is compared
// with those seen before: a store that lost data shows a lower one, or another marker, or none. Then the guarded keys
// are closed, users are asked to retry, and recovery::RecoveryCoordinator finds out what happened.
//
// The mod revision that a guarded key is expected to have when a request is sent holds for its answer: an answer that
// shows the key absent, or older, is not passed on, and the recovery coordinator reads that key again. What becomes
// known while a request is under way is never held against its answer, for requests overtake one another
// (docs/incidents/loss-without-a-loss.md).
#pragma once
#include <functional>

#include "state/store.hpp"

namespace flintdale::state {

class GuardedStore : public Store {
  public:
    // What the store reports and asks. The last three are optional: without them only revisions and marker count.
    struct Events {
        // An answer is impossible for a store that has kept everything. May be called several times for one loss.
        std::function<void(const char* why)> loss_suspected;
        // A change of a guarded key was acknowledged, with this mod revision.
        std::function<void(const Change&, std::uint64_t revision)> committed;
        // The lowest mod revision that a guarded key must have in the store; 0 if it may be absent.
        std::function<std::uint64_t(const std::string& key)> expected_revision = {};
        // A key that, where it is present, explains why this one is absent; empty if there is none.
        std::function<std::string(const std::string& key)> absence_explained_by = {};
        // An answer shows a key absent, or older than it was expected when the request was sent.
        std::function<void(const std::string& key)> key_missing = {};
    };
    // Guards the keys with this prefix. `inner` must outlive the object.
    GuardedStore(Store& inner, std::string guarded_prefix, Events events);

    // The marker has this mod revision, and the records are complete: requests on guarded keys are let through.
    void open(std::uint64_t marker_revision);
    // From now on requests on guarded keys are refused, and answers to those under way are not passed on.
    void close();
    bool is_open() const { return marker_revision_ != 0; }

    // On a guarded key: `refused` while closed, or if the answer shows the key absent or older than expected;
    // `unknown` if the store was opened or closed meanwhile.
    awaitable<GetResult> get(std::string key, RequestPriority priority) override;
    // With a guarded prefix: as `get`, for each key that is on the page, but for `refused` while closed.
    awaitable<RangeResult> range(std::string prefix, std::string after, RequestPriority priority) override;
    // On guarded keys: `refused` while closed, or if the marker was another, in which case nothing was carried out; or
    // if its conditions held though one of them cannot, in which case there was nothing to carry out. Changes on a
    // condition that cannot hold by what is expected are not sent: `conflict`.
    awaitable<TxnResult> commit(Txn txn, RequestPriority priority) override;
    // With a guarded prefix: `unknown` if the answer's revision is lower than one seen before the request was sent.
    awaitable<WatchResult> watch(std::string prefix, std::uint64_t from, std::chrono::milliseconds hold) override;
    awaitable<LeaseResult> grant(std::chrono::milliseconds ttl) override { return inner_.grant(ttl); }
    awaitable<Outcome> renew(std::uint64_t lease) override { return inner_.renew(lease); }
    awaitable<void> revoke(std::uint64_t lease) override { return inner_.revoke(lease); }
    std::size_t preferred_batch_size() const override { return inner_.preferred_batch_size(); }
    std::chrono::duration<double> write_wait() const override { return inner_.write_wait(); }

  private:
    // What was known when a request was sent. Its answer is judged by that.
    struct KnownWhenSent {
        std::uint64_t opening;   // value of opening_
        std::uint64_t revision;  // the store had reached this one
    };
    // A guarded transaction that is under way.
    struct PendingCommit {
        KnownWhenSent known;
        std::vector<Change> changes;
        std::vector<std::string> impossible;  // keys whose absence is a condition though they must be there
        std::vector<Condition> conditions;    // all of them, if any is impossible
    };
    KnownWhenSent known_now() const { return {opening_, newest_revision_}; }
    // Whether an answer with this revision comes from the history that was open when its request was sent.
    bool is_consistent(const KnownWhenSent& known, std::uint64_t revision);
    bool is_guarded(const Txn& txn) const;
    bool is_guarded(const std::string& key) const { return key.starts_with(guarded_prefix_); }
    void suspect_loss(const char* why);
    std::vector<std::string> impossible_absences(const Txn& txn) const;
    std::uint64_t expected_revision(const std::string& key) const;
    // Whether the item is older than expected, or absent though nothing explains that; reports it if so.
    bool report_if_missing(const KeyValue& item, std::uint64_t expected);
    // The same for a transaction that was sent although one of its conditions is impossible.
    bool report_missing_keys(const PendingCommit& pending, const TxnResult& result);
    // Replaces the outcome where the answer cannot be relied on; reports changes that are committed.
    void judge_commit(const PendingCommit& pending, TxnResult& result);
    Condition marker_condition() const;

    Store& inner_;
    std::string guarded_prefix_;
    Events events_;
    std::uint64_t marker_revision_ = 0;  // 0: closed
    std::uint64_t opening_ = 0;          // counts openings and closings
    std::uint64_t newest_revision_ = 0;  // seen since the opening
};

}  // namespace flintdale::state
