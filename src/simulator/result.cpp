#include "simulator/result.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>

namespace flintdale::simulator {

namespace json = boost::json;

std::string to_text(const RunResult& result) {
    std::string out = fmt::format(
        "seed {}: {} jobs accepted, {} done, {} cancelled; {} tasks started, {} killed by their "
        "lease; {} machines up at the end\n",
        result.seed, result.accepted, result.done, result.cancelled, result.started, result.lease_kills,
        result.machines);
    out += fmt::format("{:<16} {:>5} {:>5} {:>9} {:>7} {:>19} {:>13}\n", "", "jobs", "done", "cancelled", "served",
                       "wait p50/p90/max s", "longest idle s");
    const auto row = [&](const std::string& name, const ServiceStats& stats) {
        const auto at = [&](double p) {
            return stats.waits.empty()
                       ? 0.0
                       : stats.waits[std::min(stats.waits.size() - 1,
                                              static_cast<std::size_t>(p * static_cast<double>(stats.waits.size())))];
        };
        out += fmt::format("{:<16} {:>5} {:>5} {:>9} {:>7.2f} {:>19} {:>13.1f}{}\n", name, stats.jobs, stats.done,
                           stats.cancelled, stats.share, fmt::format("{:.1f}/{:.1f}/{:.1f}", at(0.5), at(0.9), at(1)),
                           stats.longest_idle, stats.starved() ? "  LEFT BEHIND" : "");
    };
    for (const auto& [name, stats] : result.classes) row("class " + name, stats);
    for (const auto& [name, stats] : result.teams) row("team " + name, stats);
    for (const auto& fault : result.faults) out += "trouble at " + fault + "\n";
    out += result.first.empty() ? "rules: none broken\n" : "";
    for (const auto& [rule, what] : result.first) out += "RULE BROKEN: " + rule + " at " + what + "\n";
    return out;
}

std::string to_line(const RunResult& result) {
    const auto rounded = [](double v) { return std::round(v * 1000) / 1000; };
    json::object broken, first, served, team_served;
    for (const auto& [rule, n] : result.broken) broken[rule] = n;
    for (const auto& [rule, what] : result.first) first[rule] = what;
    for (const auto& [name, share] : result.served) served[name] = rounded(share);
    for (const auto& [name, share] : result.team_served) team_served[name] = rounded(share);
    json::array faults;
    for (const auto& fault : result.faults) faults.emplace_back(fault);
    json::object idle;
    for (const auto& [name, stats] : result.classes) idle["class " + name] = rounded(stats.longest_idle);
    for (const auto& [name, stats] : result.teams) idle["team " + name] = rounded(stats.longest_idle);
    return json::serialize(json::object{
        {"seed", result.seed},
        {"broken", broken},
        {"first", first},
        {"accepted", result.accepted},
        {"done", result.done},
        {"cancelled", result.cancelled},
        {"forgotten", result.forgotten},
        {"machines", result.machines},
        {"started", result.started},
        {"lease_kills", result.lease_kills},
        {"cancelled_running", result.cancelled_running},
        {"longest_gone_s", rounded(result.longest_gone)},
        {"met",
         json::object{
             {"cancelled", result.met_cancelled}, {"workers", result.met_workers}, {"answers", result.met_answers}}},
        {"longest_left_s", rounded(result.longest_left)},
        {"elections", result.elections},
        {"late_starts", result.late_starts},
        {"called_off_at_end", result.called_off_at_end},
        {"odd", json::object{{"sent", result.odd}, {"refused", result.odd_refused}}},
        {"words", result.words},
        {"relayed", result.relayed},
        {"losses", result.losses},
        {"rebuilt", result.rebuilt},
        {"undisturbed", rounded(result.undisturbed)},
        {"placing_after_s", rounded(result.placing_after)},
        {"answers_after_s", rounded(result.answers_after)},
        {"served", served},
        {"team_served", team_served},
        {"left_behind", json::array(result.left_behind.begin(), result.left_behind.end())},
        {"longest_idle_s", idle},
        {"troubles", faults}});
}

}  // namespace flintdale::simulator
