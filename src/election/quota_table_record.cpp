#include "election/quota_table_record.hpp"

#include <algorithm>
#include <array>

namespace flintdale::election {

namespace {

constexpr std::size_t figures_per_team = 4;

// The limits of CPUs and GPUs, then the guarantees of both; nullopt if one of them is not a number, or is negative.
std::optional<std::array<double, figures_per_team>> figures_in(const boost::json::value& value) {
    const auto* fields = value.if_array();
    if (!fields || fields->size() != figures_per_team) return std::nullopt;
    std::array<double, figures_per_team> figures{};
    for (std::size_t i = 0; i < figures.size(); ++i) {
        const auto& field = (*fields)[i];
        figures[i] = field.is_number() ? field.to_number<double>() : -1.0;
    }
    const auto valid = [](double figure) { return figure >= 0; };
    if (!std::all_of(figures.begin(), figures.end(), valid)) return std::nullopt;
    return figures;
}

}  // namespace

boost::json::object encode_quota_table(const quota::Table& table) {
    boost::json::object record;
    for (const auto& [team, share] : table)
        record[team] =
            boost::json::array{share.limit.cpus, share.limit.gpus, share.guarantee.cpus, share.guarantee.gpus};
    return record;
}

std::optional<quota::Table> quota_table_in(const state::KeyValue& record) {
    const auto* fields = record.mod_revision ? record.value.if_object() : nullptr;
    const auto* teams = fields ? fields->if_contains("teams") : nullptr;
    if (!teams || !teams->is_object()) return std::nullopt;
    quota::Table table;
    for (const auto& entry : teams->get_object()) {
        const auto figures = figures_in(entry.value());
        if (!figures) return std::nullopt;
        const auto& [cpu_limit, gpu_limit, cpu_guarantee, gpu_guarantee] = *figures;
        table[std::string(entry.key())] = {{cpu_limit, gpu_limit}, {cpu_guarantee, gpu_guarantee}};
    }
    return table;
}

}  // namespace flintdale::election
