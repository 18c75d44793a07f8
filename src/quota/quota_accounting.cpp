#include "quota/quota_accounting.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace flintdale::quota {

namespace {

constexpr double rounding = 1e-9;

double lower(double a, double b) { return a <= 0 ? b : b <= 0 ? a : std::min(a, b); }
Amount lower(const Amount& a, const Amount& b) { return {lower(a.cpus, b.cpus), lower(a.gpus, b.gpus)}; }

Amount of(const model::Resources& r, double times = 1) { return {r.cpus * times, r.gpus * times}; }

// Whether that much is within figures of which one, but not both, may be missing.
bool within(const Amount& much, const Amount& figures) {
    if (figures.cpus <= 0 && figures.gpus <= 0) return false;
    return (figures.cpus <= 0 || much.cpus <= figures.cpus + rounding) &&
           (figures.gpus <= 0 || much.gpus <= figures.gpus + rounding);
}

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

const Figures* QuotaAccounting::figures(const std::string& team) const {
    const auto it = table_.find(team);
    return it == table_.end() ? nullptr : &it->second;
}

const QuotaAccounting::Team* QuotaAccounting::find(const std::string& team) const {
    const auto it = teams_.find(team);
    return it == teams_.end() ? nullptr : &it->second;
}

void QuotaAccounting::placed(const std::string& team, const model::Resources& need) {
    auto& t = teams_[team];
    t.use.cpus += need.cpus;
    t.use.gpus += need.gpus;
    ++t.tasks;
}

void QuotaAccounting::gone(const std::string& team, const model::Resources& need) {
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
    const auto* f = figures(team);
    if (!f) return 0;
    const auto used = use(team);
    const auto left = [&](double limit, double in_use, double each) {
        if (limit <= 0 || each <= 0) return tasks;
        return static_cast<std::uint32_t>(
            std::clamp(std::floor((limit - in_use) / each + rounding), 0.0, static_cast<double>(tasks)));
    };
    return std::min(left(f->limit.cpus, used.cpus, need.cpus), left(f->limit.gpus, used.gpus, need.gpus));
}

bool QuotaAccounting::over_limit(const std::string& team) const {
    const auto* f = figures(team);
    const auto used = use(team);
    const auto over = [](double limit, double in_use) { return limit > 0 && in_use > limit + rounding; };
    return f && (over(f->limit.cpus, used.cpus) || over(f->limit.gpus, used.gpus));
}

bool QuotaAccounting::limited(const std::string& team) const {
    const auto* f = figures(team);
    return !f || f->limit.cpus > 0 || f->limit.gpus > 0;
}

void QuotaAccounting::opened(const model::JobSpec& spec) {
    auto& t = teams_[spec.team];
    t.stale = t.open.insert({spec.accepted_ms, spec.uid, of(spec.need, spec.tasks)}).second || t.stale;
}

void QuotaAccounting::over(const model::JobSpec& spec) {
    auto& t = teams_[spec.team];
    t.stale = t.open.erase({spec.accepted_ms, spec.uid, {}}) > 0 || t.stale;
}

bool QuotaAccounting::any_guarantee() const {
    return std::any_of(table_.begin(), table_.end(), [](const auto& entry) {
        return entry.second.guarantee.cpus > 0 || entry.second.guarantee.gpus > 0;
    });
}

// All that was accepted before counts, whether or not it fits itself: so whoever asks for too much at once does not get
// his smaller jobs ahead of others on the guarantee.
void QuotaAccounting::refresh(const std::string& name, const Team& team) const {
    team.stale = false;
    team.guaranteed.clear();
    team.guaranteed_need = {};
    const auto* f = figures(name);
    if (!f) return;
    Amount sum;
    for (const auto& job : team.open) {
        sum = {sum.cpus + job.need.cpus, sum.gpus + job.need.gpus};
        if (!within(sum, f->guarantee)) return;
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

bool QuotaAccounting::may_stop(const std::string& team, const Amount& stopping, const model::Resources& need) const {
    const auto* f = figures(team);
    if (!f) return true;
    const auto used = use(team);
    const auto above = [](double left, double guarantee) { return guarantee <= 0 || left + rounding >= guarantee; };
    return above(used.cpus - stopping.cpus - need.cpus, f->guarantee.cpus) &&
           above(used.gpus - stopping.gpus - need.gpus, f->guarantee.gpus);
}

bool QuotaAccounting::below_guarantee(const std::string& team) const {
    const auto* t = find(team);
    if (!t) return false;
    if (t->stale) refresh(team, *t);
    return t->use.cpus + rounding < t->guaranteed_need.cpus || t->use.gpus + rounding < t->guaranteed_need.gpus;
}

}  // namespace flintdale::quota
