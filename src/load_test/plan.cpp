#include "load_test/plan.hpp"

#include <fmt/format.h>
#include <sys/resource.h>
#include <toml++/toml.h>
#include <unistd.h>

#include <fstream>
#include <regex>
#include <sstream>

#include "model/job.hpp"

namespace flintdale::load_test {

using config::ConfigError;

namespace {

constexpr std::size_t most_workers = 28'000;  // as many loopback addresses are set aside for them
constexpr std::size_t most_controllers = 50, most_processes = 200, most_zones = 100, most_teams = 1000,
                      most_users = 2000;
constexpr std::size_t workers_of_a_process = 5'000;
constexpr std::size_t files_of_a_worker = 2, other_files = 500;  // its connection and its own listening socket
// For the check before the start, from runs: docs/CAPACITY.md.
constexpr std::size_t bytes_of_a_worker = 60'000, bytes_of_a_process = 60'000'000;
constexpr std::size_t first_worker_block = 16, workers_of_a_block = 250;

class Table {
  public:
    explicit Table(const toml::table& table) : table_(table) {}
    double number(const char* key, double least, double most) const {
        const auto value = table_[key].value<double>();
        if (!value || *value < least || *value > most)
            throw ConfigError(fmt::format("scale.{}: expected a number from {} to {}", key, least, most));
        return *value;
    }
    std::size_t count(const char* key, double least, double most) const {
        return static_cast<std::size_t>(number(key, least, most));
    }

