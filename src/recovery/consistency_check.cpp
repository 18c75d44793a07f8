#include "recovery/consistency_check.hpp"

#include <algorithm>

#include "scheduler/job.hpp"

namespace flintdale::recovery {

using state::Outcome;
using state::RequestPriority;

awaitable<ConsistencyCheck::Page> ConsistencyCheck::read_page(std::string prefix, std::string after,
                                                              RequestPriority priority) const {
    const auto position = replica_.position();
    const auto newest = newest_();
    const auto first = after;
    const bool all = prefix == scheduler::jobs_prefix;
    Page out;
    out.read = co_await store_.range(std::move(prefix), std::move(after), priority);
    if (out.read.outcome != Outcome::ok || !replica_.is_valid(position)) co_return out;
    out.rolled_back = out.read.revision < newest;
    const auto last = out.read.more && !out.read.items.empty() ? out.read.items.back().key : std::string();
    if (all) out.missing = replica_.find_missing(position, first, last, out.read.items);
    co_return out;
}

awaitable<ConsistencyCheck::Changes> ConsistencyCheck::read_changes(std::string prefix) const {
    const auto position = replica_.position();
    const auto newest = newest_();
    Changes out;
    out.seen = co_await store_.watch(std::move(prefix), replica_.revision(), std::chrono::milliseconds(0));
    out.rolled_back = out.seen.outcome == Outcome::ok && replica_.is_valid(position) && out.seen.revision < newest;
    co_return out;
}

awaitable<ConsistencyCheck::Finding> ConsistencyCheck::recheck(std::string key, RequestPriority priority) const {
    using Verdict = Finding::Verdict;
    Finding out;
    out.key = key;
    const auto position = replica_.position();
    out.expected = replica_.expected_mod_revision(key);
    if (!out.expected) {
        out.verdict = Verdict::intact;
        co_return out;
    }
    const auto got = co_await store_.get(std::move(key), priority);
    if (got.outcome != Outcome::ok || !replica_.is_valid(position)) co_return out;
    out.damaged = got.item.mod_revision && !got.item.value.is_object() && replica_.readable(out.key);
    if (got.item.mod_revision >= out.expected && !out.damaged) {
        out.verdict = Verdict::intact;
        co_return out;
    }
    // Confirms atomically, at one revision, that the record is as just read and that its job has no outcome, which
    // would permit its removal.
    state::Txn txn;
    txn.conditions.push_back({out.key, got.item.mod_revision});
    const auto work = scheduler::parse_work_key(out.key);
    const auto outcome = work ? scheduler::outcome_key(work->uid) : std::string();
    if (work) txn.conditions.push_back({outcome, 0});
    const auto confirmed = co_await store_.commit(std::move(txn), priority);
    if (!replica_.is_valid(position)) co_return out;
    if (confirmed.outcome == Outcome::conflict) {
        const bool job_is_over =
            std::find(confirmed.failed.begin(), confirmed.failed.end(), outcome) != confirmed.failed.end();
        // Either the job is over, or the record was written just now. In the latter case it is checked again later.
        if (job_is_over) out.verdict = Verdict::intact;
        co_return out;
    }
    if (confirmed.outcome != Outcome::ok) co_return out;
    out.verdict = Verdict::lost;
    out.present = got.item.mod_revision;
    out.revision = confirmed.revision;
    co_return out;
}

}  // namespace flintdale::recovery
