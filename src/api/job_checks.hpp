// Checks jobs against the state service in batches. Every check is answered by a comparison of keys that began after it
// was requested; all checks requested while a comparison is under way share the next one. A comparison that is slow, or
// never answered, does not hold back the next.
#pragma once
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "api/job_knowledge.hpp"
#include "api/job_records.hpp"
#include "model/clock.hpp"
#include "net/asio.hpp"
#include "state/record_format.hpp"
#include "state/store.hpp"

namespace flintdale::api {

class JobChecks {
  public:
    using TimePoint = model::TimePoint;

    // The check of one job, under way or done.
    class Pending;
    using PendingCheck = std::shared_ptr<Pending>;

    JobChecks(net::Executor executor, state::Store& store, const state::RecordFormat& record_format,
              JobKnowledge& knowledge, JobRecords& records);

    // Requests a check. After `deadline` the client that waits for it has gone, and it is dropped.
    PendingCheck request(std::string uid, TimePoint deadline);
    // Waits for the check. A job that was not known here is read, by whoever waits, so that no other check waits for
    // that.
    awaitable<JobCheck> result(PendingCheck check);

  private:
    using Batch = std::vector<PendingCheck>;

    awaitable<void> run();
    // As many checks as one comparison holds, without those that have expired.
    Batch next_batch();
    awaitable<void> compare(Batch batch);
    // The keys to compare for the batch; notes in each check what was known of its job by then.
    state::Txn comparison_of(const Batch& batch);
    static void apply(const state::TxnResult& result, const Batch& batch, bool knew_all_jobs);

    net::Executor executor_;
    state::Store& store_;
    const state::RecordFormat& record_format_;
    JobKnowledge& knowledge_;
    JobRecords& records_;
    std::deque<PendingCheck> requested_;  // that are part of no comparison yet
    net::Wakeup wakeup_;
    std::size_t comparisons_under_way_ = 0;
    TimePoint last_comparison_{};
    bool running_ = false;
};

}  // namespace flintdale::api
