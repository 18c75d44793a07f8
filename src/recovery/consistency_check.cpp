#include "recovery/consistency_check.hpp"

#include <algorithm>

#include "scheduler/job.hpp"

namespace flintdale::recovery {

using state::Outcome;
using state::RequestPriority;

awaitable<ConsistencyCheck::Page> ConsistencyCheck::read_page(std::string prefix, std::string after,
                                                              RequestPriority priority) const {
    const auto mark = replica_.mark();
    const auto newest = newest_();
    const auto first = after;
    const bool all = prefix == scheduler::jobs_prefix;
    Page out;
    out.read = co_await store_.range(std::move(prefix), std::move(after), priority);
    if (out.read.outcome != Outcome::ok || !replica_.holds(mark)) co_return out;
    out.went_back = out.read.revision < newest;
    const auto last = out.read.more && !out.read.items.empty() ? out.read.items.back().key : std::string();
    if (all) out.missing = replica_.missing_from(mark, first, last, out.read.items);
    co_return out;
}

awaitable<ConsistencyCheck::Changes> ConsistencyCheck::read_changes(std::string prefix) const {
    const auto mark = replica_.mark();
    const auto newest = newest_();
    Changes out;
    out.seen = co_await store_.watch(std::move(prefix), replica_.revision(), std::chrono::milliseconds(0));
    out.went_back = out.seen.outcome == Outcome::ok && replica_.holds(mark) && out.seen.revision < newest;
    co_return out;
}

awaitable<ConsistencyCheck::Finding> ConsistencyCheck::recheck(std::string key, RequestPriority priority) const {
    using Verdict = Finding::Verdict;
    Finding out;
    out.key = key;
    const auto mark = replica_.mark();
    out.expected = replica_.expected_mod_revision(key);
    if (!out.expected) {
        out.verdict = Verdict::sound;
        co_return out;
    }
    const auto got = co_await store_.get(std::move(key), priority);
    if (got.outcome != Outcome::ok || !replica_.holds(mark)) co_return out;
    out.damaged = got.item.mod_revision && !got.item.value.is_object() && replica_.readable(out.key);
    if (got.item.mod_revision >= out.expected && !out.damaged) {
        out.verdict = Verdict::sound;
        co_return out;
    }
    // At one revision: the record is what was just read, and its job has no outcome that would let it be removed.
    state::Txn txn;
    txn.conditions.push_back({out.key, got.item.mod_revision});
    const auto work = scheduler::parse_work_key(out.key);
    const auto outcome = work ? scheduler::outcome_key(work->uid) : std::string();
    if (work) txn.conditions.push_back({outcome, 0});
    const auto confirmed = co_await store_.commit(std::move(txn), priority);
    if (!replica_.holds(mark)) co_return out;
    if (confirmed.outcome == Outcome::conflict) {
        const bool over =
            std::find(confirmed.failed.begin(), confirmed.failed.end(), outcome) != confirmed.failed.end();
        // Over, or written just now: then it is read once more.
        if (over) out.verdict = Verdict::sound;
        co_return out;
    }
    if (confirmed.outcome != Outcome::ok) co_return out;
    out.verdict = Verdict::lost;
    out.present = got.item.mod_revision;
    out.revision = confirmed.revision;
    co_return out;
}

}  // namespace flintdale::recovery
