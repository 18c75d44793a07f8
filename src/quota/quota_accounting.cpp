#include "quota/quota_accounting.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace flintdale::quota {

namespace {

constexpr double rounding = 1e-9;

// The lower of two limits, of which either may be none.
double lower(double a, double b) { return a <= 0 ? b : b <= 0 ? a : std::min(a, b); }
Amount lower(const Amount& a, const Amount& b) { return {lower(a.cpus, b.cpus), lower(a.gpus, b.gpus)}; }

Amount total(const model::Resources& need, std::uint32_t tasks) { return {need.cpus * tasks, need.gpus * tasks}; }

// Whether the amount is within figures of which one, but not both, may be none.
bool within(const Amount& amount, const Amount& figures) {
    if (figures.cpus <= 0 && figures.gpus <= 0) return false;
    return (figures.cpus <= 0 || amount.cpus <= figures.cpus + rounding) &&
           (figures.gpus <= 0 || amount.gpus <= figures.gpus + rounding);
}

bool exceeds(double limit, double used) { return limit > 0 && used > limit + rounding; }

// How many tasks of which each needs that much still fit under the limit, at most `tasks`.
std::uint32_t tasks_under(double limit, double used, double need, std::uint32_t tasks) {
    if (limit <= 0 || need <= 0) return tasks;
    const double fitting = std::floor((limit - used) / need + rounding);
    return static_cast<std::uint32_t>(std::clamp(fitting, 0.0, static_cast<double>(tasks)));
}

bool reaches(double amount, double guarantee) { return guarantee <= 0 || amount + rounding >= guarantee; }

}  // namespace

Table table_of(const std::vector<config::Team>& teams) {
    Table out;
    for (const auto& t : teams) out[t.name] = {{t.cpus_limit, t.gpus_limit}, {t.cpus, t.gpus}};
    return out;
}

Table strictest(const Table& a, const Table& b) {
    Table out = a;
    for (const auto& [name, f] : b) {
        const auto [it, fresh] = out.try_emplace(name, f);
        if (fresh) continue;
        it->second.limit = lower(it->second.limit, f.limit);
        auto& g = it->second.guarantee;
        g = {std::min(g.cpus, f.guarantee.cpus), std::min(g.gpus, f.guarantee.gpus)};
    }
    return out;
}

void QuotaAccounting::set(Table table) {
    table_ = std::move(table);
    for (auto& [name, team] : teams_) team.stale = true;
}

const TeamQuota* QuotaAccounting::figures(const std::string& team) const {
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
    // Sums of many decimal numbers drift; where nothing is placed nothing is used.
    if (--t.tasks == 0) {
        t.use = {};
        return;
    }
    t.use.cpus -= need.cpus;
    t.use.gpus -= need.gpus;
    assert(t.use.cpus > -rounding && t.use.gpus > -rounding);
}

Amount QuotaAccounting::use(const std::string& team) const {
    const auto* t = find(team);
    return t ? t->use : Amount{};
}

std::uint32_t QuotaAccounting::room(const std::string& team, const model::Resources& need, std::uint32_t tasks) const {
    const auto* its_figures = figures(team);
    if (!its_figures) return 0;
    const auto used = use(team);
    return std::min(tasks_under(its_figures->limit.cpus, used.cpus, need.cpus, tasks),
                    tasks_under(its_figures->limit.gpus, used.gpus, need.gpus, tasks));
}

bool QuotaAccounting::over_limit(const std::string& team) const {
    const auto* its_figures = figures(team);
    const auto used = use(team);
    return its_figures && (exceeds(its_figures->limit.cpus, used.cpus) || exceeds(its_figures->limit.gpus, used.gpus));
}

bool QuotaAccounting::limited(const std::string& team) const {
    const auto* its_figures = figures(team);
    return !its_figures || its_figures->limit.cpus > 0 || its_figures->limit.gpus > 0;
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

// All jobs that were accepted before count, whether or not they fit themselves. So a team that submits too large a job
// does not get its smaller jobs ahead of others on the guarantee.
void QuotaAccounting::refresh(const std::string& name, const Team& team) const {
    team.stale = false;
    team.guaranteed.clear();
    team.guaranteed_need = {};
    const auto* its_figures = figures(name);
    if (!its_figures) return;
    Amount sum;
    for (const auto& job : team.open) {
        sum = {sum.cpus + job.need.cpus, sum.gpus + job.need.gpus};
        if (!within(sum, its_figures->guarantee)) return;
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
    const auto* its_figures = figures(team);
    if (!its_figures) return true;
    const auto used = use(team);
    return reaches(used.cpus - stopping.cpus - need.cpus, its_figures->guarantee.cpus) &&
           reaches(used.gpus - stopping.gpus - need.gpus, its_figures->guarantee.gpus);
}

bool QuotaAccounting::below_guarantee(const std::string& team) const {
    const auto* t = find(team);
    if (!t) return false;
    if (t->stale) refresh(team, *t);
    return t->use.cpus + rounding < t->guaranteed_need.cpus || t->use.gpus + rounding < t->guaranteed_need.gpus;
}

}  // namespace flintdale::quota