  private:
    const toml::table& table_;
};

std::string read(const std::string& path) {
    std::ifstream in(path);
    if (!in) throw ConfigError(path + ": cannot be read");
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

std::string zone_name(std::size_t n) { return fmt::format("zone-{:02}", n); }
std::string team_name(std::size_t n) { return fmt::format("team-{:03}", n); }

std::string quoted_list(std::size_t n, std::string (*name)(std::size_t)) {
    std::string out = "[";
    for (std::size_t i = 0; i < n; ++i) out += fmt::format("{}\"{}\"", i ? ", " : "", name(i));
    return out + "]";
}

std::string controller_name(std::size_t n) { return fmt::format("controller-{}", n + 1); }

std::size_t checked(std::size_t value, std::size_t least, std::size_t most, const char* what) {
    if (value < least || value > most)
        throw ConfigError(fmt::format("{}: expected {} to {}, found {}", what, least, most, value));
    return value;
}

// Jobs come in proportion to the workers.
void scale_jobs(simulator::Scenario& scenario, double factor) {
    for (auto& job : scenario.jobs) {
        job.initial = static_cast<int>(std::lround(job.initial * factor));
        job.per_minute *= factor;
    }
}

// Teams that may each use a few times their even part of all processors.
std::string teams_text(const toml::table& root, std::size_t workers, std::size_t teams, double parts) {
    double cpus = 0, types = 0;
    if (const auto* machines = root["machines"].as_array())
        for (const auto& machine : *machines)
            if (const auto* table = machine.as_table()) {
                cpus += (*table)["cpus"].value_or(0.0);
                ++types;
            }
    const double all = types > 0 ? cpus / types * static_cast<double>(workers) : 0;
    std::string out;
    for (std::size_t i = 0; i < teams; ++i)
        out += fmt::format("[[cluster.teams]]\nname = \"{}\"\ncpus_max = {:.1f}\n", team_name(i),
                           all * parts / static_cast<double>(teams));
    return out;
}

void check_machine(const Plan& plan) {
    const auto processes = plan.controllers + plan.hollow_processes + 1;
    if (processes > most_processes)
        throw ConfigError(fmt::format("{} processes: at most {} are allowed", processes, most_processes));
    rlimit files{};
    getrlimit(RLIMIT_NOFILE, &files);
    const auto most =
        (plan.workers / plan.zones + 1) * ((plan.zones + plan.hollow_processes - 1) / plan.hollow_processes);
    const auto wanted = most * files_of_a_worker + other_files;
    if (wanted > files.rlim_cur)
        throw ConfigError(
            fmt::format("{} workers in one process want {} open files, and the limit is {}: more zones "
                        "spread them over more processes",
                        most, wanted, files.rlim_cur));
    const auto memory = plan.workers * bytes_of_a_worker + processes * bytes_of_a_process;
    if (memory > memory_bound())
        throw ConfigError(fmt::format("about {} MB are wanted, and half of the machine's memory is {} MB", memory >> 20,
                                      memory_bound() >> 20));
}

// The scenario's file, with another time between two heartbeats of a worker where the command line gives one.
std::string read_with_heartbeat_interval(const std::string& path, const std::optional<double>& report_s) {
    auto file = read(path);
    if (!report_s) return file;
    if (*report_s < 1 || *report_s > 60)
        throw ConfigError(fmt::format("report_s: expected 1 to 60, found {}", *report_s));
    const std::regex setting(R"((^|\n)report_s = [0-9.]+)");
    return std::regex_replace(file, setting, fmt::format("$1report_s = {}", *report_s));
}

toml::table parse_toml(const std::string& text, const std::string& path) {
    try {
        return toml::parse(text, path);
    } catch (const toml::parse_error& e) {
        throw ConfigError(fmt::format("{}: line {}: {}", path, e.source().begin.line, e.description()));
    }
}

void read_sizes(Plan& plan, const Table& values, const Overrides& overrides) {
    // The file's value must be valid also where the command line replaces it.
    const auto size = [&](const char* key, const std::optional<std::size_t>& replaced, std::size_t most) {
        const auto from_file = values.count(key, 1, static_cast<double>(most));
        return checked(replaced.value_or(from_file), 1, most, key);
    };
    plan.workers = size("workers", overrides.workers, most_workers);
    plan.controllers = size("controllers", overrides.controllers, most_controllers);
    plan.zones = size("zones", overrides.zones, most_zones);
    plan.teams = size("teams", overrides.teams, most_teams);
    plan.users = values.count("users", 1, most_users);
}

void read_times(Plan& plan, const Table& values, const Overrides& overrides) {
    plan.length = Seconds(overrides.length_s.value_or(values.number("length_s", 5, 600)));
    if (plan.length < Seconds(5) || plan.length > Seconds(600))
        throw ConfigError(fmt::format("length_s: expected 5 to 600, found {}", plan.length.count()));
    plan.ramp = Seconds(values.number("ramp_s", 0, 60));
    plan.window_from = Seconds(overrides.window_from_s.value_or(values.number("window_from_s", 0, 600)));
    plan.window = Seconds(overrides.window_s.value_or(values.number("window_s", 1, 600)));
    const auto window_end = plan.window_from + plan.window;
    if (plan.window_from < Seconds(0) || plan.window < Seconds(1) || window_end > plan.length)
        throw ConfigError("window_s: expected a second or more, within the run's length");
    plan.kill_leader_at = Seconds(overrides.kill_leader_s.value_or(values.number("kill_leader_s", 0, 600)));
    const bool kills = plan.kill_leader_at.count() != 0;
    if (kills && (plan.kill_leader_at >= plan.length || plan.kill_leader_at < window_end))
        throw ConfigError("kill_leader_s: expected after the window that is measured, within the run's length");
    plan.controller_back = Seconds(values.number("controller_back_s", 0, 600));
}

void read_failure_rates(Plan& plan, const Table& values, const Overrides& overrides) {
    const double factor = overrides.failure_factor.value_or(1);
    if (factor < 0) throw ConfigError("failure factor: expected 0 or more");
    plan.restarts_a_day = values.number("restarts_a_day", 0, 1000) * factor;
    plan.deaths_a_day = values.number("deaths_a_day", 0, 1000) * factor;
}

// The parts of the scenario's text that follow from the sizes.
std::string world_text(const Plan& plan) {
    std::string out = "\n[world]\nmembers = " + quoted_list(plan.controllers, controller_name) + "\nmember_zones = [";
    for (std::size_t i = 0; i < plan.controllers; ++i)
        out += fmt::format("{}\"{}\"", i ? ", " : "", zone_name(i % plan.zones));
    return out + fmt::format("]\nwarm = {}\ncapacity = {}\n[cluster]\nnodes = {}\nzones = {}\n", plan.workers,
                             plan.workers, plan.controllers, quoted_list(plan.zones, zone_name));
}

std::string limits_text(const Table& values, const Overrides& overrides) {
    const auto sockets = overrides.max_sockets.value_or(values.number("max_sockets", 16, 100'000));
    return fmt::format("[cluster.limits]\nmax_sockets = {}\ncore_share = {}\n", sockets,
                       values.number("core_share", 0.001, 1));
}

void set_zones(Plan& plan) {
    for (auto& type : plan.scenario.types) {
        type.zones.clear();
        for (std::size_t i = 0; i < plan.zones; ++i) type.zones.push_back(zone_name(i));
    }
}

void check_gangs(const Plan& plan) {
    if (plan.hollow_processes <= 1) return;
    for (const auto& job : plan.scenario.jobs)
        if (job.like.kind == model::JobKind::gang && !job.like.one_zone)
            throw ConfigError("jobs: a gang must be of one zone where workers are spread over processes");
}

}  // namespace

std::size_t memory_bound() {
    return static_cast<std::size_t>(sysconf(_SC_PHYS_PAGES)) * static_cast<std::size_t>(sysconf(_SC_PAGE_SIZE)) / 2;
}

std::string Addresses::at(std::size_t third, std::size_t fourth) const {
    return fmt::format("127.{}.{}.{}", network_, third, fourth);
}

config::Address Addresses::worker(std::uint64_t number) const {
    const auto n = number % most_workers;
    return {at(first_worker_block + n / workers_of_a_block, 1 + n % workers_of_a_block), 9000};
}

std::string Plan::team(std::size_t number) const { return team_name(number); }

std::size_t Plan::process_of(const std::string& zone) const {
    const auto& zones = scenario.types.front().zones;
    const auto at = std::find(zones.begin(), zones.end(), zone) - zones.begin();
    return static_cast<std::size_t>(at) % hollow_processes;
}

std::string Plan::settings_text(std::size_t n) const {
    const auto text = [](const config::Address& a) { return fmt::format("{}:{}", a.host, a.port); };
    std::string out = fmt::format("member = \"{}\"\nlocation = \"{}\"\nserve_on = \"{}\"\npeer_listen = \"{}\"\n",
                                  scenario.members[n], scenario.member_zones[n], text(addresses.serving(n)),
                                  text(addresses.peering(n)));
    for (std::size_t i = 0; i < controllers; ++i)
        if (i != n)
            out += fmt::format("[[seeds]]\nmember = \"{}\"\nlocation = \"{}\"\naddr = \"{}\"\n", scenario.members[i],
                               scenario.member_zones[i], text(addresses.link(n, i)));
    out +=
        fmt::format("[endpoints]\ncloud = \"{}\"\nstate = \"{}\"\n", text(addresses.cloud()), text(addresses.state()));
    return out + scenario.cluster;
}

Plan make_plan(const std::string& path, const Overrides& overrides) {
    const auto file = read_with_heartbeat_interval(path, overrides.report_s);
    const auto root = parse_toml(file, path);
    const auto* table = root["scale"].as_table();
    if (!table) throw ConfigError(path + ": scale: expected a table");
    const Table values(*table);
    Plan plan;
    read_sizes(plan, values, overrides);
    read_times(plan, values, overrides);
    read_failure_rates(plan, values, overrides);
    plan.operator_config = overrides.operator_config.value_or("");
    plan.seed = overrides.seed;
    const auto network = overrides.network ? overrides.network : 2 + static_cast<unsigned>(getpid()) % 250;
    plan.addresses = Addresses(network);
    plan.hollow_processes = std::min(plan.zones, (plan.workers + workers_of_a_process - 1) / workers_of_a_process);

    const auto text = file + world_text(plan) +
                      teams_text(root, plan.workers, plan.teams, values.number("team_parts", 1, 1000)) +
                      limits_text(values, overrides);
    plan.scenario = simulator::parse_scenario(text, path.substr(path.rfind('/') + 1));
    set_zones(plan);
    check_gangs(plan);
    scale_jobs(plan.scenario, static_cast<double>(plan.workers) / values.number("jobs_for_workers", 1, most_workers));
    check_machine(plan);
    return plan;
}

}  // namespace flintdale::load_test
