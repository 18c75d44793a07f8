// The state service for everybody who relies on what it keeps. Transactions on guarded keys are conditioned on the
// marker, and every answer's revision is held against those seen before: a service that lost data shows a lower one,
// or another marker, or none. Then the guarded keys are closed, users are told to come back, and the keeper
// (recovery::RecoveryCoordinator) finds out what happened.
// What is remembered of a guarded key when a request is sent holds for its answer: one that shows the key absent, or
// older, is not passed on, and the keeper looks at that key again. What becomes known while a request is under way is
// never held against its answer: requests overtake one another (docs/incidents/loss-without-a-loss.md).
#pragma once
#include <functional>

#include "state/store.hpp"

namespace flintdale::state {

class GuardedStore : public Store {
  public:
    struct Events {
        // The service has answered as it could not if it had kept everything. May come several times.
        std::function<void(const char* why)> doubted;
        // A guarded change was acknowledged under that revision.
        std::function<void(const Change&, std::uint64_t revision)> written;
        // The stamp under which a guarded key is remembered to be on record, 0 if it need not be there.
        std::function<std::uint64_t(const std::string& key)> remembered = {};
        // The key that has to be absent too before this one's absence says anything; empty if there is none.
        std::function<std::string(const std::string& key)> explained_by = {};
        // An answer shows a key absent, or older, that was remembered when it was asked for.
        std::function<void(const std::string& key)> missed = {};
    };
    GuardedStore(Store& inner, std::string guarded_prefix, Events events);

    // The marker has that stamp, and the records are whole.
    void open(std::uint64_t marker_revision);
    void close();
    bool is_open() const { return marker_revision_ != 0; }

    awaitable<GetResult> get(std::string key, RequestPriority priority) override;
    awaitable<RangeResult> range(std::string prefix, std::string after, RequestPriority priority) override;
    // On guarded keys: `refused` while closed, or if the marker was another, in which case nothing was carried out; or
    // if its conditions held though one of them cannot, in which case there was nothing to carry out. Changes on a
    // condition that cannot hold by what is remembered are not sent: `conflict`.
    awaitable<TxnResult> commit(Txn txn, RequestPriority priority) override;
    awaitable<WatchResult> watch(std::string prefix, std::uint64_t from, std::chrono::milliseconds hold) override;
    awaitable<LeaseResult> grant(std::chrono::milliseconds ttl) override { return inner_.grant(ttl); }
    awaitable<Outcome> renew(std::uint64_t lease) override { return inner_.renew(lease); }
    awaitable<void> revoke(std::uint64_t lease) override { return inner_.revoke(lease); }
    std::size_t write_portion() const override { return inner_.write_portion(); }
    std::chrono::duration<double> write_wait() const override { return inner_.write_wait(); }

  private:
    // What was known when a request was sent; its answer is judged by that.
    struct Sent {
        std::uint64_t opening, revision;
    };
    Sent now() const { return {opening_, newest_}; }
    // Whether an answer that shows this revision may come from the history that was open when it was sent.
    bool sound(const Sent& sent, std::uint64_t revision);
    bool is_guarded(const Txn& txn) const;
    void doubt(const char* why);
    // Those of the keys whose absence is a condition that are remembered to be there.
    std::vector<std::string> impossible(const Txn& txn) const;
    std::uint64_t remembered(const std::string& key) const { return events_.remembered ? events_.remembered(key) : 0; }
    bool missing(const KeyValue& item, std::uint64_t remembered);

    Store& inner_;
    std::string prefix_;
    Events events_;
    std::uint64_t marker_revision_ = 0;  // 0: closed
    std::uint64_t opening_ = 0;          // counts openings and closings
    std::uint64_t newest_ = 0;           // revision seen since the opening
};

}  // namespace flintdale::state
