#include "load_test/fit.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <optional>

namespace flintdale::load_test {

namespace json = boost::json;

namespace {

// The sizes that were asked for are compared; a few workers are always restarting.
std::map<double, std::vector<double>> by_size(const std::vector<Point>& points) {
    std::map<double, std::vector<double>> out;
    for (const auto& p : points) out[p.workers].push_back(p.value);
    return out;
}

double mean(const std::vector<double>& values) {
    double sum = 0;
    for (const auto v : values) sum += v;
    return sum / static_cast<double>(values.size());
}

const json::value* at_path(const json::object& o, const std::vector<const char*>& path) {
    const json::value* v = nullptr;
    const json::object* in = &o;
    for (const auto* key : path) {
        v = in ? in->if_contains(key) : nullptr;
        if (!v) return nullptr;
        in = v->if_object();
    }
    return v;
}

using Reader = std::function<std::optional<double>(const json::object&)>;

Reader at(std::vector<const char*> path) {
    return [path](const json::object& o) -> std::optional<double> {
        const auto* v = at_path(o, path);
        return v && v->is_number() ? std::optional(v->to_number<double>()) : std::nullopt;
    };
}

Reader a_second(const char* name) { return at({"window", "a_second", name}); }

// The mean over the processes of a role.
Reader of_role(const char* role, const char* field) {
    return [=](const json::object& o) -> std::optional<double> {
        std::vector<double> found;
        if (const auto* processes = o.if_contains("processes"))
            for (const auto& p : processes->as_array())
                if (p.as_object().at("role").as_string() == role)
                    found.push_back(p.as_object().at(field).to_number<double>());
        return found.empty() ? std::nullopt : std::optional(mean(found));
    };
}

struct Quantity {
    const char *name, *unit;
    Reader read;
};

std::vector<Quantity> quantities() {
    return {{"leader: processor", "cores", of_role("leader", "cores")},
            {"leader: peak memory", "MB", of_role("leader", "peak_mb")},
            {"leader: sockets", "", of_role("leader", "sockets")},
            {"follower: processor", "cores", of_role("follower", "cores")},
            {"follower: peak memory", "MB", of_role("follower", "peak_mb")},
            {"follower: sockets", "", of_role("follower", "sockets")},
            {"workers: reports", "a second", a_second("reports")},
            {"workers: sent", "bytes a second", a_second("worker_bytes_sent")},
            {"workers: received", "bytes a second", a_second("worker_bytes_received")},
            {"task starts", "a second", a_second("task_starts")},
            {"submissions", "a second", a_second("submissions")},
            {"users: sent and polled", "bytes a second", a_second("user_bytes_sent")},
            {"state service: requests", "a second", a_second("state_requests")},
            {"state service: changes", "a second", a_second("state_writes")},
            {"state service: in", "bytes a second", a_second("state_bytes_in")},
            {"state service: out", "bytes a second", a_second("state_bytes_out")},
            {"cloud: calls", "a second", a_second("cloud_calls")},
            {"cloud: out", "bytes a second", a_second("cloud_bytes_out")},
            {"between controllers", "bytes a second", a_second("peer_bytes")},
            {"report answered, p50", "ms", at({"window", "report_answers", "p50_ms"})},
            {"report answered, p99", "ms", at({"window", "report_answers", "p99_ms"})},
            {"submission accepted, p95", "ms", at({"submissions", "p95_ms"})},
            {"acceptance to first order, p50", "ms", at({"acceptance_to_order", "p50_ms"})},
            {"critical work, acceptance to first order, p95", "ms", at({"urgent_acceptance_to_order", "p95_ms"})},
            {"leases lost in the window", "tasks", at({"window", "leases_lost"})},
            {"leader killed: to the first answer", "s", at({"handover", "first_answer_s"})},
            {"leader killed: to the first run order", "s", at({"handover", "first_run_order_s"})}};
}

std::string group_of(const json::object& o) {
    const auto* config = o.if_contains("operator_config");
    const std::string name = config && config->is_string() ? std::string(config->as_string()) : "";
    const auto* scenario = o.if_contains("scenario");
    const auto* report = o.if_contains("report_s");
    return fmt::format("{}, {} controllers, reports each {} s, {}",
                       scenario ? std::string(scenario->as_string()) : "no scenario named",
                       o.at("controllers").to_number<int>(), report ? report->to_number<double>() : 0.0,
                       name.empty() ? "operators' settings as they are" : name);
}

std::string row(const Quantity& q, const Line& line) {
    std::string law = fmt::format("{:.4g} + {:.4g} x workers", line.fixed, line.slope);
    if (line.sizes < 2) law = fmt::format("{:.4g}, of one size", line.fixed);
    if (!line.straight()) law = fmt::format("not linear: slope changes {:.2f} times", line.bend);
    return fmt::format("| {} | {} | {} | {:.3g} | {:.0f}% | {:.0f} to {:.0f} | {} |\n", q.name, q.unit, law,
                       line.residual, line.spread * 100, line.from, line.to, line.runs);
}

}  // namespace

Line fit_line(std::vector<Point> points) {
    Line out;
    out.runs = points.size();
    if (points.empty()) return out;
    double n = 0, x = 0, y = 0, xx = 0, xy = 0;
    for (const auto& p : points) {
        n += 1;
        x += p.workers;
        y += p.value;
        xx += p.workers * p.workers;
        xy += p.workers * p.value;
    }
    const double spread_of_sizes = n * xx - x * x;
    out.slope = spread_of_sizes > 0 ? (n * xy - x * y) / spread_of_sizes : 0;
    out.fixed = (y - out.slope * x) / n;
    for (const auto& p : points)
        out.residual = std::max(out.residual, std::abs(p.value - out.fixed - out.slope * p.workers));
    const auto sizes = by_size(points);
    out.sizes = sizes.size();
    out.from = sizes.begin()->first;
    out.to = sizes.rbegin()->first;
    for (const auto& [size, values] : sizes) {
        const auto [least, most] = std::minmax_element(values.begin(), values.end());
        if (mean(values) != 0) out.spread = std::max(out.spread, (*most - *least) / std::abs(mean(values)));
    }
    if (sizes.size() >= 3) {
        const auto slope = [](auto a, auto b) { return (mean(b->second) - mean(a->second)) / (b->first - a->first); };
        const double low = slope(sizes.begin(), std::next(sizes.begin()));
        const double high = slope(std::prev(sizes.end(), 2), std::prev(sizes.end()));
        out.bend = low != 0 ? high / low : 1;
    }
    return out;
}

std::string fit_table(const std::vector<json::object>& results) {
    std::map<std::string, std::vector<const json::object*>> groups;
    for (const auto& o : results)
        if (o.contains("window") && o.at("passed").as_bool()) groups[group_of(o)].push_back(&o);
    std::string out;
    for (const auto& [name, runs] : groups) {
        out += fmt::format(
            "\n{}:\n\n| quantity | unit | fixed + slope | greatest residual | spread of runs | workers | "
            "runs |\n| --- | --- | --- | --- | --- | --- | --- |\n",
            name);
        for (const auto& q : quantities()) {
            std::vector<Point> points;
            for (const auto* o : runs)
                if (const auto value = q.read(*o)) points.push_back({o->at("workers").to_number<double>(), *value});
            if (!points.empty()) out += row(q, fit_line(points));
        }
    }
    return out;
}

}  // namespace flintdale::load_test
