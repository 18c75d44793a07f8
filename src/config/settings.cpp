#include "config/settings.hpp"

#include <toml++/toml.h>

#include <boost/property_tree/ini_parser.hpp>
#include <charconv>
#include <cmath>
#include <fstream>
#include <functional>
#include <sstream>

namespace flintdale::config {

namespace {

std::string read_file(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    if (!in) throw ConfigError(path + ": cannot be read");
    std::ostringstream out;
    out << in.rdbuf();
    return out.str();
}

// Reads fields of one table and names the full path of whichever is wrong.
class Fields {
  public:
    Fields(const toml::table& table, std::string path) : table_(table), path_(std::move(path)) {}

    std::string text(const char* key) const {
        if (const auto* node = table_.get(key))
            if (auto v = node->value_exact<std::string>(); v && !v->empty()) return *v;
        fail(key, "a text");
    }

    double amount(const char* key, std::optional<double> otherwise = std::nullopt, double least = 0) const {
        const auto* node = table_.get(key);
        if (!node && otherwise) return *otherwise;
        if (node && node->is_number())
            if (auto v = node->value<double>(); v && std::isfinite(*v) && *v >= least) return *v;
        fail(key, "a number of at least " + std::to_string(least));
    }

    Seconds duration(const char* key) const {
        const double v = amount(key);
        if (v <= 0) fail(key, "a duration above 0");
        return Seconds(v);
    }

    Address address(const char* key) const { return parse_address(text(key), where(key)); }

    const toml::table* table(const char* key) const {
        const auto* node = table_.get(key);
        return node ? node->as_table() : nullptr;
    }

    Fields section(const char* key) const {
        if (const auto* t = table(key)) return Fields(*t, where(key));
        fail(key, "a table");
    }

    bool has(const char* key) const { return table_.get(key) != nullptr; }

    template <class F>
    void each(const char* key, F visit) const {
        const auto* node = table_.get(key);
        if (!node) return;
        const auto* list = node->as_array();
        if (!list) fail(key, "a list of tables");
        for (std::size_t i = 0; i < list->size(); ++i) {
            const auto* t = list->get(i)->as_table();
            if (!t) fail(key, "a list of tables");
            visit(Fields(*t, where(key) + "[" + std::to_string(i) + "]"));
        }
    }

    std::vector<std::string> texts(const char* key) const {
        std::vector<std::string> out;
        const auto* node = table_.get(key);
        if (!node) return out;
        const auto* list = node->as_array();
        if (!list) fail(key, "a list of texts");
        for (const auto& e : *list) {
            auto v = e.value_exact<std::string>();
            if (!v) fail(key, "a list of texts");
            out.push_back(*v);
        }
        return out;
    }

    [[noreturn]] void fail(const char* key, const std::string& expected) const {
        throw ConfigError(where(key) + ": missing or not " + expected);
    }

  private:
    std::string where(const char* key) const { return path_.empty() ? key : path_ + "." + key; }

