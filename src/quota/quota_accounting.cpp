#include "quota/quota_accounting.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace flintdale::quota {

namespace {

constexpr double tolerance = 1e-9;  // of amounts: sums of decimal fractions are not exact in binary

// The lower of two limits. A limit of 0 means none.
double lower(double a, double b) { return a <= 0 ? b : b <= 0 ? a : std::min(a, b); }
Amount lower(const Amount& a, const Amount& b) { return {lower(a.cpus, b.cpus), lower(a.gpus, b.gpus)}; }

Amount total(const model::Resources& need, std::uint32_t tasks) { return {need.cpus * tasks, need.gpus * tasks}; }

// Whether the amount is within the guarantee. A resource with a guarantee of 0 does not count, unless both are 0: then
// the team has no guarantee.
bool within(const Amount& amount, const Amount& guarantee) {
    if (guarantee.cpus <= 0 && guarantee.gpus <= 0) return false;
    return (guarantee.cpus <= 0 || amount.cpus <= guarantee.cpus + tolerance) &&
           (guarantee.gpus <= 0 || amount.gpus <= guarantee.gpus + tolerance);
}

bool exceeds(double limit, double used) { return limit > 0 && used > limit + tolerance; }

// The number of tasks, at most `tasks`, that fit under the limit. `need`: of each task.
std::uint32_t tasks_under(double limit, double used, double need, std::uint32_t tasks) {
    if (limit <= 0 || need <= 0) return tasks;
    const double fitting = std::floor((limit - used) / need + tolerance);
    return static_cast<std::uint32_t>(std::clamp(fitting, 0.0, static_cast<double>(tasks)));
}

bool reaches(double amount, double guarantee) { return guarantee <= 0 || amount + tolerance >= guarantee; }

}  // namespace

Table table_of(const std::vector<config::Team>& teams) {
    Table out;
    for (const auto& team : teams) out[team.name] = {{team.cpus_limit, team.gpus_limit}, {team.cpus, team.gpus}};
    return out;
}

Table strictest(const Table& a, const Table& b) {
    Table out = a;
    for (const auto& [name, quota] : b) {
        const auto [it, is_new] = out.try_emplace(name, quota);
        if (is_new) continue;
        it->second.limit = lower(it->second.limit, quota.limit);
        auto& guarantee = it->second.guarantee;
        guarantee = {std::min(guarantee.cpus, quota.guarantee.cpus), std::min(guarantee.gpus, quota.guarantee.gpus)};
    }
    return out;
}

void QuotaAccounting::set(Table table) {
    table_ = std::move(table);
    for (auto& [name, team] : teams_) team.stale = true;
}

const TeamQuota* QuotaAccounting::quota_of(const std::string& team) const {
    const auto it = table_.find(team);
    return it == table_.end() ? nullptr : &it->second;
}

const QuotaAccounting::Team* QuotaAccounting::find(const std::string& team) const {
    const auto it = teams_.find(team);
    return it == teams_.end() ? nullptr : &it->second;
}

void QuotaAccounting::task_placed(const std::string& team, const model::Resources& need) {
    auto& t = teams_[team];
    t.use.cpus += need.cpus;
    t.use.gpus += need.gpus;
    ++t.tasks;
}

void QuotaAccounting::task_gone(const std::string& team, const model::Resources& need) {
    auto& t = teams_[team];
    assert(t.tasks > 0);
    // Rounding errors of the sum add up over time. The usage is reset when no task is placed.
    if (--t.tasks == 0) {
        t.use = {};
        return;
    }
    t.use.cpus -= need.cpus;
    t.use.gpus -= need.gpus;
    assert(t.use.cpus > -tolerance && t.use.gpus > -tolerance);
}

Amount QuotaAccounting::use(const std::string& team) const {
    const auto* t = find(team);
    return t ? t->use : Amount{};
}

std::uint32_t QuotaAccounting::room(const std::string& team, const model::Resources& need, std::uint32_t tasks) const {
    const auto* quota = quota_of(team);
    if (!quota) return 0;
    const auto used = use(team);
    return std::min(tasks_under(quota->limit.cpus, used.cpus, need.cpus, tasks),
                    tasks_under(quota->limit.gpus, used.gpus, need.gpus, tasks));
}

bool QuotaAccounting::over_limit(const std::string& team) const {
    const auto* quota = quota_of(team);
    const auto used = use(team);
    return quota && (exceeds(quota->limit.cpus, used.cpus) || exceeds(quota->limit.gpus, used.gpus));
}

bool QuotaAccounting::limited(const std::string& team) const {
    const auto* quota = quota_of(team);
    return !quota || quota->limit.cpus > 0 || quota->limit.gpus > 0;
}

void QuotaAccounting::job_opened(const model::JobSpec& spec) {
    auto& t = teams_[spec.team];
    t.stale = t.open.insert({spec.accepted_ms, spec.uid, total(spec.need, spec.tasks)}).second || t.stale;
}

void QuotaAccounting::job_closed(const model::JobSpec& spec) {
    auto& t = teams_[spec.team];
    t.stale = t.open.erase({spec.accepted_ms, spec.uid, {}}) > 0 || t.stale;
}

bool QuotaAccounting::any_guarantee() const {
    return std::any_of(table_.begin(), table_.end(), [](const auto& entry) {
        return entry.second.guarantee.cpus > 0 || entry.second.guarantee.gpus > 0;
    });
}

// Every job that was accepted earlier counts, whether or not it fits into the guarantee. So a team that submits too
// large a job does not get its later, smaller jobs ahead of other teams' jobs on its guarantee.
void QuotaAccounting::refresh(const std::string& name, const Team& team) const {
    team.stale = false;
    team.guaranteed.clear();
    team.guaranteed_need = {};
    const auto* quota = quota_of(name);
    if (!quota) return;
    Amount sum;
    for (const auto& job : team.open) {
        sum = {sum.cpus + job.need.cpus, sum.gpus + job.need.gpus};
        if (!within(sum, quota->guarantee)) return;
        team.guaranteed.insert(job.uid);
        team.guaranteed_need = sum;
    }
}

bool QuotaAccounting::guaranteed(const std::string& team, const std::string& uid) const {
    const auto* t = find(team);
    if (!t) return false;
    if (t->stale) refresh(team, *t);
    return t->guaranteed.contains(uid);
}

bool QuotaAccounting::may_preempt(const std::string& team, const Amount& stopping, const model::Resources& need) const {
    const auto* quota = quota_of(team);
    if (!quota) return true;
    const auto used = use(team);
    return reaches(used.cpus - stopping.cpus - need.cpus, quota->guarantee.cpus) &&
           reaches(used.gpus - stopping.gpus - need.gpus, quota->guarantee.gpus);
}

bool QuotaAccounting::below_guarantee(const std::string& team) const {
    const auto* t = find(team);
    if (!t) return false;
    if (t->stale) refresh(team, *t);
    return t->use.cpus + tolerance < t->guaranteed_need.cpus || t->use.gpus + tolerance < t->guaranteed_need.gpus;
}

}  // namespace flintdale::quota
