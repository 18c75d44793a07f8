#include "config/operator_settings.hpp"

#include <boost/property_tree/ini_parser.hpp>
#include <charconv>
#include <sstream>
#include <string_view>
#include <variant>

#include "config/read_file.hpp"

namespace flintdale::config {

namespace {

namespace property_tree = boost::property_tree;
using model::Seconds;

// The member of OperatorSettings that a key sets: a duration in seconds, a number, a boolean (0 or 1) or a path.
using Target = std::variant<Seconds OperatorSettings::*, double OperatorSettings::*, bool OperatorSettings::*,
                            std::string OperatorSettings::*>;

struct Key {
    std::string_view path;  // SECTION.KEY
    Target target;
    double min = 0, max = 0;  // allowed range, for numbers
};

// Sorted by path, the order in which errors list them.
constexpr Key known_keys[] = {
    {"api.known_jobs", &OperatorSettings::job_cache_size, 1, 10'000'000},
    {"election.lease_s", &OperatorSettings::election_lease, 0.5, 60},
    {"fleet.boot_patience", &OperatorSettings::boot_timeout_factor, 1, 100},
    {"fleet.dear", &OperatorSettings::array_price_limit, 1, 1000},
    {"fleet.horizon", &OperatorSettings::array_horizon, 0.05, 10},
    {"fleet.idle_boots", &OperatorSettings::idle_timeout_factor, 0, 100},
    {"fleet.silent_s", &OperatorSettings::silent_timeout, 1, 3600},
    {"fleet.spare", &OperatorSettings::spare_capacity_share, 0, 1},
    {"fleet.spare_patience", &OperatorSettings::spare_timeout_factor, 0, 1000},
    {"fleet.sparse", &OperatorSettings::service_price_limit, 1, 1000},
    {"placement.ageing", &OperatorSettings::aging_rate, 0, 1000},
    {"placement.memory_margin", &OperatorSettings::memory_margin, 0, 10},
    {"placement.window_s", &OperatorSettings::batching_window, 0.1, 600},
    {"recovery.directory", &OperatorSettings::snapshot_directory},
    {"workers.direct_share", &OperatorSettings::direct_share, 0, 1},
    {"workers.relay", &OperatorSettings::relay_heartbeats, 0, 1},
};
constexpr std::string_view groups_section = "groups";

// Reads one file into one OperatorSettings.
class Parser {
  public:
    explicit Parser(const std::string& name) : name_(name) {}

    OperatorSettings parse(const std::string& text) {
        for (const auto& [section, entries] : parse_ini(text)) {
            if (entries.empty()) fail(section, "expected inside a [section]");
            for (const auto& [key, node] : entries) set(section, key, node.get_value<std::string>());
        }
        return std::move(settings_);
    }

  private:
    property_tree::ptree parse_ini(const std::string& text) const {
        property_tree::ptree tree;
        std::istringstream in(text);
        try {
            property_tree::read_ini(in, tree);
        } catch (const property_tree::ini_parser_error& e) {
            fail("line " + std::to_string(e.line()), e.message());
        }
        return tree;
    }

    void set(const std::string& section, const std::string& key, const std::string& value) {
        const auto path = section + "." + key;
        if (section == groups_section) {
            set_group(path, key, value);
            return;
        }
        for (const auto& known : known_keys)
            if (known.path == path) {
                set_known(known, value);
                return;
            }
        std::string paths;
        for (const auto& known : known_keys) paths += " " + std::string(known.path);
        fail(path, "unknown key; expected one of" + paths + " groups.CLASS");
    }

    void set_group(const std::string& path, const std::string& job_class, const std::string& value) {
        auto& types = settings_.machine_type_groups[job_class];
        std::istringstream names(value);
        for (std::string type; names >> type;) types.push_back(type);
        if (types.empty()) fail(path, "expected names of machine types");
    }

    void set_known(const Key& key, const std::string& value) {
        if (const auto* seconds = std::get_if<Seconds OperatorSettings::*>(&key.target))
            settings_.*(*seconds) = Seconds(number(key, value));
        else if (const auto* amount = std::get_if<double OperatorSettings::*>(&key.target))
            settings_.*(*amount) = number(key, value);
        else if (const auto* enabled = std::get_if<bool OperatorSettings::*>(&key.target))
            settings_.*(*enabled) = number(key, value) != 0;
        else
            settings_.*std::get<std::string OperatorSettings::*>(key.target) = absolute_path(key, value);
    }

    double number(const Key& key, const std::string& value) const {
        double number = 0;
        const auto* end = value.data() + value.size();
        const auto [parsed_to, error] = std::from_chars(value.data(), end, number);
        const bool in_range = number >= key.min && number <= key.max;
        if (error == std::errc() && parsed_to == end && in_range) return number;
        std::ostringstream why;
        why << "expected a number from " << key.min << " to " << key.max << ", found \"" << value << '"';
        fail(std::string(key.path), why.str());
    }

    std::string absolute_path(const Key& key, const std::string& value) const {
        if (!value.starts_with('/')) fail(std::string(key.path), "expected an absolute path, found \"" + value + '"');
        return value;
    }

    [[noreturn]] void fail(const std::string& where, const std::string& why) const {
        throw ConfigError(name_ + ": " + where + ": " + why);
    }

    const std::string& name_;
    OperatorSettings settings_;
};

}  // namespace

OperatorSettings parse_operator_settings(const std::string& text, const std::string& name) {
    return Parser(name).parse(text);
}

OperatorSettings load_operator_settings(const std::string& path) {
    return parse_operator_settings(read_file(path), path);
}

}  // namespace flintdale::config