    const toml::table& table_;
    std::string path_;
};

}  // namespace

Address parse_address(const std::string& text, const std::string& field) {
    const auto colon = text.rfind(':');
    unsigned port = 0;
    if (colon != std::string::npos && colon > 0) {
        const auto* end = text.data() + text.size();
        const auto [p, ec] = std::from_chars(text.data() + colon + 1, end, port);
        if (ec == std::errc() && p == end && port > 0 && port < 65536)
            return {text.substr(0, colon), static_cast<std::uint16_t>(port)};
    }
    throw ConfigError(field + ": expected ADDRESS:PORT, found \"" + text + "\"");
}

namespace {
// What is not named stays as it is at present, where there is a present.
StoreLimits limits_of(const Fields& f, const StoreLimits* present) {
    const auto amount = [&](const char* key, double now, double least) {
        return f.amount(key, present ? std::optional(now) : std::nullopt, least);
    };
    const StoreLimits was = present ? *present : StoreLimits{};
    StoreLimits l;
    l.rps = amount("rps", was.rps, 1);
    l.write_rps = amount("write_rps", was.write_rps, 1);
    l.value_bytes = static_cast<std::size_t>(amount("value_kb", double(was.value_bytes) / 1024, 1) * 1024);
    l.txn_ops = static_cast<std::size_t>(amount("txn_ops", double(was.txn_ops), 2));
    return l;
}
}  // namespace

const Team* Settings::team(const std::string& name) const {
    for (const auto& t : teams)
        if (t.name == name) return &t;
    return nullptr;
}

Settings parse_settings(const std::string& text, const std::string& name) {
    toml::table root;
    try {
        root = toml::parse(text, name);
    } catch (const toml::parse_error& e) {
        std::ostringstream where;
        where << name << ": line " << e.source().begin.line << ": " << e.description();
        throw ConfigError(where.str());
    }
    const Fields top(root, "");
    Settings s;
    s.member = top.text("member");
    s.zone = top.text("location");
    s.listen = top.address("serve_on");
    s.peer_listen = top.address("peer_listen");
    top.each("seeds", [&](const Fields& f) {
        s.peers.push_back({f.text("member"), f.text("location"), f.address("addr")});
    });
    const auto services = top.section("endpoints");
    s.cloud = services.address("cloud");
    s.state = services.address("state");

    const auto cluster = top.section("cluster");
    s.controllers = static_cast<std::size_t>(cluster.amount("nodes", static_cast<double>(s.peers.size() + 1), 1));
    s.zones = cluster.texts("zones");
    cluster.each("teams", [&](const Fields& f) {
        s.teams.push_back({f.text("name"), f.amount("cpus", 0), f.amount("cpus_max", 0), f.amount("gpus", 0),
                           f.amount("gpus_max", 0)});
    });
    cluster.each("objectives", [&](const Fields& f) {
        s.objectives.push_back(
            {f.text("kind"), f.text("class"), Seconds(f.amount("within_s", 0)), f.amount("share", 0)});
    });
    const auto workers = cluster.section("workers");
    s.heartbeat_interval = workers.duration("report_s");
    s.worker_lease = workers.duration("lease_s");
    s.gang_barrier_timeout = workers.duration("gang_wait_s");
    s.gang_failure_detection = workers.duration("gang_peer_s");
    s.cancel_deadline = workers.duration("cancel_s");
    const auto state = cluster.section("state");
    s.store_limits = limits_of(state, nullptr);
    if (state.has("next")) s.next_store_limits = limits_of(state.section("next"), &s.store_limits);
    const auto cloud = cluster.section("cloud");
    s.cloud_requests_per_s = cloud.amount("rps", std::nullopt, 0.1);
    s.machine_list_lag = Seconds(cloud.amount("list_lag_s"));
    if (const auto* table = cluster.table("limits")) {
        const Fields limits(*table, "cluster.limits");
        s.max_sockets = static_cast<std::size_t>(limits.amount("max_sockets", static_cast<double>(s.max_sockets), 16));
        s.cpu_share = limits.amount("core_share", s.cpu_share);
    }
    return s;
}

Settings load_settings(const std::string& path) { return parse_settings(read_file(path), path); }

OperatorSettings parse_operator_settings(const std::string& text, const std::string& name) {
    namespace pt = boost::property_tree;
    pt::ptree tree;
    std::istringstream in(text);
    try {
        pt::read_ini(in, tree);
    } catch (const pt::ini_parser_error& e) {
        throw ConfigError(name + ": line " + std::to_string(e.line()) + ": " + e.message());
    }
    OperatorSettings t;
    const auto number = [&](const std::string& key, const std::string& value, double least, double most) {
        double v = 0;
        const auto* end = value.data() + value.size();
        const auto [p, ec] = std::from_chars(value.data(), end, v);
        if (ec != std::errc() || p != end || !(v >= least && v <= most)) {
            std::ostringstream why;
            why << name << ": " << key << ": expected a number from " << least << " to " << most << ", found \""
                << value << '"';
            throw ConfigError(why.str());
        }
        return v;
    };
    const auto seconds_into = [&](Seconds& into, double least, double most) {
        return
            [&, least, most](const std::string& k, const std::string& v) { into = Seconds(number(k, v, least, most)); };
    };
    const auto amount_into = [&](double& into, double least, double most) {
        return [&, least, most](const std::string& k, const std::string& v) { into = number(k, v, least, most); };
    };
    const std::map<std::string, std::function<void(const std::string&, const std::string&)>> known{
        {"placement.window_s", seconds_into(t.batching_window, 0.1, 600)},
        {"placement.memory_margin", amount_into(t.memory_margin, 0, 10)},
        {"placement.ageing", amount_into(t.aging_rate, 0, 1000)},
        {"fleet.silent_s", seconds_into(t.silent_timeout, 1, 3600)},
        {"fleet.boot_patience", amount_into(t.boot_timeout_factor, 1, 100)},
        {"fleet.idle_boots", amount_into(t.idle_timeout_factor, 0, 100)},
        {"fleet.spare", amount_into(t.spare_capacity_share, 0, 1)},
        {"fleet.spare_patience", amount_into(t.spare_timeout_factor, 0, 1000)},
        {"fleet.horizon", amount_into(t.array_horizon, 0.05, 10)},
        {"fleet.dear", amount_into(t.array_price_limit, 1, 1000)},
        {"fleet.sparse", amount_into(t.service_price_limit, 1, 1000)},
        {"api.known_jobs", amount_into(t.job_cache_size, 1, 10'000'000)},
        {"workers.relay",
         [&](const std::string& k, const std::string& v) { t.relay_heartbeats = number(k, v, 0, 1) != 0; }},
        {"workers.direct_share", amount_into(t.direct_share, 0, 1)},
        {"election.lease_s", seconds_into(t.election_lease, 0.5, 60)},
        {"recovery.directory",
         [&](const std::string& k, const std::string& v) {
             if (!v.starts_with('/'))
                 throw ConfigError(name + ": " + k + ": expected an absolute path, found \"" + v + '"');
             t.snapshot_directory = v;
         }},
    };
    for (const auto& [section, entries] : tree) {
        if (entries.empty()) throw ConfigError(name + ": " + section + ": expected inside a [section]");
        for (const auto& [key, node] : entries) {
            const auto value = node.get_value<std::string>();
            const auto path = section + "." + key;
            if (section == "groups") {
                std::istringstream types(value);
                std::string type;
                while (types >> type) t.machine_type_groups[key].push_back(type);
                if (t.machine_type_groups[key].empty())
                    throw ConfigError(name + ": " + path + ": expected names of machine types");
                continue;
            }
            const auto it = known.find(path);
            if (it == known.end()) {
                std::string all;
                for (const auto& [k, f] : known) all += " " + k;
                throw ConfigError(name + ": " + path + ": unknown key; expected one of" + all + " groups.CLASS");
            }
            it->second(path, value);
        }
    }
    return t;
}

OperatorSettings load_operator_settings(const std::string& path) {
    return parse_operator_settings(read_file(path), path);
}

}  // namespace flintdale::config
