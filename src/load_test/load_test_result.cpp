// The result of a run as JSON: what was measured in the window, and in all.
#include <cmath>

#include "load_test/load_test.hpp"

namespace flintdale::load_test {

namespace json = boost::json;

namespace {

double rounded(double v) { return v == 0 ? 0 : std::round(v * 1e6) / 1e6; }
double milliseconds(Seconds s) { return rounded(s.count() * 1000); }
double megabytes(std::size_t bytes) { return rounded(static_cast<double>(bytes) / (1024 * 1024)); }

json::object quantiles(const Latencies& latencies) {
    return {{"count", latencies.count()},
            {"p50_ms", milliseconds(latencies.quantile(0.5))},
            {"p95_ms", milliseconds(latencies.quantile(0.95))},
            {"p99_ms", milliseconds(latencies.quantile(0.99))}};
}

}  // namespace

bool LoadTest::passed() const {
    const bool worked = last_ && last_->workers.counts.answered > 0 && last_->workers.counts.started > 0 &&
                        users_.counts().accepted > 0;
    const bool handed_over = !killed_at_ || handover().contains("first_answer_s");
    return failures_.empty() && checker_.checker().broken().empty() && worked && handed_over;
}

json::object LoadTest::handover() const {
    json::object out;
    if (!killed_at_) return out;
    std::optional<model::TimePoint> answer, run;
    for (const auto& news : tokens_) {
        if (news.fencing_token <= token_at_kill_) continue;
        auto& first = news.runs ? run : answer;
        if (!first || news.at < *first) first = news.at;
    }
    if (answer) out["first_answer_s"] = rounded(Seconds(*answer - *killed_at_).count());
    if (run) out["first_run_order_s"] = rounded(Seconds(*run - *killed_at_).count());
    return out;
}

// Of the window, a second.
json::object LoadTest::rates() const {
    const auto &a = *window_start_, &b = *window_end_;
    const double seconds = Seconds(b.at - a.at).count();
    const auto rate = [&](auto from, auto to) { return rounded(static_cast<double>(to - from) / seconds); };
    const auto &w = a.workers.counts, &v = b.workers.counts;
    return {{"reports", rate(w.reports, v.reports)},
            {"answered", rate(w.answered, v.answered)},
            {"redirected", rate(w.redirected, v.redirected)},
            {"unavailable", rate(w.unavailable, v.unavailable)},
            {"unanswered", rate(w.unanswered, v.unanswered)},
            {"worker_bytes_sent", rate(w.bytes_sent, v.bytes_sent)},
            {"worker_bytes_received", rate(w.bytes_received, v.bytes_received)},
            {"task_starts", rate(w.started, v.started)},
            {"tasks_finished", rate(w.finished, v.finished)},
            {"submissions", rate(a.users.submitted, b.users.submitted)},
            {"accepted", rate(a.users.accepted, b.users.accepted)},
            {"user_bytes_sent", rate(a.users.bytes_sent, b.users.bytes_sent)},
            {"user_bytes_received", rate(a.users.bytes_received, b.users.bytes_received)},
            {"state_requests", rate(a.state.requests, b.state.requests)},
            {"state_writes", rate(a.state.writes, b.state.writes)},
            {"state_refused", rate(a.state.refused, b.state.refused)},
            {"state_bytes_in", rate(a.state_traffic.bytes_in, b.state_traffic.bytes_in)},
            {"state_bytes_out", rate(a.state_traffic.bytes_out, b.state_traffic.bytes_out)},
            {"cloud_calls", rate(a.cloud_traffic.requests, b.cloud_traffic.requests)},
            {"cloud_bytes_out", rate(a.cloud_traffic.bytes_out, b.cloud_traffic.bytes_out)},
            {"peer_bytes", rate(a.link_bytes, b.link_bytes)}};
}

json::array LoadTest::processes() const {
    json::array out;
    const auto &a = *window_start_, &b = *window_end_;
    const double seconds = Seconds(b.at - a.at).count();
    const auto add = [&](const std::string& role, const std::string& name, const ProcessUsage& from,
                         const ProcessUsage& to) {
        out.push_back(json::object{{"role", role},
                                   {"name", name},
                                   {"cores", rounded((to.cpu_s - from.cpu_s) / seconds)},
                                   {"peak_mb", megabytes(to.peak_bytes)},
                                   {"sockets", to.sockets}});
    };
    for (std::size_t n = 0; n < plan_.controllers; ++n) {
        if (!a.controllers[n] || !b.controllers[n]) continue;
        const auto& name = plan_.scenario.members[n];
        const bool led = a.leader == name, leads = b.leader == name;
        add(led && leads   ? "leader"
            : led || leads ? "led for a part"
                           : "follower",
            name, *a.controllers[n], *b.controllers[n]);
    }
    for (std::size_t n = 0; n < std::min(a.hollow.size(), b.hollow.size()); ++n)
        add("hollow workers", std::to_string(n), a.hollow[n], b.hollow[n]);
    return out;
}

json::object LoadTest::totals() const {
    const auto& workers = last_->workers.counts;
    const auto users = users_.counts();
    return {{"reports", workers.reports},
            {"answered", workers.answered},
            {"redirected", workers.redirected},
            {"unavailable", workers.unavailable},
            {"unanswered", workers.unanswered},
            {"task_starts", workers.started},
            {"leases_lost", workers.lease_kills},
            {"restarted", restarted_},
            {"died", died_},
            {"connected", workers.connected},
            {"accepted", users.accepted},
            {"given_up", users.given_up},
            {"done", users.done},
            {"cancelled", users.cancelled}};
}

json::object LoadTest::window() const {
    const auto &from = window_start_->workers, &to = window_end_->workers;
    return {{"seconds", rounded(Seconds(window_end_->at - window_start_->at).count())},
            {"connected", to.counts.connected},
            {"by_controller", json::value_from(to.by_controller)},
            {"leases_lost", to.counts.lease_kills - from.counts.lease_kills},
            {"a_second", rates()},
            {"report_answers", quantiles(to.answers.since(from.answers))}};
}

json::object LoadTest::parameters() const {
    return {{"workers", plan_.workers},
            {"controllers", plan_.controllers},
            {"zones", plan_.zones},
            {"teams", plan_.teams},
            {"seed", plan_.seed},
            {"operator_config", std::filesystem::path(plan_.operator_config).filename().string()},
            {"scenario", plan_.scenario.name},
            {"report_s", settings_.heartbeat_interval.count()},
            {"length_s", plan_.length.count()},
            {"restarts_a_day", plan_.restarts_a_day},
            {"deaths_a_day", plan_.deaths_a_day}};
}

json::object LoadTest::result() const {
    json::object broken, first;
    for (const auto& [rule, count] : checker_.checker().broken()) broken[rule] = count;
    for (const auto& [rule, violation] : checker_.checker().first()) first[rule] = violation;
    auto out = parameters();
    out["passed"] = passed();
    out["broken"] = std::move(broken);
    out["first"] = std::move(first);
    out["failures"] = json::value_from(failures_);
    if (last_) out["totals"] = totals();
    if (!window_start_ || !window_end_) return out;
    out["window"] = window();
    out["submissions"] = quantiles(users_.submissions());
    out["acceptance_to_order"] = quantiles(users_.starts());
    out["urgent_acceptance_to_order"] = quantiles(users_.urgent_starts());
    out["handover"] = handover();
    out["processes"] = processes();
    return out;
}

}  // namespace flintdale::load_test
