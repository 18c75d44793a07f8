// The state service for everybody who relies on what it keeps. Transactions on guarded keys are conditioned on the
// witness, and every answer's revision is held against those seen before: a service that lost data shows a lower one,
// or another witness, or none. Then the guarded keys are closed, users are told to come back, and the keeper
// (recovery::Keeper) finds out what happened.
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
    };
    GuardedStore(Store& inner, std::string guarded_prefix, Events events);

    // The witness has that stamp, and the records are whole.
    void open(std::uint64_t witness_stamp);
    void close();
    bool is_open() const { return witness_stamp_ != 0; }

    awaitable<GetResult> get(std::string key, Urgency urgency) override;
    awaitable<RangeResult> range(std::string prefix, std::string after, Urgency urgency) override;
    // On guarded keys: `refused` while closed, or if the witness was another, in which case nothing was carried out.
    awaitable<TxnResult> commit(Txn txn, Urgency urgency) override;
    awaitable<FollowResult> follow(std::string prefix, std::uint64_t from, std::chrono::milliseconds hold) override;
    awaitable<LeaseResult> grant(std::chrono::milliseconds life) override { return inner_.grant(life); }
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

    Store& inner_;
    std::string prefix_;
    Events events_;
    std::uint64_t witness_stamp_ = 0;  // 0: closed
    std::uint64_t opening_ = 0;        // counts openings and closings
    std::uint64_t newest_ = 0;         // revision seen since the opening
};

}  // namespace flintdale::state
