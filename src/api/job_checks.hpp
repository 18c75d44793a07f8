// Checks the state of jobs against the state service in batches. The result of a check comes from a comparison of keys
// that started after the check was requested. Checks requested while a comparison is in progress share the next one. A
// comparison that is slow or gets no response does not delay the next.
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

    // The check of one job, in progress or completed.
    class Pending;
    using PendingCheck = std::shared_ptr<Pending>;

    JobChecks(net::Executor executor, state::Store& store, const state::RecordFormat& record_format,
              JobKnowledge& knowledge, JobRecords& records);

    // Requests a check. It is dropped after `deadline`, when the client has stopped waiting.
    PendingCheck request(std::string uid, TimePoint deadline);
    // Waits for the check. If the job is not in the cache, the caller's coroutine reads it, so that no other check
    // waits for that read.
    awaitable<JobCheck> result(PendingCheck check);

  private:
    using Batch = std::vector<PendingCheck>;

    awaitable<void> run();
    // Takes as many requested checks as one comparison holds and drops expired ones.
    Batch next_batch();
    awaitable<void> compare(Batch batch);
    // The comparison for the batch. Stores in each check the cached state of its job at this time.
    state::Txn comparison_of(const Batch& batch);
    static void apply(const state::TxnResult& result, const Batch& batch, bool knew_all_jobs);

    net::Executor executor_;
    state::Store& store_;
    const state::RecordFormat& record_format_;
    JobKnowledge& knowledge_;
    JobRecords& records_;
    std::deque<PendingCheck> requested_;  // not yet part of a comparison
    net::Wakeup wakeup_;
    std::size_t comparisons_in_progress_ = 0;
    TimePoint last_comparison_{};
    bool running_ = false;
};

}  // namespace flintdale::api
