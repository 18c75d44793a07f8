#include "config/settings.hpp"

#include <charconv>
#include <sstream>

#include "config/read_file.hpp"
#include "config/toml_fields.hpp"

namespace flintdale::config {

namespace {

constexpr double bytes_per_kb = 1024;
constexpr unsigned max_port = 65535;
constexpr double min_sockets = 16;

toml::table parse_toml(const std::string& text, const std::string& name) {
    try {
        return toml::parse(text, name);
    } catch (const toml::parse_error& e) {
        std::ostringstream where;
        where << name << ": line " << e.source().begin.line << ": " << e.description();
        throw ConfigError(where.str());
    }
}

// A limit that is missing keeps its value in `present`. Without `present` all limits are required.
StoreLimits parse_store_limits(const TomlFields& fields, const StoreLimits* present) {
    const auto amount = [&](const char* key, double present_value, double min) {
        return fields.amount(key, present ? std::optional(present_value) : std::nullopt, min);
    };
    const StoreLimits defaults = present ? *present : StoreLimits{};
    StoreLimits limits;
    limits.rps = amount("rps", defaults.rps, 1);
    limits.write_rps = amount("write_rps", defaults.write_rps, 1);
    const auto value_kb = amount("value_kb", static_cast<double>(defaults.value_bytes) / bytes_per_kb, 1);
    limits.value_bytes = static_cast<std::size_t>(value_kb * bytes_per_kb);
    limits.txn_ops = static_cast<std::size_t>(amount("txn_ops", static_cast<double>(defaults.txn_ops), 2));
    return limits;
}

void parse_identity(const TomlFields& root, Settings& settings) {
    settings.member = root.text("member");
    settings.zone = root.text("location");
    settings.listen = root.address("serve_on");
    settings.peer_listen = root.address("peer_listen");
    for (const auto& seed : root.sections("seeds"))
        settings.peers.push_back({seed.text("member"), seed.text("location"), seed.address("addr")});
    const auto endpoints = root.section("endpoints");
    settings.cloud = endpoints.address("cloud");
    settings.state = endpoints.address("state");
}

void parse_cluster(const TomlFields& cluster, Settings& settings) {
    const auto known_controllers = static_cast<double>(settings.peers.size() + 1);
    settings.controllers = static_cast<std::size_t>(cluster.amount("nodes", known_controllers, 1));
    settings.zones = cluster.texts("zones");
    for (const auto& team : cluster.sections("teams"))
        settings.teams.push_back({team.text("name"), team.amount("cpus", 0), team.amount("cpus_max", 0),
                                  team.amount("gpus", 0), team.amount("gpus_max", 0)});
    for (const auto& objective : cluster.sections("objectives"))
        settings.objectives.push_back({objective.text("kind"), objective.text("class"),
                                       Seconds(objective.amount("within_s", 0)), objective.amount("share", 0)});
}

void parse_workers(const TomlFields& workers, Settings& settings) {
    settings.heartbeat_interval = workers.duration("report_s");
    settings.worker_lease = workers.duration("lease_s");
    settings.gang_barrier_timeout = workers.duration("gang_wait_s");
    settings.gang_failure_detection = workers.duration("gang_peer_s");
    settings.cancel_deadline = workers.duration("cancel_s");
}

void parse_limits(const TomlFields& cluster, Settings& settings) {
    const auto state = cluster.section("state");
    settings.store_limits = parse_store_limits(state, nullptr);
    if (state.has("next"))
        settings.next_store_limits = parse_store_limits(state.section("next"), &settings.store_limits);
    const auto cloud = cluster.section("cloud");
    settings.cloud_requests_per_s = cloud.amount("rps", std::nullopt, 0.1);
    settings.machine_list_lag = Seconds(cloud.amount("list_lag_s"));
    const auto limits = cluster.optional_section("limits");
    if (!limits) return;
    const auto max_sockets = static_cast<double>(settings.max_sockets);
    settings.max_sockets = static_cast<std::size_t>(limits->amount("max_sockets", max_sockets, min_sockets));
    settings.cpu_share = limits->amount("core_share", settings.cpu_share);
}

}  // namespace

Address parse_address(const std::string& text, const std::string& field) {
    const auto colon = text.rfind(':');
    unsigned port = 0;
    if (colon != std::string::npos && colon > 0) {
        const auto* end = text.data() + text.size();
        const auto [parsed_to, error] = std::from_chars(text.data() + colon + 1, end, port);
        if (error == std::errc() && parsed_to == end && port > 0 && port <= max_port)
            return {text.substr(0, colon), static_cast<std::uint16_t>(port)};
    }
    throw ConfigError(field + ": expected ADDRESS:PORT, found \"" + text + "\"");
}

const Team* Settings::team(const std::string& name) const {
    for (const auto& team : teams)
        if (team.name == name) return &team;
    return nullptr;
}

Settings parse_settings(const std::string& text, const std::string& name) {
    const auto table = parse_toml(text, name);
    const TomlFields root(table, "");
    Settings settings;
    parse_identity(root, settings);
    const auto cluster = root.section("cluster");
    parse_cluster(cluster, settings);
    parse_workers(cluster.section("workers"), settings);
    parse_limits(cluster, settings);
    return settings;
}

Settings load_settings(const std::string& path) { return parse_settings(read_file(path), path); }

}  // namespace flintdale::config
