#include "api/job_checks.hpp"

#include <algorithm>
#include <map>
#include <set>

#include "scheduler/job.hpp"

namespace flintdale::api {

using model::Clock;
using state::Outcome;

namespace {

constexpr int max_attempts = 3;  // to check a job whose records change concurrently
// The next comparison starts after this time even if the last one is slow or gets no response.
constexpr std::chrono::milliseconds comparison_interval{50};
constexpr std::size_t max_comparisons_in_progress = 8;
constexpr std::chrono::seconds max_wait_when_saturated{1};

bool contains(const std::vector<std::string>& keys, const std::string& key) {
    return std::find(keys.begin(), keys.end(), key) != keys.end();
}

}  // namespace

class JobChecks::Pending {
  public:
    // The result of the comparison.
    enum class Finding : std::uint8_t {
        none,            // no comparison yet, or no usable response
        unchanged,       // the job is in the cache as open, and still open
        outcome_exists,  // the job has ended
        work_exists,     // the job is not in the cache, and open
        neither_exists,  // neither of its keys exists
    };

    Pending(net::Executor executor, std::string job, TimePoint end)
        : completion_timer(executor), uid(std::move(job)), deadline(end) {
        completion_timer.expires_at(deadline);
    }

    void complete() {
        completed = true;
        completion_timer.cancel();
    }

    net::Timer completion_timer;
    std::string uid;
    TimePoint deadline;
    KnownJobPtr known;  // the cached job when the comparison started; null if it was not cached
    Finding finding = Finding::none;
    bool completed = false;  // the comparison has succeeded or failed
};

JobChecks::JobChecks(net::Executor executor, state::Store& store, const state::RecordFormat& record_format,
                     JobKnowledge& knowledge, JobRecords& records)
    : executor_(executor),
      store_(store),
      record_format_(record_format),
      knowledge_(knowledge),
      records_(records),
      wakeup_(executor) {}

JobChecks::PendingCheck JobChecks::request(std::string uid, TimePoint deadline) {
    auto check = std::make_shared<Pending>(executor_, std::move(uid), deadline);
    requested_.push_back(check);
    if (running_) {
        wakeup_.notify();
    } else {
        running_ = true;
        net::asio::co_spawn(executor_, run(), net::asio::detached);
    }
    return check;
}

awaitable<JobCheck> JobChecks::result(PendingCheck check) {
    using Finding = Pending::Finding;
    const std::string uid = check->uid;
    for (int attempt = 0; attempt < max_attempts; ++attempt) {
        if (!check->completed) {
            auto [error] = co_await check->completion_timer.async_wait(net::use_nothrow_awaitable);
            (void)error;
        }
        const auto finding = check->finding;
        if (finding == Finding::none) co_return JobCheck{};
        if (finding == Finding::neither_exists) co_return knowledge_.result_if_absent(uid);
        if (finding == Finding::unchanged) co_return JobCheck{true, check->known};
        auto key = finding == Finding::outcome_exists ? scheduler::outcome_key(uid) : scheduler::work_key(uid, 0);
        const auto found = co_await records_.read_key(uid, std::move(key));
        if (found.outcome != Outcome::ok) co_return JobCheck{};
        if (found.job) co_return JobCheck{true, found.job};
        // The job has ended since the comparison, and its work record was removed.
        check = request(uid, check->deadline);
    }
    co_return JobCheck{};
}

awaitable<void> JobChecks::run() {
    while (!requested_.empty()) {
        const auto now = Clock::now();
        const auto next = last_comparison_ + comparison_interval;
        const bool full_batch = requested_.size() >= record_format_.max_conditions() / 2;
        const bool too_many = comparisons_in_progress_ >= max_comparisons_in_progress;
        if (too_many || (comparisons_in_progress_ > 0 && !full_batch && now < next)) {
            co_await wakeup_.wait(too_many ? Clock::duration(max_wait_when_saturated) : next - now);
            continue;
        }
        auto batch = next_batch();
        if (batch.empty()) continue;
        last_comparison_ = now;
        ++comparisons_in_progress_;
        net::asio::co_spawn(executor_, compare(std::move(batch)), net::asio::detached);
    }
    running_ = false;
}

JobChecks::Batch JobChecks::next_batch() {
    Batch batch;
    std::set<std::string_view> uids;
    const auto now = Clock::now();
    const std::size_t max_jobs = std::max<std::size_t>(1, record_format_.max_conditions() / 2);
    for (; !requested_.empty() && uids.size() < max_jobs; requested_.pop_front()) {
        if (requested_.front()->deadline <= now) continue;
        batch.push_back(std::move(requested_.front()));
        uids.insert(batch.back()->uid);
    }
    return batch;
}

awaitable<void> JobChecks::compare(Batch batch) {
    const bool knew_all_jobs = knowledge_.knows_all_jobs();
    auto txn = comparison_of(batch);
    const auto result = co_await store_.commit(std::move(txn), state::RequestPriority::user);
    --comparisons_in_progress_;
    wakeup_.notify();
    apply(result, batch, knew_all_jobs);
}

state::Txn JobChecks::comparison_of(const Batch& batch) {
    std::map<std::string, KnownJobPtr> known;
    state::Txn txn;
    for (const auto& check : batch) {
        const auto [it, inserted] = known.try_emplace(check->uid);
        if (inserted) {
            it->second = knowledge_.find(check->uid);
            txn.conditions.push_back({scheduler::outcome_key(check->uid), 0});
            if (!it->second) txn.conditions.push_back({scheduler::work_key(check->uid, 0), 0});
        }
        check->known = it->second;
    }
    return txn;
}

void JobChecks::apply(const state::TxnResult& result, const Batch& batch, bool knew_all_jobs) {
    using Finding = Pending::Finding;
    const bool answered = result.outcome == Outcome::ok || result.outcome == Outcome::conflict;
    for (const auto& check : batch) {
        if (answered && contains(result.failed, scheduler::outcome_key(check->uid)))
            check->finding = Finding::outcome_exists;
        else if (answered && check->known)
            check->finding = Finding::unchanged;
        else if (answered && contains(result.failed, scheduler::work_key(check->uid, 0)))
            check->finding = Finding::work_exists;
        else if (answered && knew_all_jobs)
            check->finding = Finding::neither_exists;
        check->complete();
    }
}

}  // namespace flintdale::api
